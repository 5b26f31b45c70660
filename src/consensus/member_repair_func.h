/** @file member_repair_func.h Which member of the log is to be replaced, without a person. */
#ifndef POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H
#define POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H

#include "consensus/replica_base.h"

#include <optional>
#include <set>
#include <variant>

namespace pollenstall {

/// When a member counts as lost.
struct member_repair_options {
  std::size_t TargetVoters{0}; ///< 0: nobody is ever replaced.
  /// A voter that answers nothing for so long is replaced where another host stands by. Two
  /// election timeouts: a voter that only missed a leader's change is back by then.
  mono_duration VoterSilence{std::chrono::milliseconds(2000)};
  /// A learner that answers nothing for so long is forgotten; it asks again when it is back.
  mono_duration LearnerSilence{std::chrono::milliseconds(10'000)};
  std::uint64_t CaughtUpWithin{replica_options().CaughtUpWithin}; ///< Entries.
};

struct expel_member {
  member_id Member;

  bool operator==(const expel_member &) const = default;
};
struct promote_member {
  member_key Member;

  bool operator==(const promote_member &) const = default;
};
using member_change = std::variant<expel_member, promote_member>;

/**
 * One safe change at a time. A voter that is silent may have its disk all the same: another one is
 * promoted first and the silent one expelled after it. Expelled first, it would leave four voters
 * whose quorum of three is gone with two more disks, although three disks of the five are there.
 *
 * A voter whose disk is known to be gone is expelled first: a sixth voter would raise the quorum to
 * four while three may be all that is left.
 * @param Status Of the leader. @param Emptied Members whose hosts came back as others.
 * @return What the leader is to do now, or nothing.
 */
std::optional<member_change> memberRepair(const replica_status &Status,
                                          const std::set<member_id> &Emptied,
                                          const member_repair_options &Options);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H

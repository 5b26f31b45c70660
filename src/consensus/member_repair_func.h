/** @file member_repair_func.h Which member of the log is to be replaced, without a person. */
#ifndef POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H
#define POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H

#include "consensus/replica_base.h"

#include <optional>

namespace pollenstall {

/// When a member counts as lost.
struct member_repair_options {
  std::size_t TargetVoters{0}; ///< 0: nobody is ever replaced.
  /// A voter that answers nothing for so long is replaced where another host stands by. Two
  /// election timeouts: a voter that only missed a leader's change is back by then.
  mono_span VoterSilence{std::chrono::milliseconds(2000)};
  /// A learner that answers nothing for so long is forgotten; it asks again when it is back.
  mono_span LearnerSilence{std::chrono::milliseconds(10'000)};
  std::uint64_t CaughtUpWithin{64}; ///< Entries; as replica_options has it.
};

/**
 * The lost voter goes first and the one that stands by is promoted after it. The other way round
 * there would be six voters for a moment, whose quorum of four the four that are left could reach
 * only without any further loss.
 * @param Status Of the leader. @return Whom the leader is to expel now, or nobody.
 */
std::optional<member_id> memberToExpel(const replica_status &Status,
                                       const member_repair_options &Options);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H

/** @file member_repair_func.h Automatic replacement of lost members and choice of the voters. */
#ifndef POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H
#define POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H

#include "consensus/replica_base.h"
#include "consensus/voter_choice_func.h"

#include <optional>
#include <set>
#include <variant>

namespace pollenstall {

/// When a member counts as lost, and which losses the voters must survive.
struct member_repair_options {
  std::optional<loss_tolerance> Tolerance{}; ///< Without it no member is replaced.
  /// A voter that has not replied for this long is replaced if a caught-up learner exists. Twice
  /// the default MinElectionTimeout is enough for a voter that only missed a change of leader to
  /// reply again. A member that replied within half of this time counts as responsive.
  mono_duration VoterTimeout{std::chrono::milliseconds(2000)};
  /// A learner that has not replied for this long is expelled; it requests admission again when it
  /// is back.
  mono_duration LearnerTimeout{std::chrono::milliseconds(10'000)};
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
 * Returns the next membership change that the leader should make, one safe change at a time.
 *
 * The changes lead to the voters of chooseVoters(). No change lowers the losses that the voters
 * survive, with one exception: with three voters of three failure domains, each fourth voter shares
 * a domain with another one. Such a promotion is made only if the next one, of a learner that is
 * ready too, leads to more than the voters survive now.
 *
 * An unresponsive voter may still have its disk, so a learner is promoted before that voter is
 * expelled. If a voter of five were expelled first, four voters would remain with a quorum of
 * three, which the loss of two more disks destroys, although three of the five disks still exist.
 *
 * A voter whose disk is known to be lost is expelled first: a sixth voter would raise the quorum to
 * four, while only three voters may remain.
 * @param Status Of the leader. @param MembersWithoutDisk Members whose disks are known to be
 * lost, because hosts with other ids now use their addresses.
 * @return The change, or nothing if none is needed or safe.
 */
std::optional<member_change> nextMemberRepair(const replica_status &Status,
                                              const std::set<member_id> &MembersWithoutDisk,
                                              const member_repair_options &Options);

/// @return The voters of a leader's member set, with those that count as lost.
std::vector<voter_candidate> votersOf(const replica_status &Status,
                                      const std::set<member_id> &MembersWithoutDisk,
                                      const member_repair_options &Options);

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_MEMBER_REPAIR_FUNC_H

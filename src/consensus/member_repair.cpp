/** @file member_repair.cpp Automatic replacement of lost members. */
#include "consensus/member_repair_func.h"

#include "consensus/member_set_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

bool isVoting(const member_progress &Progress) {
  return Progress.Member.VotingStatus == voting_status::Voter;
}

/// Number of voters and of responsive voters, including the leader.
struct voter_totals {
  std::size_t All{1};
  std::size_t Responsive{1};
};

voter_totals totalVoters(const replica_status &Status, const member_repair_options &Options) {
  voter_totals Count;
  for (const member_progress &Progress : Status.Progress) {
    if (!isVoting(Progress))
      continue;
    ++Count.All;
    Count.Responsive += Progress.SinceLastReply < Options.VoterTimeout / 2 ? 1 : 0;
  }
  return Count;
}

/// @return A responsive learner that has caught up, or null.
const member_progress *findCaughtUpLearner(const replica_status &Status,
                                           const member_repair_options &Options) {
  for (const member_progress &Progress : Status.Progress) {
    const bool CaughtUp =
        Progress.Match.value() + Options.CaughtUpWithin >= Status.LastIndex.value();
    if (!isVoting(Progress) && CaughtUp && Progress.SinceLastReply < Options.VoterTimeout / 2)
      return &Progress;
  }
  return nullptr;
}

/// @return The voter with the longest time since its last reply, or null.
const member_progress *findLongestSilentVoter(const replica_status &Status) {
  const member_progress *Longest = nullptr;
  for (const member_progress &Progress : Status.Progress)
    if (isVoting(Progress) &&
        (Longest == nullptr || Progress.SinceLastReply > Longest->SinceLastReply))
      Longest = &Progress;
  return Longest;
}

std::optional<member_change> unresponsiveLearnerRemoval(const replica_status &Status,
                                                        const member_repair_options &Options) {
  for (const member_progress &Progress : Status.Progress)
    if (!isVoting(Progress) && Progress.SinceLastReply > Options.LearnerTimeout)
      return expel_member{Progress.Member.Key.Member};
  return std::nullopt;
}

std::optional<member_change>
voterWithoutDiskRemoval(const replica_status &Status,
                        const std::set<member_id> &MembersWithoutDisk) {
  for (const member_progress &Progress : Status.Progress)
    if (isVoting(Progress) && MembersWithoutDisk.count(Progress.Member.Key.Member) != 0)
      return expel_member{Progress.Member.Key.Member};
  return std::nullopt;
}

} // namespace

std::optional<member_change> nextMemberRepair(const replica_status &Status,
                                              const std::set<member_id> &MembersWithoutDisk,
                                              const member_repair_options &Options) {
  if (Options.TargetVoters == 0 || Status.Role != replica_role::Leader || !Status.LeaseValid)
    return std::nullopt;
  if (const auto Removal = unresponsiveLearnerRemoval(Status, Options))
    return Removal;
  const voter_totals Voters = totalVoters(Status, Options);
  const member_progress *LongestSilent = findLongestSilentVoter(Status);
  const bool QuorumWithoutOne = Voters.Responsive >= quorumOf(Voters.All - 1);
  // A voter beyond the target is expelled even if it is responsive.
  if (Voters.All > Options.TargetVoters && QuorumWithoutOne && LongestSilent != nullptr)
    return expel_member{LongestSilent->Member.Key.Member};
  const member_progress *Replacement = findCaughtUpLearner(Status, Options);
  if (Replacement == nullptr || Voters.All != Options.TargetVoters)
    return std::nullopt;
  const auto VoterRemoval = voterWithoutDiskRemoval(Status, MembersWithoutDisk);
  if (VoterRemoval)
    return QuorumWithoutOne ? VoterRemoval : std::nullopt;
  const bool TimedOut =
      LongestSilent != nullptr && LongestSilent->SinceLastReply > Options.VoterTimeout;
  if (TimedOut && Voters.Responsive + 1 >= quorumOf(Voters.All + 1))
    return promote_member{Replacement->Member.Key};
  return std::nullopt;
}

} // namespace pollenstall

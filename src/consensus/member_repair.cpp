/** @file member_repair.cpp Lost members make room for those that stand by. */
#include "consensus/member_repair_func.h"

#include "consensus/member_set_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

bool isVoting(const member_progress &Progress) {
  return Progress.Member.Standing == member_standing::Voter;
}

/// The voters as the leader hears them, itself among them.
struct voter_count {
  std::size_t All{1};
  std::size_t Heard{1};
};

voter_count countVoters(const replica_status &Status, const member_repair_options &Options) {
  voter_count Count;
  for (const member_progress &Progress : Status.Progress) {
    if (!isVoting(Progress))
      continue;
    ++Count.All;
    Count.Heard += Progress.SinceHeard < Options.VoterSilence / 2 ? 1 : 0;
  }
  return Count;
}

/// @return A learner that could vote now, or null.
const member_progress *standBy(const replica_status &Status, const member_repair_options &Options) {
  for (const member_progress &Progress : Status.Progress) {
    const bool CaughtUp =
        Progress.Match.value() + Options.CaughtUpWithin >= Status.LastIndex.value();
    if (!isVoting(Progress) && CaughtUp && Progress.SinceHeard < Options.VoterSilence / 2)
      return &Progress;
  }
  return nullptr;
}

/// @return The voter that was not heard of for the longest time, or null.
const member_progress *mostSilent(const replica_status &Status) {
  const member_progress *Found = nullptr;
  for (const member_progress &Progress : Status.Progress)
    if (isVoting(Progress) && (Found == nullptr || Progress.SinceHeard > Found->SinceHeard))
      Found = &Progress;
  return Found;
}

std::optional<member_change> forgetLearner(const replica_status &Status,
                                           const member_repair_options &Options) {
  for (const member_progress &Progress : Status.Progress)
    if (!isVoting(Progress) && Progress.SinceHeard > Options.LearnerSilence)
      return expel_member{Progress.Member.Key.Member};
  return std::nullopt;
}

std::optional<member_change> expelEmptied(const replica_status &Status,
                                          const std::set<member_id> &Emptied) {
  for (const member_progress &Progress : Status.Progress)
    if (isVoting(Progress) && Emptied.count(Progress.Member.Key.Member) != 0)
      return expel_member{Progress.Member.Key.Member};
  return std::nullopt;
}

} // namespace

std::optional<member_change> memberRepair(const replica_status &Status,
                                          const std::set<member_id> &Emptied,
                                          const member_repair_options &Options) {
  if (Options.TargetVoters == 0 || Status.Role != replica_role::Leader || !Status.LeaseValid)
    return std::nullopt;
  if (const auto Forgotten = forgetLearner(Status, Options))
    return Forgotten;
  const voter_count Voters = countVoters(Status, Options);
  const member_progress *Silent = mostSilent(Status);
  const bool CanSpareOne = Voters.Heard >= quorumOf(Voters.All - 1);
  if (Voters.All > Options.TargetVoters && CanSpareOne && Silent != nullptr)
    return expel_member{Silent->Member.Key.Member};
  const member_progress *Next = standBy(Status, Options);
  if (Next == nullptr || Voters.All != Options.TargetVoters)
    return std::nullopt;
  const auto Replaced = expelEmptied(Status, Emptied);
  if (Replaced)
    return CanSpareOne ? Replaced : std::nullopt;
  const bool Lost = Silent != nullptr && Silent->SinceHeard > Options.VoterSilence;
  if (Lost && Voters.Heard + 1 >= quorumOf(Voters.All + 1))
    return promote_member{Next->Member.Key};
  return std::nullopt;
}

} // namespace pollenstall

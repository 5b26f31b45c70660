/** @file member_repair.cpp Lost members make room for those that stand by. */
#include "consensus/member_repair_func.h"

#include "consensus/member_set_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

bool isVoting(const member_progress &Progress) {
  return Progress.Member.Standing == member_standing::Voter;
}

bool standsBy(const member_progress &Progress, const replica_status &Status,
              const member_repair_options &Options) {
  const bool CaughtUp = Progress.Match.value() + Options.CaughtUpWithin >= Status.LastIndex.value();
  return !isVoting(Progress) && CaughtUp && Progress.SinceHeard < Options.VoterSilence / 2;
}

/// @return Whether the voters that answer make a quorum once another one is gone.
bool canSpareOne(const replica_status &Status, const member_repair_options &Options) {
  std::size_t Voters = 1; // The leader itself.
  std::size_t Heard = 1;
  for (const member_progress &Progress : Status.Progress) {
    if (!isVoting(Progress))
      continue;
    ++Voters;
    Heard += Progress.SinceHeard < Options.VoterSilence / 2 ? 1 : 0;
  }
  const std::size_t After = Voters - 1;
  return Heard >= After / 2 + 1;
}

} // namespace

std::optional<member_id> memberToExpel(const replica_status &Status,
                                       const member_repair_options &Options) {
  if (Options.TargetVoters == 0 || Status.Role != replica_role::Leader || !Status.LeaseValid)
    return std::nullopt;
  for (const member_progress &Progress : Status.Progress)
    if (!isVoting(Progress) && Progress.SinceHeard > Options.LearnerSilence)
      return Progress.Member.Key.Member;
  const bool Replaceable =
      std::any_of(Status.Progress.begin(), Status.Progress.end(),
                  [&](const auto &Progress) { return standsBy(Progress, Status, Options); });
  if (!Replaceable || voterCount(Status.Members) < Options.TargetVoters ||
      !canSpareOne(Status, Options))
    return std::nullopt;
  for (const member_progress &Progress : Status.Progress)
    if (isVoting(Progress) && Progress.SinceHeard > Options.VoterSilence)
      return Progress.Member.Key.Member;
  return std::nullopt;
}

} // namespace pollenstall

/** @file replica_core_lease.cpp The leader's lease, check-quorum and clock jumps. */
#include "consensus/replica_core_base.h"

#include <algorithm>
#include <functional>

namespace pollenstall {

namespace {
constexpr std::int64_t Permille = 1000;
} // namespace

std::optional<mono_time> replica_core::quorumContactTime(mono_time Now) const {
  std::vector<mono_time> ContactTimes;
  if (isVoter(members(), Self))
    ContactTimes.push_back(Now);
  for (const follower_progress &Progress : Followers)
    if (Progress.lastRepliedSendTime() && isVoter(members(), Progress.key()))
      ContactTimes.push_back(*Progress.lastRepliedSendTime());
  const std::size_t Quorum = quorumSize(members());
  if (ContactTimes.size() < Quorum)
    return std::nullopt;
  std::sort(ContactTimes.begin(), ContactTimes.end(), std::greater<>());
  return ContactTimes[Quorum - 1];
}

mono_time replica_core::leaseEnd() const {
  if (role() != replica_role::Leader)
    return {};
  const auto ContactTime = quorumContactTime(LastEvent);
  if (!ContactTime)
    return {};
  // The lease starts at the send time, which is before the follower's timeout starts. The
  // follower's clock may run fast and this one slow, so twice the skew is deducted:
  // (1 - s) / (1 + s) > 1 - 2s.
  const std::int64_t LeasePermille = Permille - 2 * std::int64_t{Options.ClockSkewPermille};
  return *ContactTime + Options.MinElectionTimeout * LeasePermille / Permille;
}

bool replica_core::leaseValid(mono_time Now) const {
  if (role() != replica_role::Leader || Commit < TermStartIndex || isClockJump(Now))
    return false;
  return Now < leaseEnd();
}

void replica_core::checkQuorum(mono_time Now) {
  // A partitioned leader would accept proposals that can never be committed, and its callers would
  // wait in vain, so it steps down.
  const mono_time ContactTime =
      std::max(quorumContactTime(Now).value_or(LeadingSince), LeadingSince);
  if (Now - ContactTime > Options.MaxElectionTimeout)
    stepDown();
}

bool replica_core::isClockJump(mono_time Now) const {
  return Now < LastEvent || Now - LastEvent > Options.MaxClockStep;
}

void replica_core::handleClockJump(mono_time Now) {
  // After a jump it is unknown how much time has passed. The lease is lost, and only replies to
  // later messages renew it. A follower restarts the time during which it votes for no other
  // member.
  LastLeaderContact = Now;
  LeadingSince = Now;
  LeaseRound = NextRound;
  for (follower_progress &Progress : Followers)
    Progress.clearRepliedSendTime();
  NextHeartbeat = Now;
  NextAdmissionRequest = Now;
  randomizeElectionDeadline(Now);
}

} // namespace pollenstall

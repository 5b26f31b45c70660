/** @file replica_core_lease.cpp The leader's lease, check-quorum and clock jumps. */
#include "consensus/replica_core_base.h"

#include <algorithm>
#include <functional>

namespace pollenstall {

namespace {
constexpr std::int64_t Permille = 1000;
} // namespace

std::optional<mono_time> replica_core::quorumHeardAt(mono_time Now) const {
  std::vector<mono_time> Times;
  if (isVoter(members(), Self))
    Times.push_back(Now);
  for (const follower_progress &Progress : Followers)
    if (Progress.heardAt() && isVoter(members(), Progress.key()))
      Times.push_back(*Progress.heardAt());
  const std::size_t Quorum = quorumSize(members());
  if (Times.size() < Quorum)
    return std::nullopt;
  std::sort(Times.begin(), Times.end(), std::greater<>());
  return Times[Quorum - 1];
}

mono_time replica_core::leaseEnd() const {
  if (role() != replica_role::Leader)
    return {};
  const auto Heard = quorumHeardAt(LastEvent);
  if (!Heard)
    return {};
  // Counted from the sending, which is before the follower's own count begins. The follower's clock
  // may run fast and this one slow, hence the skew twice: (1 - s) / (1 + s) > 1 - 2s.
  const std::int64_t Kept = Permille - 2 * std::int64_t{Options.ClockSkewPermille};
  return *Heard + Options.MinElectionTimeout * Kept / Permille;
}

bool replica_core::leaseValid(mono_time Now) const {
  if (role() != replica_role::Leader || Commit < FirstOwnIndex || isClockJump(Now))
    return false;
  return Now < leaseEnd();
}

void replica_core::checkQuorum(mono_time Now) {
  // A leader that is cut off without noticing would take proposals that can never be committed, and
  // its callers would wait for nothing; so it leaves office by itself.
  const mono_time Heard = std::max(quorumHeardAt(Now).value_or(LeadingSince), LeadingSince);
  if (Now - Heard > Options.MaxElectionTimeout)
    leaveOffice();
}

bool replica_core::isClockJump(mono_time Now) const {
  return Now < LastEvent || Now - LastEvent > Options.MaxClockStep;
}

void replica_core::noteClockJump(mono_time Now) {
  // After a jump nobody knows how much true time has passed. The lease is lost and only answers to
  // later messages renew it; a follower counts its promise to the leader from the beginning.
  LastHeard = Now;
  LeadingSince = Now;
  LeaseRound = NextRound;
  for (follower_progress &Progress : Followers)
    Progress.forgetHeard();
  NextHeartbeat = Now;
  NextJoin = Now;
  drawElectionDeadline(Now);
}

} // namespace pollenstall

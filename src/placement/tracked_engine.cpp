/** @file tracked_engine.cpp Reported work of other entries, and backoff after failures. */
#include "placement/tracked_engine_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstall {

namespace {

constexpr std::uint32_t MaxDoublings = 6;

} // namespace

void tracked_engine::setOthersLoad(const work_load &Load, mono_time Now) {
  Others = Load;
  OthersReceived = Now;
}

bool tracked_engine::hasWinningClaim(std::uint32_t ClaimRank, double ThresholdMs, mono_time Now,
                                     mono_duration MaxAge) const {
  return Others.LowestClaimRank != 0 && Others.LowestClaimRank < ClaimRank &&
         othersLoad(Now, MaxAge).PrefillMs > ThresholdMs;
}

engine_view tracked_engine::othersLoad(mono_time Now, mono_duration MaxAge) const {
  engine_view View;
  if (OthersReceived == mono_time::min() || Now - OthersReceived > MaxAge)
    return View;
  const work_load CurrentLoad = loadAfter(Others, Now - OthersReceived);
  View.Requests = CurrentLoad.Requests;
  View.DecodingRequests = CurrentLoad.DecodingRequests;
  View.PrefillMs = CurrentLoad.PrefillMs;
  View.Tokens = CurrentLoad.Tokens;
  View.limitGap(CurrentLoad.GapMs);
  return View;
}

void tracked_engine::recordFailure(const placement_tuning &Tuning, mono_time Now) {
  // Streams that break off at the same time count as one failure.
  if (Now < BackoffUntil)
    return;
  const mono_duration Backoff = Tuning.FailureBackoff * (1U << std::min(Failures, MaxDoublings));
  BackoffUntil = Now + std::min(Backoff, Tuning.MaxBackoff);
  ++Failures;
}

double tracked_engine::declinedShare(const placement_tuning &Tuning, mono_time Now) const {
  if (DeclinedShare <= 0)
    return 0;
  const auto HalfLives = std::chrono::duration<double>(Now - DeclinedShareTime) /
                         std::chrono::duration<double>(Tuning.DeclineHalfLife);
  return DeclinedShare * std::exp2(-HalfLives);
}

void tracked_engine::recordDecline(const placement_tuning &Tuning, double UsualShare,
                                   mono_time Now) {
  const double Share = declinedShare(Tuning, Now);
  DeclinedShare = Share + (1 - Share) * Tuning.DeclineWeight;
  DeclinedShareTime = Now;
  const double Excess =
      UsualShare < 1 ? std::max(0.0, (DeclinedShare - UsualShare) / (1 - UsualShare)) : 0.0;
  const mono_duration Rest = std::min(Tuning.DeclineRest * (1U << std::min(Declines, MaxDoublings)),
                                      Tuning.MaxDeclineRest);
  RestUntil = Now + std::chrono::duration_cast<mono_duration>(Rest * Excess);
  ++Declines;
}

void tracked_engine::recordAcceptance(const placement_tuning &Tuning, mono_time Now) {
  DeclinedShare = declinedShare(Tuning, Now) * (1 - Tuning.DeclineWeight);
  DeclinedShareTime = Now;
  Declines = 0;
  RestUntil = mono_time();
}

void tracked_engine::recordPlacement(const placement_tuning &Tuning, mono_time Now) {
  if (Failures > 0)
    TrialUntil = Now + Tuning.TrialTimeout;
}

} // namespace pollenstall

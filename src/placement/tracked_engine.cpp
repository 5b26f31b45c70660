/** @file tracked_engine.cpp Reported work of other entries, and backoff after failures. */
#include "placement/tracked_engine_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint32_t MaxDoublings = 6;

} // namespace

void tracked_engine::setOthersLoad(const work_load &Load, mono_time Now) {
  // Compares the reported values as they are: an entry reports a constant remainder for a part that
  // is past its expected end, which is no new prefill.
  if (Load.PrefillMs > Others.PrefillMs)
    SeenPrefillMs += Load.PrefillMs - Others.PrefillMs;
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

void tracked_engine::recordPlacement(const placement_tuning &Tuning, mono_time Now) {
  if (Failures > 0)
    TrialUntil = Now + Tuning.TrialTimeout;
}

} // namespace pollenstall

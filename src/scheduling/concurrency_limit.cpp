/** @file concurrency_limit.cpp Adjusts the limit by the pace of answers against what is needed. */
#include "scheduling/concurrency_limit_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

/// Below this an engine's batch is too small to be worth its steps.
constexpr double LeastLimit = 12.0;
constexpr double GreatestLimit = 512.0;
constexpr double PaceGain = 0.01;
/// Downward steps of the tracked need are larger than upward ones by the odds of this quantile, so
/// that it settles where the tenth with the least time lies.
constexpr double NeedQuantile = 0.1;
constexpr double NeedGain = 0.005;
constexpr double Decrease = 0.97;
constexpr double Increase = 1.02;

} // namespace

void concurrency_limit::need(double Seconds) {
  if (Seconds <= 0.0)
    return;
  if (Needed <= 0.0)
    Needed = Seconds;
  else if (Seconds < Needed)
    Needed *= 1.0 - NeedGain * (1.0 - NeedQuantile);
  else
    Needed *= 1.0 + NeedGain * NeedQuantile;
}

void concurrency_limit::observe(double Seconds) {
  Pace = Pace <= 0.0 ? Seconds : Pace + PaceGain * (Seconds - Pace);
}

void concurrency_limit::adjust(bool Bound) {
  if (Needed <= 0.0 || Pace <= 0.0)
    return;
  if (Pace > Needed)
    Limit = std::max(LeastLimit, Limit * Decrease);
  else if (Bound)
    Limit = std::min(GreatestLimit, Limit * Increase);
}

} // namespace pollenstall

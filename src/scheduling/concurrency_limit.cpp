/** @file concurrency_limit.cpp Adjusts the limit by comparing actual and required pace. */
#include "scheduling/concurrency_limit_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

/// With a smaller batch, an engine uses its decode steps inefficiently.
constexpr double MinLimit = 12.0;
constexpr double MaxLimit = 512.0;
constexpr double PaceGain = 0.01;
/// RequiredPace tracks this quantile of the observed values: downward steps are larger than upward
/// steps by the odds of the quantile. It converges to the value that a tenth of the observed values
/// are below. These come from the requests that allow the least time per token.
constexpr double RequiredPaceQuantile = 0.1;
constexpr double RequiredPaceGain = 0.005;
constexpr double Decrease = 0.97;
constexpr double Increase = 1.02;

} // namespace

void concurrency_limit::observeRequiredPace(double SecondsPerToken) {
  if (SecondsPerToken <= 0.0)
    return;
  if (RequiredPace <= 0.0)
    RequiredPace = SecondsPerToken;
  else if (SecondsPerToken < RequiredPace)
    RequiredPace *= 1.0 - RequiredPaceGain * (1.0 - RequiredPaceQuantile);
  else
    RequiredPace *= 1.0 + RequiredPaceGain * RequiredPaceQuantile;
}

void concurrency_limit::observePace(double SecondsPerToken) {
  Pace = Pace <= 0.0 ? SecondsPerToken : Pace + PaceGain * (SecondsPerToken - Pace);
}

void concurrency_limit::adjust(bool LimitReached) {
  if (RequiredPace <= 0.0 || Pace <= 0.0)
    return;
  if (Pace > RequiredPace)
    Limit = std::max(MinLimit, Limit * Decrease);
  else if (LimitReached)
    Limit = std::min(MaxLimit, Limit * Increase);
}

} // namespace pollenstall

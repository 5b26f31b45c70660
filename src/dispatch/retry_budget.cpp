/** @file retry_budget.cpp Arithmetic of the retry budget in hundredths of a retry. */
#include "dispatch/retry_budget_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint64_t OneRetry = 100;
/// Time in which the floor regains one retry.
constexpr mono_span FloorRefill = std::chrono::seconds(1);

} // namespace

void retry_budget::earn() {
  Hundredths = std::min(Hundredths + RetryPercent, MostRetries * OneRetry);
}

void retry_budget::refillFloor(mono_time Now) {
  if (Now <= LastRefill)
    return;
  const auto Regained = static_cast<std::uint64_t>((Now - LastRefill) / FloorRefill);
  if (Regained == 0)
    return;
  LastRefill += FloorRefill * static_cast<std::int64_t>(Regained);
  const std::uint64_t Floor = FloorRetries * OneRetry;
  if (Hundredths < Floor)
    Hundredths = std::min(Floor, Hundredths + std::min(Regained, FloorRetries) * OneRetry);
}

bool retry_budget::spend(mono_time Now) {
  refillFloor(Now);
  if (Hundredths < OneRetry)
    return false;
  Hundredths -= OneRetry;
  return true;
}

double retry_budget::available() const {
  return static_cast<double>(Hundredths) / static_cast<double>(OneRetry);
}

} // namespace pollenstall

/** @file retry_budget.cpp Arithmetic of the retry budget in hundredths of a retry. */
#include "dispatch/retry_budget_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint64_t OneRetry = 100;
constexpr std::uint64_t Burst = 100;                      ///< Retries that can be saved up at most.
constexpr mono_duration Refill = std::chrono::seconds(1); ///< The floor regains one retry in it.

} // namespace

double retry_budget::share() const {
  return static_cast<double>(RetryPercent) / static_cast<double>(OneRetry);
}

void retry_budget::earn(mono_time Now) {
  if (Window)
    return Window->noteFirst(Now);
  Hundredths = std::min(Hundredths + RetryPercent, Burst * OneRetry);
}

void retry_budget::setAllowance(const retry_allowance &Value) {
  if (Window)
    Window->setAllowance(Value);
  else
    Window.emplace(Value);
}

void retry_budget::refillFloor(mono_time Now) {
  if (Now <= LastRefill)
    return;
  const auto Regained = static_cast<std::uint64_t>((Now - LastRefill) / Refill);
  if (Regained == 0)
    return;
  LastRefill += Refill * static_cast<std::int64_t>(Regained);
  constexpr std::uint64_t Full = Floor * OneRetry;
  if (Hundredths < Full)
    Hundredths = std::min(Full, Hundredths + std::min(Regained, Floor) * OneRetry);
}

bool retry_budget::spend(mono_time Now) {
  if (Window)
    return Window->spend(share(), Now);
  refillFloor(Now);
  if (Hundredths < OneRetry)
    return false;
  Hundredths -= OneRetry;
  return true;
}

double retry_budget::available() const {
  if (Window)
    return Window->available(share());
  return static_cast<double>(Hundredths) / static_cast<double>(OneRetry);
}

} // namespace pollenstall

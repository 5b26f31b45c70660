/** @file retry_budget.cpp Arithmetic of the retry budget in hundredths of a retry. */
#include "dispatch/retry_budget_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint64_t OneRetry = 100;

} // namespace

double retry_budget::share() const {
  return static_cast<double>(RetryPercent) / static_cast<double>(OneRetry);
}

void retry_budget::earn(mono_time Now) {
  if (Window)
    Window->noteFirst(Now);
  Hundredths = std::min(Hundredths + RetryPercent, Reserve.Burst * OneRetry);
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
  const auto Regained = static_cast<std::uint64_t>((Now - LastRefill) / Reserve.Refill);
  if (Regained == 0)
    return;
  LastRefill += Reserve.Refill * static_cast<std::int64_t>(Regained);
  const std::uint64_t Floor = Reserve.Floor * OneRetry;
  if (Hundredths < Floor)
    Hundredths = std::min(Floor, Hundredths + std::min(Regained, Reserve.Floor) * OneRetry);
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

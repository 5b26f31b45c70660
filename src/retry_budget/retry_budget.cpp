/** @file retry_budget.cpp The retry budget, counted in hundredths of a retry. */
#include "retry_budget/retry_budget_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint64_t HundredthsPerRetry = 100;
constexpr std::uint64_t MaxSavedRetries = 100; ///< Maximum balance.
constexpr mono_duration RefillInterval =
    std::chrono::seconds(1); ///< Time to refill one retry of the floor.

} // namespace

void retry_budget::setPercent(std::uint32_t Percent) {
  RetryPercent = Percent;
  if (Shared)
    Shared->setShare(static_cast<double>(Percent) / static_cast<double>(HundredthsPerRetry));
}

void retry_budget::setAllowance(const retry_allowance &Value, std::uint64_t Seed, mono_time Now) {
  Shared.emplace(Value, retry_budget_tuning{}, Seed, Now);
  setPercent(RetryPercent);
}

void retry_budget::deposit(const service_name &Service, mono_time Now) {
  if (Shared)
    return Shared->deposit(Service, Now);
  BalanceHundredths =
      std::min(BalanceHundredths + RetryPercent, MaxSavedRetries * HundredthsPerRetry);
}

void retry_budget::refillFloor(mono_time Now) {
  if (Now <= LastRefill)
    return;
  const auto Regained = static_cast<std::uint64_t>((Now - LastRefill) / RefillInterval);
  if (Regained == 0)
    return;
  LastRefill += RefillInterval * static_cast<std::int64_t>(Regained);
  constexpr std::uint64_t FloorBalance = FloorRetries * HundredthsPerRetry;
  if (BalanceHundredths < FloorBalance)
    BalanceHundredths = std::min(
        FloorBalance, BalanceHundredths + std::min(Regained, FloorRetries) * HundredthsPerRetry);
}

bool retry_budget::tryWithdraw(const service_name &Service, mono_time Now) {
  if (Shared)
    return Shared->tryWithdraw(Service, Now);
  refillFloor(Now);
  if (BalanceHundredths < HundredthsPerRetry)
    return false;
  BalanceHundredths -= HundredthsPerRetry;
  return true;
}

void retry_budget::refund(const service_name &Service, mono_time Now) {
  if (Shared)
    return Shared->refund(Service, Now);
  BalanceHundredths =
      std::min(BalanceHundredths + HundredthsPerRetry, MaxSavedRetries * HundredthsPerRetry);
}

double retry_budget::available(const service_name &Service, mono_time Now) {
  if (Shared)
    return Shared->available(Service, Now);
  refillFloor(Now);
  return static_cast<double>(BalanceHundredths) / static_cast<double>(HundredthsPerRetry);
}

} // namespace pollenstall

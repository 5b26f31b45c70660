/** @file retry_budget_base.h Limits retries to a share of the first attempts. */
#ifndef POLLENSTALL_DISPATCH_RETRY_BUDGET_BASE_H
#define POLLENSTALL_DISPATCH_RETRY_BUDGET_BASE_H

#include "core/core.h"
#include "dispatch/retry_window_base.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenstall {

/**
 * Token bucket of retries: each first attempt adds RetryPercent hundredths of a retry.
 * Without it, backend servers that fail under load would get up to MaxAttempts times the load and
 * would not recover. A small floor that refills over time allows an idle entry to retry single
 * failures. After setAllowance() a retry_window replaces the bucket.
 */
class retry_budget {
public:
  /// @param Percent Retries added by a hundred first attempts.
  explicit retry_budget(std::uint32_t Percent) : RetryPercent(Percent) {}

  /// Changes the share of retries; the balance is kept.
  void setPercent(std::uint32_t Percent) { RetryPercent = Percent; }
  /// Replaces the token bucket by a limit on the retries in each sliding time window.
  void setAllowance(const retry_allowance &Value);
  /// Counts the first attempt of a request.
  void deposit(mono_time Now);
  /// Withdraws one retry. @return Whether a retry may start now.
  bool tryWithdraw(mono_time Now);
  /// @return The number of retries available at the last tryWithdraw().
  [[nodiscard]] double available() const;

private:
  static constexpr std::uint64_t FloorRetries = 3; ///< Balance up to which time alone refills.

  [[nodiscard]] double share() const;
  void refillFloor(mono_time Now);

  std::uint32_t RetryPercent;
  std::optional<retry_window> Window; ///< Set if there is an allowance.
  std::uint64_t BalanceHundredths{FloorRetries * 100};
  mono_time LastRefill{};
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_RETRY_BUDGET_BASE_H

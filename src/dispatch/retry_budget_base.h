/** @file retry_budget_base.h Bounds retries to a share of the first attempts. */
#ifndef POLLENSTALL_DISPATCH_RETRY_BUDGET_BASE_H
#define POLLENSTALL_DISPATCH_RETRY_BUDGET_BASE_H

#include "core/core.h"
#include "dispatch/retry_window_base.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenstall {

/**
 * Token bucket over retries: each first attempt earns RetryPercent hundredths of a retry.
 * Without it, backend servers that fail under load get up to MaxAttempts times the load, and stay
 * down. A small floor that refills with time keeps single failures retried on a quiet entry.
 */
class retry_budget {
public:
  /// @param Percent Retries earned by a hundred first attempts.
  explicit retry_budget(std::uint32_t Percent) : RetryPercent(Percent) {}

  /// Takes a new share from the declaration; what was earned stays.
  void setPercent(std::uint32_t Percent) { RetryPercent = Percent; }
  /// Bounds the retries of any window in place of what is saved up.
  void setAllowance(const retry_allowance &Value);
  /// A request's first attempt starts.
  void earn(mono_time Now);
  /// @return Whether a retry may start now; if so it is paid for.
  bool spend(mono_time Now);
  /// @return Retries that are paid for, as of the last spend().
  [[nodiscard]] double available() const;

private:
  static constexpr std::uint64_t Floor = 3; ///< Retries; reached again by time alone.

  [[nodiscard]] double share() const;
  void refillFloor(mono_time Now);

  std::uint32_t RetryPercent;
  std::optional<retry_window> Window; ///< Where an allowance was set.
  std::uint64_t Hundredths{Floor * 100};
  mono_time LastRefill{};
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_RETRY_BUDGET_BASE_H

/** @file retry_budget_base.h Limits retries to a share of the first attempts. */
#ifndef POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_BASE_H
#define POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_BASE_H

#include "retry_budget/shared_retry_budget_base.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenstall {

/**
 * Token bucket of retries: each first attempt adds RetryPercent hundredths of a retry.
 * Without it, backend servers that fail under load would get up to MaxAttempts times the load and
 * would not recover. A small floor that refills over time allows an idle entry to retry single
 * failures. After setAllowance() a shared_retry_budget replaces the bucket.
 */
class retry_budget {
public:
  /// @param Percent Retries added by a hundred first attempts.
  explicit retry_budget(std::uint32_t Percent) : RetryPercent(Percent) {}

  /// Changes the share of retries; the balance is kept.
  void setPercent(std::uint32_t Percent);
  /// Replaces the token bucket by a budget that all entries share.
  /// @param Seed Of the order in which other entries are asked for loans.
  void setAllowance(const retry_allowance &Value, std::uint64_t Seed, mono_time Now);
  /// @return The budget that all entries share; nullptr if there is none.
  [[nodiscard]] shared_retry_budget *shared() { return Shared ? &*Shared : nullptr; }
  /// @return When the shared budget must send messages next; empty if it has none.
  [[nodiscard]] std::optional<mono_time> nextWake() const {
    return Shared ? Shared->nextWake() : std::nullopt;
  }
  /// Counts the first attempt of a request.
  void deposit(const service_name &Service, mono_time Now);
  /// Withdraws one retry. @return Whether a retry may start now.
  bool tryWithdraw(const service_name &Service, mono_time Now);
  /// Takes back a withdrawn retry of which no byte was sent.
  void refund(const service_name &Service, mono_time Now);
  /// @return The number of retries that may start now.
  double available(const service_name &Service, mono_time Now);

private:
  static constexpr std::uint64_t FloorRetries = 3; ///< Balance up to which time alone refills.

  void refillFloor(mono_time Now);

  std::uint32_t RetryPercent;
  std::optional<shared_retry_budget> Shared;
  std::uint64_t BalanceHundredths{FloorRetries * 100};
  mono_time LastRefill{};
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_RETRY_BUDGET_BASE_H

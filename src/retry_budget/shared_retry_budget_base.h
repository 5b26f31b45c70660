/** @file shared_retry_budget_base.h One entry's part in the retry budget of all entries. */
#ifndef POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H
#define POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H

#include "retry_budget/retry_window_base.h"

#include <unordered_map>

namespace pollenstall {

/**
 * Keeps the retries of this entry for each service within its part of the allowance of all entries.
 * Each service has an allowance of its own: requests for one that is sound must not pay for retries
 * at one that fails.
 */
class shared_retry_budget {
public:
  shared_retry_budget(const retry_allowance &NewAllowance, const retry_budget_tuning &Values)
      : Allowance(NewAllowance), Tuning(Values) {}

  /// Sets how many retries each request pays for.
  void setShare(double NewShare) { Share = NewShare; }
  /// Sets the number of entries that share the allowance.
  void setEntries(std::size_t Count) { Entries = Count; }
  /// Counts the first attempt of a request.
  void deposit(const service_name &Service, mono_time Now);
  /// Uses up one retry. @return Whether it may start now.
  bool tryWithdraw(const service_name &Service, mono_time Now);
  /// @return The number of retries that may start now.
  retry_amount available(const service_name &Service, mono_time Now);
  /// @return This entry's part of the reserve of each service.
  [[nodiscard]] retry_amount part() const;

private:
  retry_window &windowOf(const service_name &Service, mono_time Now);

  retry_allowance Allowance;
  retry_budget_tuning Tuning;
  double Share{0};
  std::size_t Entries{0};
  std::unordered_map<service_name, retry_window> Windows;
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H

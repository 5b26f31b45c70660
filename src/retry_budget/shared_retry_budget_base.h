/** @file shared_retry_budget_base.h One entry's part in the retry budget of all entries. */
#ifndef POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H
#define POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H

#include "retry_budget/entry_census_base.h"
#include "retry_budget/retry_window_base.h"

#include <unordered_map>

namespace pollenstall {

/**
 * Keeps the retries of this entry for each service within its part of the allowance of all entries.
 * Each service has an allowance of its own: requests for one that is sound must not pay for retries
 * at one that fails.
 *
 * The parts of all entries never add up to more than the allowance, although each entry computes
 * its own: it divides by the highest number of entries of recent lists, and uses nothing while it
 * is out of contact with control, since the others may no longer count it. An entry that starts, or
 * is back after a time out of contact, regards its part as used: what its earlier incarnation, or
 * the others in its place, have used is not known here.
 */
class shared_retry_budget {
public:
  /// @param Start When this process started.
  shared_retry_budget(const retry_allowance &NewAllowance, const retry_budget_tuning &Values,
                      mono_time Start);

  /// Sets how many retries each request pays for.
  void setShare(double NewShare) { Share = NewShare; }
  /// Records that control has listed the entries that share the allowance, with this one.
  void setEntries(std::size_t Count, mono_time Now);
  /// Records that control regards this entry as present until then, at least.
  void confirmContact(mono_time Until, mono_time Now);
  /// Counts the first attempt of a request.
  void deposit(const service_name &Service, mono_time Now);
  /// Uses up one retry. @return Whether it may start now.
  bool tryWithdraw(const service_name &Service, mono_time Now);
  /// Takes back a withdrawn retry of which no byte was sent.
  void refund(const service_name &Service, mono_time Now);
  /// @return The number of retries that may start now.
  retry_amount available(const service_name &Service, mono_time Now);
  /// @return This entry's part of the reserve of each service.
  [[nodiscard]] retry_amount part(mono_time Now) const;

private:
  void assumeUsed(mono_time Now);
  /// @return How long a retry counts after the decision on it.
  [[nodiscard]] mono_duration useLifetime() const;
  retry_window &windowOf(const service_name &Service, mono_time Now);

  retry_allowance Allowance;
  retry_budget_tuning Tuning;
  double Share{0};
  entry_census Census;
  mono_time UsedUntil;    ///< Until then the part of each service is regarded as used.
  mono_time ContactUntil; ///< From then on, the others may no longer count this entry.
  std::unordered_map<service_name, retry_window> Windows;
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H

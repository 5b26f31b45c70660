/** @file shared_retry_budget_base.h One entry's part in the retry budget of all entries. */
#ifndef POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H
#define POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H

#include "retry_budget/entry_census_base.h"
#include "retry_budget/retry_borrower_base.h"
#include "retry_budget/retry_window_base.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

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
 *
 * An entry that falls short borrows from the others. A loan counts as used by the lender, so loans
 * move retries between entries and never add any.
 */
class shared_retry_budget {
public:
  /// @param Start When this process started.
  shared_retry_budget(const retry_allowance &NewAllowance, const retry_budget_tuning &Values,
                      std::uint64_t Seed, mono_time Start);

  /// Sets how many retries each request pays for.
  void setShare(double NewShare) { Share = NewShare; }
  /// Records that control has listed the entries that share the allowance, with this one.
  void setEntries(retry_sharers Entries, mono_time Now);
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
  /// @return How many entries may use a part now.
  [[nodiscard]] std::size_t entries(mono_time Now) const;
  /// @return This entry's part of the reserve of each service.
  [[nodiscard]] retry_amount part(mono_time Now) const;

  /// Sets how many retries wait for a loan.
  void want(const service_name &Service, std::size_t Retries, mono_time Now);
  /// @return Whether a loan may come soon.
  [[nodiscard]] bool mayBorrow(const service_name &Service, mono_time Now) const;
  /// Handles a message of another entry. A loan may make retries available.
  void receive(const received_retry_message &Received, mono_time Now);
  /// Must be called at least each retry_budget_tuning::SuspensionThreshold.
  std::vector<retry_datagram> takeDatagrams(mono_time Now);
  /// @return When takeDatagrams() must be called next; empty if nothing is wanted.
  [[nodiscard]] std::optional<mono_time> nextWake() const { return Borrower.nextWake(); }
  /// @return The budget of each service with requests or retries, in no order.
  std::vector<retry_budget_status> status(mono_time Now);

private:
  struct service_budget {
    service_name Name; ///< Empty until this entry has a request for the service.
    retry_window Window;
    mono_time NeededAt{}; ///< When a retry was last wanted here.
    retry_amount Lent{0};
    retry_amount Borrowed{0};
  };

  void assumeUsed(mono_time Now);
  /// Detects that the process was suspended. Requests that waited meanwhile were sent in an earlier
  /// window and pay for nothing in this one.
  void detectSuspension(mono_time Now);
  /// @return How long a retry counts after the decision on it.
  [[nodiscard]] mono_duration useLifetime() const;
  service_budget &budgetOf(std::uint64_t Service, mono_time Now);
  service_budget &budgetOf(const service_name &Service, mono_time Now);
  [[nodiscard]] mono_duration slotLength() const;
  /// @return What this entry has left itself, rounded. Parts are fractions and retries whole ones;
  /// the roundings of all entries are spread evenly by rank, which leaves their sum as it is.
  [[nodiscard]] retry_amount ownRetries(const service_budget &Budget, mono_time Now) const;
  retry_amount lend(const retry_loan_request &Request, mono_time Now);

  retry_allowance Allowance;
  retry_budget_tuning Tuning;
  double Share{0};
  entry_census Census;
  std::size_t Rank{0};
  mono_time UsedUntil;    ///< Until then the part of each service is regarded as used.
  mono_time ContactUntil; ///< From then on, the others may no longer count this entry.
  mono_time ActiveAt{mono_time::min()};
  mono_time BacklogUntil{mono_time::min()}; ///< Until then, requests may be of before a suspension.
  std::unordered_map<std::uint64_t, service_budget> Budgets; ///< By the hash of the service's name.
  retry_borrower Borrower;
  std::vector<retry_datagram> Answers;
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_SHARED_RETRY_BUDGET_BASE_H

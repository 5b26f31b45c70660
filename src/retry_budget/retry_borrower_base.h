/** @file retry_borrower_base.h Borrows retries from other entries. */
#ifndef POLLENSTALL_RETRY_BUDGET_RETRY_BORROWER_BASE_H
#define POLLENSTALL_RETRY_BUDGET_RETRY_BORROWER_BASE_H

#include "retry_budget/retry_budget_type.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pollenstall {

/**
 * Asks other entries for retries that this entry lacks. Failures are rarely spread over the entries
 * as evenly as the reserve is.
 *
 * The lender regards a loan as used when it sends it, so a loan that is lost, or not used in time,
 * is used by nobody. While nobody has anything to lend, requests become rarer.
 */
class retry_borrower {
public:
  /// @param NewLifetime A loan is valid for this long after it was asked for.
  retry_borrower(const retry_budget_tuning &Values, mono_duration NewLifetime, std::uint64_t Seed)
      : Tuning(Values), LoanLifetime(NewLifetime), Random(Seed),
        SavedRequests(Values.MaxSavedRequests) {}

  /// Sets the work addresses of the other entries.
  void setPeers(std::vector<std::string> Addresses);
  /// Sets how many retries are wanted now; 0: none.
  void want(std::uint64_t Service, retry_amount Amount, mono_time Now);
  /// @return Whether a loan may come soon: there are other entries, and some had something to lend
  /// when they were last asked.
  [[nodiscard]] bool mayBorrow(std::uint64_t Service, mono_time Now) const;
  void receive(const retry_loan &Loan, mono_time Now);
  /// @return What is left of loans that are valid.
  retry_amount available(std::uint64_t Service, mono_time Now);
  /// Uses up loans, the oldest first. @return The amount that they did not cover.
  retry_amount use(std::uint64_t Service, retry_amount Amount, mono_time Now);

  /// @return The requests for loans that are due.
  std::vector<retry_datagram> takeRequests(mono_time Now);
  /// @return When takeRequests() must be called next; empty if nothing is wanted.
  [[nodiscard]] std::optional<mono_time> nextWake() const;

private:
  struct valid_loan {
    mono_time Until;
    retry_amount Amount;
  };
  struct account {
    retry_amount Wanted{0};
    mono_time WantedUntil;
    std::deque<valid_loan> Loans;                         ///< Oldest first.
    std::unordered_map<std::uint64_t, mono_time> Pending; ///< Time of each unanswered request.
    mono_time LastRound{mono_time::min()};
    mono_time NextRound{mono_time::min()};
    mono_duration Interval{};
    std::size_t RoundRequests{0};
    std::size_t RefusedRequests{0}; ///< Since the last loan.
    retry_amount RoundLoans{0};     ///< Received since the last round.
  };

  void startRound(std::uint64_t Service, account &Account, mono_time Now,
                  std::vector<retry_datagram> &Datagrams);
  [[nodiscard]] std::size_t requestCount(const account &Account, retry_amount Missing) const;
  void refillRequests(mono_time Now);

  retry_budget_tuning Tuning;
  mono_duration LoanLifetime;
  random_source Random;
  std::vector<std::string> Peers; ///< In random order.
  std::size_t NextPeer{0};
  double SavedRequests;
  mono_time RequestsFilledAt{};
  std::uint64_t LastNumber{0};
  retry_amount UsualLoan{1}; ///< Average of recent loans.
  std::unordered_map<std::uint64_t, account> Accounts;
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_RETRY_BORROWER_BASE_H

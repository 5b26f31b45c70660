/** @file account_queue_base.h Queue of waiting requests with fair sharing by cost. */
#ifndef POLLENSTALL_SCHEDULING_ACCOUNT_QUEUE_BASE_H
#define POLLENSTALL_SCHEDULING_ACCOUNT_QUEUE_BASE_H

#include "scheduling/scheduling_type.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace pollenstall {

constexpr std::size_t LengthClassCount = 3;

/// A request that waits for a backend server.
struct waiting_work {
  work_item Item;
  length_class Class{length_class::Short};
  group_name Group;      ///< Chosen at random by weight from the candidate groups of the item.
  double Cost{0};        ///< Expected engine seconds.
  mono_time LatestStart; ///< A request that starts later cannot end by its deadline.
};

/// Result of account_queue::push().
enum class enqueue_status : std::uint8_t { Accepted, QueueFull, AccountLimit };

/**
 * Start-time fair queueing over accounts (Goyal, Vin, Cheng 1996). Each placement advances the
 * finish tag of its account by cost divided by share; the account with the lowest start tag is
 * served first. Virtual time is the lowest finish tag of the accounts with waiting requests, not
 * the tag of the account served last: length classes are served out of order, so the short requests
 * of an account with a high tag would raise the start tags of all accounts to its own. Requests of
 * one account and length class are served in arrival order.
 */
class account_queue {
public:
  /// Sets the maximum number of waiting requests over all accounts.
  void setQueueLimit(std::uint32_t Limit) { QueueLimit = Limit; }
  /// @param Share Relative share of the cost.
  /// @param Limit Maximum number of waiting requests of the account.
  void setAccount(const client_account_name &Account, std::uint32_t Share, std::uint32_t Limit);
  /// Removes accounts without waiting requests; setAccount() must follow for each declared account.
  void dropIdleAccounts();

  enqueue_status push(waiting_work Work);
  /// Removes a request without charging its account. @return The request if it was waiting.
  std::optional<waiting_work> withdraw(request_number Request);
  /// Removes a placed request and charges its account. @return The request if it was waiting.
  std::optional<waiting_work> place(request_number Request, mono_time Now);
  /// Adds the difference, which may be negative, to the charge of an account once the actual cost
  /// of a request is known.
  void adjustCharge(const client_account_name &Account, double CostDifference);
  /// Removes and returns the requests whose latest start has passed.
  std::vector<waiting_work> removeExpired(mono_time Now);

  /**
   * @param MaxPerAccount Maximum number of requests of one account.
   * @param MaxTotal Maximum number of requests over all accounts.
   * @return Waiting requests of a class in the order in which to try to place them.
   */
  [[nodiscard]] std::vector<const waiting_work *>
  candidates(length_class Class, std::size_t MaxPerAccount, std::size_t MaxTotal) const;
  /// Returns the arrival time of the oldest waiting request of the class.
  [[nodiscard]] std::optional<mono_time> oldestArrival(length_class Class) const;
  /// Returns the earliest latest-start time over all waiting requests.
  [[nodiscard]] std::optional<mono_time> nextExpiry() const;
  /**
   * Returns the recent placed cost of the account divided by its fair share of the recent placed
   * cost of all active accounts. 1 is exactly the fair share. Returns 0 if no other account is
   * active.
   */
  [[nodiscard]] double relativeUsage(const client_account_name &Account, mono_time Now) const;
  /// Returns the cost of the waiting requests of the class, of all accounts, that fair sharing
  /// places before a new request of the account.
  [[nodiscard]] double costAhead(const client_account_name &Account, length_class Class) const;
  [[nodiscard]] std::size_t size() const { return WaitingRequests.size(); }
  [[nodiscard]] std::size_t size(length_class Class) const;
  [[nodiscard]] bool empty() const { return WaitingRequests.empty(); }

private:
  using timed_request = std::pair<mono_time, request_number>;
  struct account_state {
    double Share{1};
    std::uint32_t QueueLimit{256};
    std::uint32_t Queued{0};
    double FinishTag{0};
    double Usage{0}; ///< Exponentially decaying sum of the placed cost, as of UsageUpdated.
    mono_time UsageUpdated;
    std::array<std::set<timed_request>, LengthClassCount> Waiting;
    std::array<double, LengthClassCount> QueuedCost{};
  };

  waiting_work dequeue(std::map<request_number, waiting_work>::iterator Found);
  void advanceVirtualTime();
  static double usage(const account_state &State, mono_time Now);

  std::uint32_t QueueLimit{2'048};
  double VirtualTime{0};
  std::map<client_account_name, account_state> Accounts;
  std::map<request_number, waiting_work> WaitingRequests;
  std::set<timed_request> ByLatestStart;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_ACCOUNT_QUEUE_BASE_H

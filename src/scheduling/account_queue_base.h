/** @file account_queue_base.h Waiting work, shared fairly between client accounts by cost. */
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

constexpr std::size_t LengthClasses = 3;

/// A request that waits for a backend server.
struct waiting_work {
  work_item Item;
  length_class Class{length_class::Short};
  group_name Group;      ///< Drawn by weight from the item's candidates.
  double Cost{0};        ///< Expected engine seconds.
  mono_time LatestStart; ///< Started later, it could not end within its deadline.
};

/// Whether the queue took a request.
enum class queue_verdict : std::uint8_t { Accepted, QueueFull, AccountLimit };

/**
 * Fair queueing by virtual time over accounts, after start-time fair queueing (Goyal, Vin, Cheng
 * 1996): each placement moves its account's finish tag on by cost over share, and the account with
 * the least start tag goes first. Virtual time is the least tag of the accounts that wait and not
 * that of the last one served, because classes are served out of order: otherwise the short work of
 * an account far ahead would pull everybody's tag up to its own. Within an account and a length
 * class the oldest goes first.
 */
class account_queue {
public:
  /// @param Bound Requests that wait in all.
  void setBound(std::uint32_t Bound) { MostQueued = Bound; }
  /// @param Share Relative share by cost. @param Bound Requests of the account that wait.
  void setAccount(const client_account_name &Account, std::uint32_t Share, std::uint32_t Bound);
  /// Forgets accounts that have nothing waiting; those declared are set again afterwards.
  void dropIdleAccounts();

  queue_verdict push(waiting_work Work);
  /// Takes a request out without a charge. @return The request, if it waits.
  std::optional<waiting_work> withdraw(request_number Request);
  /// Takes a request out because it was placed, and charges its account.
  std::optional<waiting_work> place(request_number Request, mono_time Now);
  /// Adds to, or takes from, what an account was charged once the real cost is known.
  void correct(const client_account_name &Account, double CostDifference);
  /// @return Requests that can no longer start in time, taken out.
  std::vector<waiting_work> takeLate(mono_time Now);

  /**
   * @param PerAccount Requests of one account at most. @param Most Requests in all at most.
   * @return Waiting requests of a class in the order in which they are to be tried.
   */
  [[nodiscard]] std::vector<const waiting_work *>
  candidates(length_class Class, std::size_t PerAccount, std::size_t Most) const;
  /// @return When the request that waits longest in the class arrived.
  [[nodiscard]] std::optional<mono_time> oldest(length_class Class) const;
  /// @return The least latest start of all that wait.
  [[nodiscard]] std::optional<mono_time> nextLate() const;
  /**
   * @return What the account had placed lately against its fair share of what all active accounts
   * had placed; 1 is exactly fair.
   */
  [[nodiscard]] double usageAgainstShare(const client_account_name &Account, mono_time Now) const;
  /**
   * @return Cost that is served before a new request of the account, as fair shares would have it.
   */
  [[nodiscard]] double costAhead(const client_account_name &Account, length_class Class) const;
  [[nodiscard]] std::size_t size() const { return Items.size(); }
  [[nodiscard]] std::size_t size(length_class Class) const;
  [[nodiscard]] bool empty() const { return Items.empty(); }

private:
  using arrival = std::pair<mono_time, request_number>;
  struct account_state {
    double Share{1};
    std::uint32_t MostQueued{256};
    std::uint32_t Queued{0};
    double Finish{0};
    double Usage{0}; ///< Decaying sum of placed cost.
    mono_time UsageAt;
    std::array<std::set<arrival>, LengthClasses> Waiting;
    std::array<double, LengthClasses> QueuedCost{};
  };

  waiting_work takeOut(std::map<request_number, waiting_work>::iterator Found);
  void advance();
  static double usage(const account_state &State, mono_time Now);

  std::uint32_t MostQueued{2'048};
  double VirtualTime{0};
  std::map<client_account_name, account_state> Accounts;
  std::map<request_number, waiting_work> Items;
  std::set<arrival> ByLatestStart;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_ACCOUNT_QUEUE_BASE_H

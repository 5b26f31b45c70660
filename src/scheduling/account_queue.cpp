/** @file account_queue.cpp Start-time fair queueing between client accounts. */
#include "scheduling/account_queue_base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstall {
namespace {

std::size_t indexOf(length_class Class) { return static_cast<std::size_t>(Class); }

/// Long enough to see one account's long prompts as the pieces they are.
constexpr double UsageDecaySeconds = 300.0;
/// Engine seconds below which an account counts as inactive.
constexpr double LeastUsage = 0.01;

} // namespace

void account_queue::setAccount(const client_account_name &Account, std::uint32_t Share,
                               std::uint32_t Bound) {
  account_state &State = Accounts[Account];
  State.Share = std::max<std::uint32_t>(1, Share);
  State.MostQueued = Bound;
}

void account_queue::dropIdleAccounts() {
  std::erase_if(Accounts, [](const auto &Entry) { return Entry.second.Queued == 0; });
}

queue_verdict account_queue::push(waiting_work Work) {
  if (Items.size() >= MostQueued)
    return queue_verdict::QueueFull;
  account_state &State = Accounts[Work.Item.Account];
  if (State.Queued >= State.MostQueued)
    return queue_verdict::AccountLimit;
  const request_number Request = Work.Item.Request;
  requireInvariant(!Items.contains(Request), "a request waits once");
  ++State.Queued;
  State.Waiting[indexOf(Work.Class)].emplace(Work.Item.Arrived, Request);
  State.QueuedCost[indexOf(Work.Class)] += Work.Cost;
  ByLatestStart.emplace(Work.LatestStart, Request);
  Items.emplace(Request, std::move(Work));
  return queue_verdict::Accepted;
}

waiting_work account_queue::takeOut(std::map<request_number, waiting_work>::iterator Found) {
  waiting_work Work = std::move(Found->second);
  Items.erase(Found);
  const request_number Request = Work.Item.Request;
  ByLatestStart.erase({Work.LatestStart, Request});
  account_state &State = Accounts[Work.Item.Account];
  auto &Waiting = State.Waiting[indexOf(Work.Class)];
  Waiting.erase({Work.Item.Arrived, Request});
  double &Queued = State.QueuedCost[indexOf(Work.Class)];
  Queued = Waiting.empty() ? 0.0 : std::max(0.0, Queued - Work.Cost);
  requireInvariant(State.Queued > 0, "an account counts each of its waiting requests");
  --State.Queued;
  return Work;
}

std::optional<waiting_work> account_queue::withdraw(request_number Request) {
  const auto Found = Items.find(Request);
  if (Found == Items.end())
    return std::nullopt;
  waiting_work Work = takeOut(Found);
  advance();
  return Work;
}

std::optional<waiting_work> account_queue::place(request_number Request, mono_time Now) {
  const auto Found = Items.find(Request);
  if (Found == Items.end())
    return std::nullopt;
  waiting_work Work = takeOut(Found);
  account_state &State = Accounts[Work.Item.Account];
  const double Start = std::max(VirtualTime, State.Finish);
  State.Finish = Start + Work.Cost / State.Share;
  State.Usage = usage(State, Now) + Work.Cost;
  State.UsageAt = Now;
  advance();
  return Work;
}

void account_queue::advance() {
  double Least = std::numeric_limits<double>::max();
  double Greatest = VirtualTime;
  for (const auto &[Name, State] : Accounts) {
    Greatest = std::max(Greatest, State.Finish);
    if (State.Queued > 0)
      Least = std::min(Least, State.Finish);
  }
  // With nothing waiting nobody was kept from anything, so what an account used in quiet hours is
  // not held against it in the next busy one.
  VirtualTime = Items.empty() ? Greatest : std::max(VirtualTime, Least);
}

double account_queue::usage(const account_state &State, mono_time Now) {
  const double Age = std::chrono::duration<double>(Now - State.UsageAt).count();
  return State.Usage * std::exp(-std::max(0.0, Age) / UsageDecaySeconds);
}

double account_queue::usageAgainstShare(const client_account_name &Account, mono_time Now) const {
  const auto Own = Accounts.find(Account);
  if (Own == Accounts.end())
    return 0;
  double Total = 0;
  double Shares = 0;
  for (const auto &[Name, State] : Accounts) {
    const double Used = usage(State, Now);
    if (Used < LeastUsage && State.Queued == 0)
      continue;
    Total += Used;
    Shares += State.Share;
  }
  if (Total < LeastUsage || Shares <= Own->second.Share)
    return 0;
  return usage(Own->second, Now) / Total * Shares / Own->second.Share;
}

void account_queue::correct(const client_account_name &Account, double CostDifference) {
  const auto Found = Accounts.find(Account);
  if (Found != Accounts.end())
    Found->second.Finish =
        std::max(0.0, Found->second.Finish + CostDifference / Found->second.Share);
}

std::vector<waiting_work> account_queue::takeLate(mono_time Now) {
  std::vector<waiting_work> Late;
  while (!ByLatestStart.empty() && ByLatestStart.begin()->first < Now)
    Late.push_back(takeOut(Items.find(ByLatestStart.begin()->second)));
  if (!Late.empty())
    advance();
  return Late;
}

std::vector<const waiting_work *>
account_queue::candidates(length_class Class, std::size_t PerAccount, std::size_t Most) const {
  std::vector<std::pair<double, const account_state *>> Order;
  for (const auto &[Name, State] : Accounts)
    if (!State.Waiting[indexOf(Class)].empty())
      Order.emplace_back(std::max(VirtualTime, State.Finish), &State);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &Left, const auto &Right) { return Left.first < Right.first; });
  std::vector<const waiting_work *> Found;
  for (const auto &[Start, State] : Order) {
    std::size_t Taken = 0;
    for (const auto &[Arrived, Request] : State->Waiting[indexOf(Class)]) {
      if (Taken++ >= PerAccount)
        break;
      if (Found.size() >= Most)
        return Found;
      Found.push_back(&Items.at(Request));
    }
  }
  return Found;
}

std::optional<mono_time> account_queue::oldest(length_class Class) const {
  std::optional<mono_time> Oldest;
  for (const auto &[Name, State] : Accounts) {
    const auto &Waiting = State.Waiting[indexOf(Class)];
    if (!Waiting.empty() && (!Oldest || Waiting.begin()->first < *Oldest))
      Oldest = Waiting.begin()->first;
  }
  return Oldest;
}

std::optional<mono_time> account_queue::nextLate() const {
  if (ByLatestStart.empty())
    return std::nullopt;
  return ByLatestStart.begin()->first;
}

double account_queue::costAhead(const client_account_name &Account, length_class Class) const {
  double Total = 0;
  double Own = 0;
  double OwnShare = 1;
  double Shares = 0;
  for (const auto &[Name, State] : Accounts) {
    const double Queued = State.QueuedCost[indexOf(Class)];
    const bool IsOwn = Name == Account;
    Total += Queued;
    if (IsOwn) {
      Own = Queued;
      OwnShare = State.Share;
    }
    if (IsOwn || Queued > 0)
      Shares += State.Share;
  }
  return std::min(Total, Own * std::max(1.0, Shares / OwnShare));
}

std::size_t account_queue::size(length_class Class) const {
  std::size_t Count = 0;
  for (const auto &[Name, State] : Accounts)
    Count += State.Waiting[indexOf(Class)].size();
  return Count;
}

} // namespace pollenstall

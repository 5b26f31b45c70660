/** @file account_queue.cpp Start-time fair queueing (SFQ) between client accounts. */
#include "scheduling/account_queue_base.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstall {
namespace {

std::size_t indexOf(length_class Class) { return static_cast<std::size_t>(Class); }

/// Time constant of an account's usage: long enough that a single long prompt does not dominate it.
constexpr double UsageDecaySeconds = 300.0;
/// Decayed usage, in engine seconds, below which an account without queued requests is inactive.
constexpr double MinUsage = 0.01;

} // namespace

void account_queue::setAccount(const client_account_name &Account, std::uint32_t Share,
                               std::uint32_t Limit) {
  account_state &State = Accounts[Account];
  State.Share = std::max<std::uint32_t>(1, Share);
  State.QueueLimit = Limit;
}

void account_queue::dropIdleAccounts() {
  std::erase_if(Accounts, [](const auto &AccountEntry) { return AccountEntry.second.Queued == 0; });
}

enqueue_status account_queue::push(waiting_work Work) {
  if (WaitingRequests.size() >= QueueLimit)
    return enqueue_status::QueueFull;
  account_state &State = Accounts[Work.Item.Account];
  if (State.Queued >= State.QueueLimit)
    return enqueue_status::AccountLimit;
  const request_number Request = Work.Item.Request;
  requireInvariant(!WaitingRequests.contains(Request), "a request is queued at most once");
  ++State.Queued;
  State.Waiting[indexOf(Work.Class)].emplace(Work.Item.Arrived, Request);
  State.QueuedCost[indexOf(Work.Class)] += Work.Cost;
  ByLatestStart.emplace(Work.LatestStart, Request);
  WaitingRequests.emplace(Request, std::move(Work));
  return enqueue_status::Accepted;
}

waiting_work account_queue::dequeue(std::map<request_number, waiting_work>::iterator Found) {
  waiting_work Work = std::move(Found->second);
  WaitingRequests.erase(Found);
  const request_number Request = Work.Item.Request;
  ByLatestStart.erase({Work.LatestStart, Request});
  account_state &State = Accounts[Work.Item.Account];
  auto &Waiting = State.Waiting[indexOf(Work.Class)];
  Waiting.erase({Work.Item.Arrived, Request});
  double &ClassCost = State.QueuedCost[indexOf(Work.Class)];
  ClassCost = Waiting.empty() ? 0.0 : std::max(0.0, ClassCost - Work.Cost);
  requireInvariant(State.Queued > 0, "the queued count of an account covers its waiting requests");
  --State.Queued;
  return Work;
}

std::optional<waiting_work> account_queue::withdraw(request_number Request) {
  const auto Found = WaitingRequests.find(Request);
  if (Found == WaitingRequests.end())
    return std::nullopt;
  waiting_work Work = dequeue(Found);
  advanceVirtualTime();
  return Work;
}

std::optional<waiting_work> account_queue::place(request_number Request, mono_time Now) {
  const auto Found = WaitingRequests.find(Request);
  if (Found == WaitingRequests.end())
    return std::nullopt;
  waiting_work Work = dequeue(Found);
  account_state &State = Accounts[Work.Item.Account];
  const double Start = std::max(VirtualTime, State.FinishTag);
  State.FinishTag = Start + Work.Cost / State.Share;
  State.Usage = usage(State, Now) + Work.Cost;
  State.UsageUpdated = Now;
  advanceVirtualTime();
  return Work;
}

void account_queue::advanceVirtualTime() {
  double MinFinishTag = std::numeric_limits<double>::max();
  double MaxFinishTag = VirtualTime;
  for (const auto &[Name, State] : Accounts) {
    MaxFinishTag = std::max(MaxFinishTag, State.FinishTag);
    if (State.Queued > 0)
      MinFinishTag = std::min(MinFinishTag, State.FinishTag);
  }
  // If no request waits, no account was delayed. Jumping to the greatest finish tag keeps usage of
  // an idle fleet from counting against an account once the fleet is busy.
  VirtualTime = WaitingRequests.empty() ? MaxFinishTag : std::max(VirtualTime, MinFinishTag);
}

double account_queue::usage(const account_state &State, mono_time Now) {
  const double Age = std::chrono::duration<double>(Now - State.UsageUpdated).count();
  return State.Usage * std::exp(-std::max(0.0, Age) / UsageDecaySeconds);
}

double account_queue::relativeUsage(const client_account_name &Account, mono_time Now) const {
  const auto OwnAccount = Accounts.find(Account);
  if (OwnAccount == Accounts.end())
    return 0;
  double TotalUsage = 0;
  double TotalShares = 0;
  for (const auto &[Name, State] : Accounts) {
    const double AccountUsage = usage(State, Now);
    if (AccountUsage < MinUsage && State.Queued == 0)
      continue;
    TotalUsage += AccountUsage;
    TotalShares += State.Share;
  }
  if (TotalUsage < MinUsage || TotalShares <= OwnAccount->second.Share)
    return 0;
  return usage(OwnAccount->second, Now) / TotalUsage * TotalShares / OwnAccount->second.Share;
}

void account_queue::adjustCharge(const client_account_name &Account, double CostDifference) {
  const auto Found = Accounts.find(Account);
  if (Found != Accounts.end())
    Found->second.FinishTag =
        std::max(0.0, Found->second.FinishTag + CostDifference / Found->second.Share);
}

std::vector<waiting_work> account_queue::removeExpired(mono_time Now) {
  std::vector<waiting_work> Expired;
  while (!ByLatestStart.empty() && ByLatestStart.begin()->first < Now)
    Expired.push_back(dequeue(WaitingRequests.find(ByLatestStart.begin()->second)));
  if (!Expired.empty())
    advanceVirtualTime();
  return Expired;
}

std::vector<const waiting_work *> account_queue::candidates(length_class Class,
                                                            std::size_t MaxPerAccount,
                                                            std::size_t MaxTotal) const {
  std::vector<std::pair<double, const account_state *>> Order;
  for (const auto &[Name, State] : Accounts)
    if (!State.Waiting[indexOf(Class)].empty())
      Order.emplace_back(std::max(VirtualTime, State.FinishTag), &State);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<const waiting_work *> Found;
  for (const auto &[Start, State] : Order) {
    std::size_t CandidateCount = 0;
    for (const auto &[Arrived, Request] : State->Waiting[indexOf(Class)]) {
      if (CandidateCount++ >= MaxPerAccount)
        break;
      if (Found.size() >= MaxTotal)
        return Found;
      Found.push_back(&WaitingRequests.at(Request));
    }
  }
  return Found;
}

std::optional<mono_time> account_queue::oldestArrival(length_class Class) const {
  std::optional<mono_time> Oldest;
  for (const auto &[Name, State] : Accounts) {
    const auto &Waiting = State.Waiting[indexOf(Class)];
    if (!Waiting.empty() && (!Oldest || Waiting.begin()->first < *Oldest))
      Oldest = Waiting.begin()->first;
  }
  return Oldest;
}

std::optional<mono_time> account_queue::nextExpiry() const {
  if (ByLatestStart.empty())
    return std::nullopt;
  return ByLatestStart.begin()->first;
}

double account_queue::costAhead(const client_account_name &Account, length_class Class) const {
  double TotalCost = 0;
  double OwnCost = 0;
  double OwnShare = 1;
  double TotalShares = 0;
  for (const auto &[Name, State] : Accounts) {
    const double AccountCost = State.QueuedCost[indexOf(Class)];
    const bool IsOwn = Name == Account;
    TotalCost += AccountCost;
    if (IsOwn) {
      OwnCost = AccountCost;
      OwnShare = State.Share;
    }
    if (IsOwn || AccountCost > 0)
      TotalShares += State.Share;
  }
  return std::min(TotalCost, OwnCost * std::max(1.0, TotalShares / OwnShare));
}

std::size_t account_queue::size(length_class Class) const {
  std::size_t Count = 0;
  for (const auto &[Name, State] : Accounts)
    Count += State.Waiting[indexOf(Class)].size();
  return Count;
}

} // namespace pollenstall

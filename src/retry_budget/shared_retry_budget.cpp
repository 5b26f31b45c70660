/** @file shared_retry_budget.cpp Budgets by service, this entry's part of the reserve, and loans.
 */
#include "retry_budget/shared_retry_budget_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenstall {

namespace {

/// Slots of used retries in a window.
constexpr int SlotsPerWindow = 100;
/// An entry that needed retries within this part of a window keeps what it has left.
constexpr int RecentNeedDivisor = 4;
/// Requests for loans make no budgets for further services; the names in them are not checked.
constexpr std::size_t MaxBudgets = 1'024;
/// Fractions of retries add up to a whole one in spite of rounding.
constexpr retry_amount WholeRetry = 1 - 1e-9;

mono_duration scaled(mono_duration Time, double Factor) {
  return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(Time) * Factor);
}

std::uint64_t hashOf(const service_name &Service) { return stableHash(Service.str()); }

} // namespace

shared_retry_budget::shared_retry_budget(const retry_allowance &NewAllowance,
                                         const retry_budget_tuning &Values, std::uint64_t Seed,
                                         mono_time Start)
    : Allowance(NewAllowance), Tuning(Values), ContactUntil(Start + Values.ContactGrace),
      Borrower(Values, scaled(NewAllowance.Window, Values.LoanLifetimeShare), Seed) {
  assumeUsed(Start);
}

mono_duration shared_retry_budget::useLifetime() const {
  return scaled(Allowance.Window, 1 + Tuning.LatenessShare);
}

mono_duration shared_retry_budget::slotLength() const { return Allowance.Window / SlotsPerWindow; }

void shared_retry_budget::assumeUsed(mono_time Now) {
  UsedUntil = Now + useLifetime();
  for (auto &[Service, Budget] : Budgets)
    Budget.Window.assumeUsedUntil(UsedUntil);
}

void shared_retry_budget::setEntries(retry_sharers Entries, mono_time Now) {
  Census.record(Entries.Count, Now);
  Census.forgetBefore(Now - useLifetime() - Tuning.MaxUnlisted);
  Rank = Entries.Rank;
  Borrower.setPeers(std::move(Entries.Others));
  confirmContact(Now, Now);
}

void shared_retry_budget::confirmContact(mono_time Until, mono_time Now) {
  if (Now > ContactUntil)
    assumeUsed(Now);
  ContactUntil = std::max(ContactUntil, Until + Tuning.ContactGrace);
}

std::size_t shared_retry_budget::entries(mono_time Now) const {
  return Census.highestSince(Now - useLifetime() - Tuning.MaxUnlisted);
}

retry_amount shared_retry_budget::part(mono_time Now) const {
  const std::size_t Entries = entries(Now);
  if (Entries == 0 || Now > ContactUntil)
    return 0;
  return Allowance.Reserve * Tuning.UsableShare / static_cast<double>(Entries);
}

shared_retry_budget::service_budget &shared_retry_budget::budgetOf(std::uint64_t Service,
                                                                   mono_time Now) {
  const auto [Found, IsNew] = Budgets.try_emplace(Service);
  retry_window &Window = Found->second.Window;
  if (IsNew && Now < UsedUntil)
    Window.assumeUsedUntil(UsedUntil);
  // A slot is as old as its oldest use, which may be a slot's length older than its latest one.
  Window.advance(Now, useLifetime() + slotLength());
  return Found->second;
}

shared_retry_budget::service_budget &shared_retry_budget::budgetOf(const service_name &Service,
                                                                   mono_time Now) {
  service_budget &Budget = budgetOf(hashOf(Service), Now);
  if (Budget.Name.empty())
    Budget.Name = Service;
  return Budget;
}

void shared_retry_budget::detectSuspension(mono_time Now) {
  if (ActiveAt != mono_time::min() && Now - ActiveAt > Tuning.SuspensionThreshold)
    BacklogUntil = Now + Tuning.BacklogTime;
  ActiveAt = Now;
}

void shared_retry_budget::deposit(const service_name &Service, mono_time Now) {
  detectSuspension(Now);
  if (Now < BacklogUntil)
    return;
  budgetOf(Service, Now).Window.payBack(Share * Tuning.UsableShare, part(Now));
}

void shared_retry_budget::refund(const service_name &Service, mono_time Now) {
  budgetOf(Service, Now).Window.takeBack(1);
}

retry_amount shared_retry_budget::ownRetries(const service_budget &Budget, mono_time Now) const {
  const retry_amount Part = part(Now);
  if (Part <= 0)
    return 0;
  const retry_amount Rounding =
      (static_cast<double>(Rank) + 0.5) / static_cast<double>(entries(Now));
  return std::max<retry_amount>(Budget.Window.available(Part) + Rounding, 0);
}

retry_amount shared_retry_budget::available(const service_name &Service, mono_time Now) {
  return ownRetries(budgetOf(Service, Now), Now) + Borrower.available(hashOf(Service), Now);
}

bool shared_retry_budget::tryWithdraw(const service_name &Service, mono_time Now) {
  service_budget &Budget = budgetOf(Service, Now);
  Budget.NeededAt = Now;
  if (available(Service, Now) < WholeRetry)
    return false;
  const retry_amount Own = Borrower.use(hashOf(Service), 1, Now);
  Budget.Borrowed += 1 - Own;
  Budget.Window.use(Own, Now, slotLength());
  return true;
}

void shared_retry_budget::want(const service_name &Service, std::size_t Retries, mono_time Now) {
  service_budget &Budget = budgetOf(Service, Now);
  Budget.NeededAt = Now;
  const retry_amount Missing = static_cast<double>(Retries) - ownRetries(Budget, Now);
  Borrower.want(hashOf(Service), std::max<retry_amount>(Missing, 0), Now);
}

bool shared_retry_budget::mayBorrow(const service_name &Service, mono_time Now) const {
  return Borrower.mayBorrow(hashOf(Service), Now);
}

retry_amount shared_retry_budget::lend(const retry_loan_request &Request, mono_time Now) {
  if (Budgets.size() >= MaxBudgets && !Budgets.contains(Request.Service))
    return 0;
  service_budget &Budget = budgetOf(Request.Service, Now);
  // Where entries fail alike, loans would only move retries that each needs itself.
  if (Budget.NeededAt + Allowance.Window / RecentNeedDivisor > Now)
    return 0;
  const retry_amount Spare = Budget.Window.available(part(Now));
  const retry_amount Amount = std::floor(std::min(Spare, Request.Amount) * RetryUnits) / RetryUnits;
  if (Amount <= 0)
    return 0;
  Budget.Window.use(Amount, Now, slotLength());
  Budget.Lent += Amount;
  return Amount;
}

void shared_retry_budget::receive(const received_retry_message &Received, mono_time Now) {
  if (const auto *Loan = std::get_if<retry_loan>(&Received.Message))
    return Borrower.receive(*Loan, Now);
  const auto &Request = std::get<retry_loan_request>(Received.Message);
  Answers.push_back(
      {Received.From, retry_loan{Request.Service, Request.Number, lend(Request, Now)}});
}

std::vector<retry_datagram> shared_retry_budget::takeDatagrams(mono_time Now) {
  detectSuspension(Now);
  std::vector<retry_datagram> Datagrams = Borrower.takeRequests(Now);
  std::move(Answers.begin(), Answers.end(), std::back_inserter(Datagrams));
  Answers.clear();
  return Datagrams;
}

std::vector<retry_budget_status> shared_retry_budget::status(mono_time Now) {
  std::vector<retry_budget_status> Statuses;
  for (const auto &[Service, Budget] : Budgets)
    if (!Budget.Name.empty())
      Statuses.push_back({Budget.Name, 0, Budget.Lent, Budget.Borrowed});
  for (retry_budget_status &Status : Statuses)
    Status.Available = available(Status.Service, Now);
  return Statuses;
}

} // namespace pollenstall

/** @file shared_retry_budget.cpp Windows by service, and this entry's part of the reserve. */
#include "retry_budget/shared_retry_budget_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// Slots of used retries in a window.
constexpr int SlotsPerWindow = 100;
/// Fractions of retries add up to a whole one in spite of rounding.
constexpr retry_amount WholeRetry = 1 - 1e-9;

mono_duration scaled(mono_duration Time, double Factor) {
  return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(Time) * Factor);
}

} // namespace

shared_retry_budget::shared_retry_budget(const retry_allowance &NewAllowance,
                                         const retry_budget_tuning &Values, mono_time Start)
    : Allowance(NewAllowance), Tuning(Values), ContactUntil(Start + Values.ContactGrace) {
  assumeUsed(Start);
}

mono_duration shared_retry_budget::useLifetime() const {
  return scaled(Allowance.Window, 1 + Tuning.LatenessShare);
}

void shared_retry_budget::assumeUsed(mono_time Now) {
  UsedUntil = Now + useLifetime();
  for (auto &[Service, Window] : Windows)
    Window.assumeUsedUntil(UsedUntil);
}

void shared_retry_budget::setEntries(std::size_t Count, mono_time Now) {
  Census.record(Count, Now);
  Census.forgetBefore(Now - useLifetime() - Tuning.MaxUnlisted);
  confirmContact(Now, Now);
}

void shared_retry_budget::confirmContact(mono_time Until, mono_time Now) {
  if (Now > ContactUntil)
    assumeUsed(Now);
  ContactUntil = std::max(ContactUntil, Until + Tuning.ContactGrace);
}

retry_amount shared_retry_budget::part(mono_time Now) const {
  const std::size_t Entries = Census.highestSince(Now - useLifetime() - Tuning.MaxUnlisted);
  if (Entries == 0 || Now > ContactUntil)
    return 0;
  return Allowance.Reserve * Tuning.UsableShare / static_cast<double>(Entries);
}

retry_window &shared_retry_budget::windowOf(const service_name &Service, mono_time Now) {
  const auto [Found, IsNew] = Windows.try_emplace(Service);
  retry_window &Window = Found->second;
  if (IsNew && Now < UsedUntil)
    Window.assumeUsedUntil(UsedUntil);
  // A slot is as old as its oldest use, which may be a slot's length older than its latest one.
  Window.advance(Now, useLifetime() + Allowance.Window / SlotsPerWindow);
  return Window;
}

void shared_retry_budget::deposit(const service_name &Service, mono_time Now) {
  windowOf(Service, Now).payBack(Share * Tuning.UsableShare, part(Now));
}

void shared_retry_budget::refund(const service_name &Service, mono_time Now) {
  windowOf(Service, Now).payBack(1, part(Now));
}

retry_amount shared_retry_budget::available(const service_name &Service, mono_time Now) {
  return windowOf(Service, Now).available(part(Now));
}

bool shared_retry_budget::tryWithdraw(const service_name &Service, mono_time Now) {
  retry_window &Window = windowOf(Service, Now);
  if (Window.available(part(Now)) < WholeRetry)
    return false;
  Window.use(1, Now, Allowance.Window / SlotsPerWindow);
  return true;
}

} // namespace pollenstall

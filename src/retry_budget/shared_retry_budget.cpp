/** @file shared_retry_budget.cpp Windows by service, and this entry's part of the reserve. */
#include "retry_budget/shared_retry_budget_base.h"

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

retry_amount shared_retry_budget::part() const {
  if (Entries == 0)
    return 0;
  return Allowance.Reserve * Tuning.UsableShare / static_cast<double>(Entries);
}

retry_window &shared_retry_budget::windowOf(const service_name &Service, mono_time Now) {
  retry_window &Window = Windows[Service];
  // A slot is as old as its oldest use, which may be a slot's length older than its latest one.
  Window.advance(Now, scaled(Allowance.Window, 1 + Tuning.LatenessShare) +
                          Allowance.Window / SlotsPerWindow);
  return Window;
}

void shared_retry_budget::deposit(const service_name &Service, mono_time Now) {
  windowOf(Service, Now).payBack(Share * Tuning.UsableShare, part());
}

retry_amount shared_retry_budget::available(const service_name &Service, mono_time Now) {
  return windowOf(Service, Now).available(part());
}

bool shared_retry_budget::tryWithdraw(const service_name &Service, mono_time Now) {
  retry_window &Window = windowOf(Service, Now);
  if (Window.available(part()) < WholeRetry)
    return false;
  Window.use(1, Now, Allowance.Window / SlotsPerWindow);
  return true;
}

} // namespace pollenstall

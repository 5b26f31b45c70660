/** @file load_budget.cpp Token bucket and loads in flight. */
#include "order/load_budget_base.h"

#include <algorithm>

namespace pollenstall {

void load_budget::reset(mono_time Now) {
  Tokens = 0;
  RefilledAt = Now;
  LoadsInFlight.clear();
}

double load_budget::tokensAt(mono_time Now) const {
  using minutes = std::chrono::duration<double, std::ratio<60>>;
  const double Refilled =
      minutes(std::max(Now - RefilledAt, mono_duration{})).count() * Limits.MaxPerMinute;
  return std::min(Tokens + Refilled, static_cast<double>(Limits.MaxConcurrent));
}

std::uint32_t load_budget::availableLoads(mono_time Now) const {
  const auto Running = static_cast<std::uint32_t>(
      std::count_if(LoadsInFlight.begin(), LoadsInFlight.end(),
                    [Now](const auto &Load) { return Now < Load.second; }));
  const std::uint32_t FreeSlots =
      Running < Limits.MaxConcurrent ? Limits.MaxConcurrent - Running : 0;
  return std::min(FreeSlots, static_cast<std::uint32_t>(tokensAt(Now)));
}

void load_budget::begin(const planned_order &Load, mono_time Until, mono_time Now) {
  requireInvariant(availableLoads(Now) > 0, "a load begins only within the weight store's rate");
  Tokens = tokensAt(Now) - 1;
  RefilledAt = Now;
  std::erase_if(LoadsInFlight, [Now](const auto &Tracked) { return Tracked.second <= Now; });
  LoadsInFlight[Load] = Until;
}

void load_budget::setEnd(const planned_order &Load, mono_time Until) {
  const auto Found = LoadsInFlight.find(Load);
  if (Found != LoadsInFlight.end())
    Found->second = Until;
}

void load_budget::end(const planned_order &Load) { LoadsInFlight.erase(Load); }

void load_budget::endLoadsOn(const backend_key &Engine) {
  std::erase_if(LoadsInFlight, [&](const auto &Tracked) { return Tracked.first.Engine == Engine; });
}

void load_budget::refund(const planned_order &Load) {
  if (LoadsInFlight.erase(Load) > 0)
    Tokens += 1;
}

bool load_budget::isInFlight(const planned_order &Load, mono_time Now) const {
  const auto Found = LoadsInFlight.find(Load);
  return Found != LoadsInFlight.end() && Now < Found->second;
}

} // namespace pollenstall

/** @file load_budget.cpp Token bucket and loads under way. */
#include "order/load_budget_base.h"

#include <algorithm>

namespace pollenstall {

void load_budget::reset(mono_time Now) {
  Tokens = 0;
  Counted = Now;
  Loads.clear();
}

double load_budget::tokensAt(mono_time Now) const {
  using minutes = std::chrono::duration<double, std::ratio<60>>;
  const double Refilled =
      minutes(std::max(Now - Counted, mono_duration{})).count() * Limits.PerMinute;
  return std::min(Tokens + Refilled, static_cast<double>(Limits.AtOnce));
}

std::uint32_t load_budget::room(mono_time Now) const {
  const auto Busy = static_cast<std::uint32_t>(std::count_if(
      Loads.begin(), Loads.end(), [Now](const auto &Load) { return Now < Load.second; }));
  const std::uint32_t Places = Busy < Limits.AtOnce ? Limits.AtOnce - Busy : 0;
  return std::min(Places, static_cast<std::uint32_t>(tokensAt(Now)));
}

void load_budget::begin(const planned_order &Load, mono_time Until, mono_time Now) {
  requireInvariant(room(Now) > 0, "a load begins only within the weight store's rate");
  Tokens = tokensAt(Now) - 1;
  Counted = Now;
  std::erase_if(Loads, [Now](const auto &Item) { return Item.second <= Now; });
  Loads[Load] = Until;
}

void load_budget::extend(const planned_order &Load, mono_time Until) {
  const auto Found = Loads.find(Load);
  if (Found != Loads.end())
    Found->second = Until;
}

void load_budget::end(const planned_order &Load) { Loads.erase(Load); }

void load_budget::endAll(const backend_key &Engine) {
  std::erase_if(Loads, [&](const auto &Item) { return Item.first.Engine == Engine; });
}

void load_budget::giveBack(const planned_order &Load) {
  if (Loads.erase(Load) > 0)
    Tokens += 1;
}

bool load_budget::underWay(const planned_order &Load, mono_time Now) const {
  const auto Found = Loads.find(Load);
  return Found != Loads.end() && Now < Found->second;
}

} // namespace pollenstall

/** @file cold_table.cpp Begin and end of the cold periods of backend servers. */
#include "placement/cold_table_base.h"

#include "directory/directory_type.h"

#include <algorithm>

namespace pollenstall {

void cold_table::extend(period &Period, mono_time Until, mono_time Now) {
  if (Period.Until <= Now)
    Period.WarmUntil = Now;
  Period.Until = Until;
}

void cold_table::record(incarnation Server, std::optional<std::chrono::milliseconds> ColdFor,
                        mono_time Now) {
  const auto Time = std::clamp(ColdFor.value_or(std::chrono::milliseconds(0)),
                               std::chrono::milliseconds(0), MaxColdTime);
  const auto [Found, IsNew] = Periods.try_emplace(Server);
  period &Period = Found->second;
  if (IsNew)
    Period.Until = ColdFor ? Now + Time : Now + Unknown;
  else if (ColdFor && Time.count() > 0)
    extend(Period, Now + Time, Now);
  else if (ColdFor)
    Period.Until = std::min(Period.Until, Now);
}

void cold_table::markCold(incarnation Server, mono_duration Time, mono_time Now) {
  const auto Found = Periods.find(Server);
  if (Found != Periods.end())
    extend(Found->second, std::max(Found->second.Until, Now + Time), Now);
}

void cold_table::markUnbounded(incarnation Server, mono_time Now) {
  if (const auto Found = Periods.find(Server); Found != Periods.end())
    Found->second.WarmUntil = Now;
}

std::optional<cold_table::period> cold_table::find(incarnation Server) const {
  const auto Found = Periods.find(Server);
  return Found == Periods.end() ? std::nullopt : std::optional(Found->second);
}

} // namespace pollenstall

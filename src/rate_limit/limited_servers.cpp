/** @file limited_servers.cpp Changes of known limits by answers. */
#include "rate_limit/limited_servers_base.h"

namespace pollenstall {

rate_limit_change limited_servers::record(const rate_limit_answer &Answer, mono_time Now) {
  const auto Known = Limits.find(Answer.Backend);
  if (std::holds_alternative<unreadable_rate_limit>(Answer.Stated))
    return rate_limit_change::Unreadable;
  if (const auto *Limit = std::get_if<requests_per_second>(&Answer.Stated)) {
    if (Known == Limits.end()) {
      Limits.emplace(Answer.Backend, known_limit{*Limit, Now});
      return rate_limit_change::Started;
    }
    const bool Changed = Known->second.Limit != *Limit;
    Known->second = {*Limit, Now};
    return Changed ? rate_limit_change::Changed : rate_limit_change::None;
  }
  if (Known == Limits.end() || Answer.SentAt <= Known->second.StatedAt)
    return rate_limit_change::None;
  Limits.erase(Known);
  return rate_limit_change::Ended;
}

} // namespace pollenstall

/** @file placer_evacuation.cpp Work while failure domains are evacuated. */
#include "placement/placer_base.h"

#include <algorithm>
#include <set>

namespace pollenstall {

void placer::setEvacuations(const evacuation_list &List) {
  Evacuations = List;
  for (auto &[Key, Engine] : Engines)
    Engine.setEvacuated(List.isOut(Engine.domain()));
}

/// Returns whether all servers of the service are out. Servers that are leaving get no work either,
/// but one that only seems unresponsive may return at any time, so work waits for it.
bool placer::isEvacuated(const service_name &Service) const {
  bool AnyIsOut = false;
  for (const auto &[Key, Engine] : Engines) {
    if (Engine.service() != Service || Engine.leaving())
      continue;
    if (!Engine.evacuated())
      return false;
    AnyIsOut = true;
  }
  return AnyIsOut;
}

bool placer::usesEvacuated(const assigned_work &Work) const {
  return std::any_of(Work.Parts.begin(), Work.Parts.end(), [this](const prefill_part &Part) {
    const auto Engine = Engines.find(Part.Backend);
    return Engine != Engines.end() && Engine->second.evacuated();
  });
}

/// Refuses the waiting work of services whose servers are all out. Resumed streams wait: a refusal
/// would truncate an answer that their callers have in part.
void placer::refuseEvacuated(mono_time Now, poll_outcome &Outcome) {
  if (Evacuations.empty() || Waiting.empty())
    return;
  std::set<service_name> Refused;
  for (const auto &[Name, Service] : Services)
    if (isEvacuated(Name))
      Refused.insert(Name);
  if (Refused.empty())
    return;
  for (auto Iterator = Waiting.begin(); Iterator != Waiting.end();) {
    const work_item &Item = Iterator->second.Item;
    if (Item.Resumed || !Refused.contains(Iterator->second.Service)) {
      ++Iterator;
      continue;
    }
    const work_refusal Refusal{failure_reason::NoBackend,
                               evacuationRetryAfter(Item.Deadline - Now)};
    Outcome.Expiries.push_back({Item.Request, Refusal});
    Iterator = Waiting.erase(Iterator);
  }
}

} // namespace pollenstall

/** @file work_tracker.cpp Loads by source, and the times of their changes. */
#include "work_exchange/work_tracker_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// How long an engine without work stays listed, so that the end of its work reaches all receivers.
constexpr mono_duration IdleEngineRetention = std::chrono::milliseconds(1'500);

} // namespace

bool needsUpdate(const work_load &Reported, mono_time ReportedAt, const work_load &Load,
                 mono_time Now, const work_share_tuning &Tuning) {
  work_load Extrapolated = loadAfter(Reported, Now - ReportedAt);
  const std::uint32_t Difference = std::max(Extrapolated.PrefillMs, Load.PrefillMs) -
                                   std::min(Extrapolated.PrefillMs, Load.PrefillMs);
  if (Difference > Tuning.MinPrefillChangeMs &&
      Difference > Load.PrefillMs / Tuning.PrefillChangeDivisor)
    return true;
  Extrapolated.PrefillMs = Load.PrefillMs;
  return Extrapolated != Load;
}

bool work_tracker::update(work_source_id Source, const work_load &Load, mono_time Now) {
  const bool Empty = isEmpty(Load);
  if (Empty && !Engines.contains(Load.Incarnation))
    return false;
  engine_work &Engine = Engines[Load.Incarnation];
  const auto Existing = std::find_if(
      Engine.SourceLoads.begin(), Engine.SourceLoads.end(),
      [Source](const engine_work::source_load &SourceLoad) { return SourceLoad.Source == Source; });
  if (Empty && Existing == Engine.SourceLoads.end())
    return false;
  bool Changed = true;
  if (Empty) {
    Engine.SourceLoads.erase(Existing);
  } else if (Existing == Engine.SourceLoads.end()) {
    Engine.SourceLoads.push_back({Source, Load, Now});
  } else {
    Changed = needsUpdate(Existing->Load, Existing->ReceivedAt, Load, Now, Tuning);
    *Existing = {Source, Load, Now};
  }
  if (Changed)
    Engine.ChangedAt = Now;
  return Changed;
}

bool work_tracker::removeSource(work_source_id Source, mono_time Now) {
  bool Changed = false;
  for (auto &[Incarnation, Engine] : Engines)
    if (std::erase_if(Engine.SourceLoads, [Source](const engine_work::source_load &SourceLoad) {
          return SourceLoad.Source == Source;
        }) > 0) {
      Engine.ChangedAt = Now;
      Changed = true;
    }
  return Changed;
}

void work_tracker::expire(mono_time Now) {
  for (auto &[Incarnation, Engine] : Engines)
    if (std::erase_if(Engine.SourceLoads, [&](const engine_work::source_load &SourceLoad) {
          return Now - SourceLoad.ReceivedAt > Tuning.ReportLifetime;
        }) > 0)
      Engine.ChangedAt = Now;
  std::erase_if(Engines, [&](const auto &Item) {
    return Item.second.SourceLoads.empty() && Now - Item.second.ChangedAt > IdleEngineRetention;
  });
}

} // namespace pollenstall

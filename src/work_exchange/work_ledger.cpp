/** @file work_ledger.cpp Parts by source, and when they changed. */
#include "work_exchange/work_ledger_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// So long an engine without any work stays listed, so that all receivers are told of its end.
constexpr mono_duration EmptyFor = std::chrono::milliseconds(1'500);

} // namespace

bool differs(const work_load &Told, mono_time At, const work_load &Load, mono_time Now,
             const work_share_tuning &Tuning) {
  work_load Thought = loadAfter(Told, Now - At);
  const std::uint32_t Off =
      std::max(Thought.PrefillMs, Load.PrefillMs) - std::min(Thought.PrefillMs, Load.PrefillMs);
  if (Off > Tuning.ReadStepMs && Off > Load.PrefillMs / Tuning.ReadPart)
    return true;
  Thought.PrefillMs = Load.PrefillMs;
  return Thought != Load;
}

bool work_ledger::put(work_source Source, const work_load &Load, mono_time Now) {
  const bool Empty = isEmpty(Load);
  if (Empty && !Engines.contains(Load.Incarnation))
    return false;
  engine_work &Engine = Engines[Load.Incarnation];
  const auto Known =
      std::find_if(Engine.Parts.begin(), Engine.Parts.end(),
                   [Source](const engine_work::told &Part) { return Part.Source == Source; });
  if (Empty && Known == Engine.Parts.end())
    return false;
  bool Changed = true;
  if (Empty) {
    Engine.Parts.erase(Known);
  } else if (Known == Engine.Parts.end()) {
    Engine.Parts.push_back({Source, Load, Now});
  } else {
    Changed = differs(Known->Load, Known->Heard, Load, Now, Tuning);
    *Known = {Source, Load, Now};
  }
  if (Changed)
    Engine.Changed = Now;
  return Changed;
}

bool work_ledger::drop(work_source Source, mono_time Now) {
  bool Changed = false;
  for (auto &[Incarnation, Engine] : Engines)
    if (std::erase_if(Engine.Parts, [Source](const engine_work::told &Part) {
          return Part.Source == Source;
        }) > 0) {
      Engine.Changed = Now;
      Changed = true;
    }
  return Changed;
}

void work_ledger::expire(mono_time Now) {
  for (auto &[Incarnation, Engine] : Engines)
    if (std::erase_if(Engine.Parts, [&](const engine_work::told &Part) {
          return Now - Part.Heard > Tuning.Silence;
        }) > 0)
      Engine.Changed = Now;
  std::erase_if(Engines, [&](const auto &Item) {
    return Item.second.Parts.empty() && Now - Item.second.Changed > EmptyFor;
  });
}

} // namespace pollenstall

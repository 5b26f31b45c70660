/** @file placer_permits.cpp Permits for servers that state a rate limit or are cold, and work that
 * no server takes. */
#include "placement/millis_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pollenstall {

const backend_key *placer::findBackend(incarnation Server) const {
  const auto Found = EnginesByIncarnation.find(Server);
  return Found == EnginesByIncarnation.end() ? nullptr : &Found->second->key();
}

void placer::updateCold(const backend_listing &Listing, mono_time Now) {
  Cold.record(Listing.Key.Incarnation, Listing.ColdFor, Now);
  ColdChanged = true;
}

void placer::markDomainCold(const failure_domain_name &Domain, mono_time Now) {
  for (const auto &[Key, Engine] : Engines) {
    const auto Service = Services.find(Engine.service());
    if (Engine.domain() == Domain && Service != Services.end() &&
        Service->second.ColdStart > Service->second.ColdStart.zero())
      Cold.markCold(Key.Incarnation, Service->second.ColdStart, Now);
  }
  ColdChanged = true;
  refreshCold(Now);
}

void placer::refreshCold(mono_time Now) {
  if (!std::exchange(ColdChanged, false))
    return;
  for (const auto &[Key, Engine] : Engines) {
    const auto Service = Services.find(Engine.service());
    const double PerSecond = Service == Services.end() ? 0 : Service->second.ColdPerSecond;
    if (NewlyBounded.contains(Engine.service()))
      Cold.markUnbounded(Key.Incarnation, Now);
    const auto Period = Cold.find(Key.Incarnation);
    if (PerSecond > 0 && Period && Now < Period->Until)
      Permits.setCold(Key.Incarnation, requests_per_second(PerSecond), Period->Until,
                      Period->WarmUntil);
    else
      Permits.setWarm(Key.Incarnation);
  }
  NewlyBounded.clear();
}

bool placer::requestPermits(const prefill_plan &Plan, mono_time Now) {
  bool Lacks = false;
  for (const engine_option &Option : Plan.PrefillEngines) {
    if (!Option.NeedsPermit)
      continue;
    Lacks = true;
    Permits.ask(Option.Engine->key().Incarnation, std::chrono::milliseconds(0), Now);
  }
  return Lacks;
}

/// Requests a permit of the least loaded server with a limit, for work that finds no other server.
void placer::requestPermitForWaiting(const waiting_work &Work, mono_time Now) {
  if (!Permits.anyLimited())
    return;
  const tracked_engine *LeastLoaded = nullptr;
  std::uint32_t LowestRequests = std::numeric_limits<std::uint32_t>::max();
  for (const auto &[Key, Engine] : Engines) {
    const bool IsUsable = Engine.service() == Work.Service && Engine.active() &&
                          !Engine.inBackoff(Now) && !Pauses.isPaused(Key, Now) &&
                          Permits.mayAsk(Key.Incarnation, Now) &&
                          !Permits.hasPermit(Key.Incarnation, Now);
    const std::uint32_t Requests = AllWork[Key].Requests;
    if (!IsUsable || Requests >= LowestRequests)
      continue;
    LeastLoaded = &Engine;
    LowestRequests = Requests;
  }
  if (LeastLoaded != nullptr)
    Permits.askPatiently(LeastLoaded->key().Incarnation, Now);
}

/// Returns until when the server takes no work of this entry, because of a pause or for want of a
/// permit; nothing if it takes some now, or if its permits were not denied.
std::optional<mono_time> placer::unavailableUntil(const backend_key &Backend, mono_time Now) const {
  if (const auto PausedUntil = Pauses.pausedUntil(Backend, Now))
    return PausedUntil;
  if (Permits.hasPermit(Backend.Incarnation, Now))
    return std::nullopt;
  return Permits.deniedUntil(Backend.Incarnation, Now);
}

/// Returns the earliest time at which a server of the service takes work; nothing if one does now.
std::optional<mono_time> placer::unavailableUntil(const service_name &Service,
                                                  mono_time Now) const {
  std::optional<mono_time> Earliest;
  for (const auto &[Key, Engine] : Engines) {
    if (Engine.service() != Service || !Engine.active())
      continue;
    const auto Until = unavailableUntil(Key, Now);
    if (!Until)
      return std::nullopt;
    Earliest = std::min(Earliest.value_or(*Until), *Until);
  }
  return Earliest;
}

/**
 * Refuses work at once if no server of its service takes any before the work would be refused
 * anyway. The caller is told when one may.
 */
void placer::refuseUnlessAvailable(const waiting_work &Work, mono_time Now, poll_outcome &Outcome) {
  if ((!Permits.anyLimited() && Pauses.count(Now) == 0) || Work.Item.Resumed)
    return;
  const auto AvailableAt = unavailableUntil(Work.Service, Now);
  const double TimeLimitMs = millisUntil(Work.Item.Deadline, Work.Item.Arrived);
  const mono_time WaitsUntil =
      Work.WaitingSince + durationFromMs(TimeLimitMs * Tuning.WaitFraction);
  if (!AvailableAt || *AvailableAt <= WaitsUntil)
    return;
  const auto RetryAfter = std::chrono::ceil<std::chrono::seconds>(*AvailableAt - Now);
  Outcome.Expiries.push_back({Work.Item.Request, {failure_reason::QueueFull, RetryAfter}});
  Waiting.erase(Work.Item.Request);
}

} // namespace pollenstall

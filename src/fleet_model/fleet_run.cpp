/** @file fleet_run.cpp Generation of requests, and the event loop. */
#include "fleet_model/fleet_run_base.h"

#include "fleet_model/entry_policy_func.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace pollenstall {

namespace {

constexpr double MsPerSecond = 1e3;
/// Origin of virtual time. Differs from the clock's zero, which code may treat as "never".
constexpr mono_time VirtualOrigin{std::chrono::hours(1)};

double exponential(random_source &Random, double Mean) {
  return -Mean * std::log(1.0 - Random.uniform());
}

/// Returns a standard normal variate by the Box-Muller transform, discarding the second one.
double normal(random_source &Random) {
  const double Radius = std::sqrt(-2.0 * std::log(1.0 - Random.uniform()));
  return Radius * std::cos(2.0 * std::numbers::pi * Random.uniform());
}

double drawSize(random_source &Random, const size_spread &Size) {
  const double Drawn =
      Size.Mean * std::exp(Size.Spread * normal(Random) - Size.Spread * Size.Spread / 2.0);
  return std::clamp(Drawn, 1.0, Size.Limit);
}

backend_listing listingOf(std::size_t Engine, std::uint64_t Incarnation,
                          const engine_profile &Figures) {
  const instance_name Name("engine-" + std::to_string(Engine) + "-" + std::to_string(Incarnation));
  // Five digits, so that addresses sort by engine index.
  const std::string Port = std::to_string(10'000 + Engine);
  backend_listing Listing;
  Listing.Key = keyOf(backend_address("10.0.0.1:" + Port), {Name, {}});
  Listing.Instance = Name;
  Listing.Service = modelService();
  Listing.Slots = Figures.BatchSlots;
  return Listing;
}

} // namespace

fleet_run::fleet_run(const model_load &ModelLoad, const named_model_policy &EntryPolicy,
                     std::uint64_t FirstSeed)
    : Load(ModelLoad), Policy(EntryPolicy), Seed(FirstSeed), Random(combineHashes(FirstSeed, 1)),
      ReportRandom(combineHashes(FirstSeed, 0)) {
  Entries.resize(Load.Entries);
  for (std::size_t EntryIndex = 0; EntryIndex < Load.Entries; ++EntryIndex)
    startEntry(EntryIndex);
  updateEntryLists();
  for (std::size_t EngineIndex = 0; EngineIndex < Load.Engines; ++EngineIndex) {
    Engines.push_back({engine_model(Load.Engine, Load.TokensPerEvent),
                       listingOf(EngineIndex, 0, Load.Engine), false, 0});
    EngineIndexes[Engines.back().Listing.Key] = EngineIndex;
    for (entry_state &Entry : Entries)
      Entry.Policy.UpdateBackend(Engines.back().Listing);
  }
  drawRequests();
  for (std::size_t Outage = 0; Outage < Load.EngineOutages.size(); ++Outage)
    schedule(Load.EngineOutages[Outage].StartSeconds * MsPerSecond, event_kind::EngineFailure,
             Outage);
  for (std::size_t Outage = 0; Outage < Load.EntryOutages.size(); ++Outage)
    schedule(Load.EntryOutages[Outage].StartSeconds * MsPerSecond, event_kind::EntryFailure,
             Outage);
}

double fleet_run::rateFactor(const request_kind &Kind, double Seconds) const {
  double Factor = 1;
  for (const load_phase &Phase : Load.Phases)
    if ((Phase.Kind.empty() || Phase.Kind == Kind.Name) && Seconds >= Phase.From &&
        Seconds < Phase.Until)
      Factor *= Phase.Factor;
  return Factor;
}

void fleet_run::drawRequests() {
  for (std::size_t Kind = 0; Kind < Load.Kinds.size(); ++Kind) {
    const request_kind &RequestKind = Load.Kinds[Kind];
    double MaxFactor = 1;
    for (const load_phase &Phase : Load.Phases)
      MaxFactor *=
          std::max(1.0, Phase.Kind.empty() || Phase.Kind == RequestKind.Name ? Phase.Factor : 1.0);
    // Draws arrivals at the maximum rate and thins them out, so that changes to phases do not
    // change the random numbers.
    for (double ArrivalSeconds = 0;;) {
      ArrivalSeconds += exponential(Random, 1.0 / (RequestKind.PerSecond * MaxFactor));
      if (ArrivalSeconds >= Load.Seconds)
        break;
      request_state State;
      State.Record.Kind = Kind;
      State.Record.ArrivedMs = ArrivalSeconds * MsPerSecond;
      State.Record.Prompt = drawSize(Random, RequestKind.Prompt);
      State.Record.Events =
          static_cast<std::uint32_t>(std::lround(drawSize(Random, RequestKind.Events)));
      State.Entry = static_cast<std::size_t>(Random.below(Load.Entries));
      State.Record.FirstEntry = State.Entry;
      State.DeadlineMs = State.Record.ArrivedMs + RequestKind.TimeoutMs;
      if (Random.chance(rateFactor(RequestKind, ArrivalSeconds) / MaxFactor))
        Requests.push_back(State);
    }
  }
  for (std::size_t RequestIndex = 0; RequestIndex < Requests.size(); ++RequestIndex) {
    schedule(Requests[RequestIndex].Record.ArrivedMs + Load.CallerDelayMs,
             event_kind::RequestArrival, RequestIndex);
    schedule(Requests[RequestIndex].DeadlineMs, event_kind::RequestTimeout, RequestIndex);
  }
}

mono_time fleet_run::toMonoTime(double VirtualMs) {
  return VirtualOrigin + durationFromMs(VirtualMs);
}

double fleet_run::toMs(mono_time Moment) { return millisUntil(Moment, VirtualOrigin); }

mono_time fleet_run::now() const { return toMonoTime(Ms); }

void fleet_run::schedule(double EventMs, event_kind Kind, std::size_t Index,
                         std::uint64_t Incarnation) {
  EventQueue.push({EventMs, NextOrder++, Kind, Index, Incarnation});
}

std::vector<request_record> fleet_run::simulate() {
  std::size_t OpenRequests = Requests.size();
  while (!EventQueue.empty() && OpenRequests > 0) {
    const event Next = EventQueue.top();
    EventQueue.pop();
    if (Next.Ms >= Load.Seconds * MsPerSecond && Ms < Load.Seconds * MsPerSecond)
      recordEngineTime();
    Ms = Next.Ms;
    handle(Next);
    if (Next.Kind == event_kind::RequestTimeout)
      --OpenRequests; // Each request has one timeout event; the run ends after the last.
  }
  std::vector<request_record> Records;
  for (const request_state &State : Requests) {
    Records.push_back(State.Record);
    Records.back().Retried = State.Retried;
  }
  return Records;
}

void fleet_run::recordEngineTime() {
  for (const engine_state &Engine : Engines) {
    TimeUntilLastArrival.Prefill += Engine.Model.timeSpent().Prefill;
    TimeUntilLastArrival.Decode += Engine.Model.timeSpent().Decode;
  }
}

std::vector<report_traffic> fleet_run::reportTraffic() const {
  std::vector<report_traffic> Rates;
  const double Seconds = Ms / MsPerSecond;
  for (const entry_state &Entry : Entries) {
    const report_traffic &Total = Entry.Traffic;
    Rates.push_back({Total.SentDatagrams / Seconds, Total.SentBytes / Seconds,
                     Total.ReceivedDatagrams / Seconds, Total.ReceivedBytes / Seconds});
  }
  return Rates;
}

engine_time fleet_run::engineTime() const {
  const double TotalMs = Load.Seconds * MsPerSecond * static_cast<double>(Engines.size());
  return {TimeUntilLastArrival.Prefill / TotalMs, TimeUntilLastArrival.Decode / TotalMs};
}

void fleet_run::handle(const event &Event) {
  switch (Event.Kind) {
  case event_kind::RequestArrival:
    return handleArrival(Event.Index);
  case event_kind::EntryPoll:
    if (Entries[Event.Index].NextPollMs == Event.Ms)
      pollEntry(Event.Index);
    return;
  case event_kind::ReportsDue:
    if (Entries[Event.Index].NextExchangeMs == Event.Ms)
      sendReports(Event.Index);
    return;
  case event_kind::ReportArrival:
    return receiveReport(Event.Index);
  case event_kind::AttemptArrival:
    return deliverAttempt(Event.Index);
  case event_kind::PartPrefilled: {
    const std::size_t Engine = Attempts[Event.Index].Engine;
    scheduleEvents(Engines[Engine].Model.completeRemotePart(Event.Index));
    return startEnginePass(Engine);
  }
  case event_kind::PassEnd:
    if (Engines[Event.Index].Incarnation == Event.Incarnation)
      finishEnginePass(Event.Index);
    return;
  case event_kind::Event:
    return receiveEvent(Event.Index);
  case event_kind::AttemptEnd:
    return endAttempt(Event.Index, std::nullopt);
  case event_kind::ConnectionBroken:
    return endAttempt(Event.Index, attempt_failure::BrokenMidway);
  case event_kind::RequestTimeout:
    return handleTimeout(Event.Index);
  case event_kind::CallerDeparture:
    return handleDeparture(Event.Index, Event.Incarnation != 0);
  case event_kind::EngineFailure:
    return failEngines(Event.Index);
  case event_kind::EngineRestart:
    return restartEngine(Event.Index);
  case event_kind::EntryFailure:
    return failEntries(Event.Index);
  case event_kind::EntryRestart:
    startEntry(Event.Index);
    return updateEntryLists();
  }
}

} // namespace pollenstall

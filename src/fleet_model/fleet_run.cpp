/** @file fleet_run.cpp Requests are drawn, and the event loop. */
#include "fleet_model/fleet_run_base.h"

#include "fleet_model/entry_policy_func.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace pollenstall {

namespace {

constexpr double Second = 1e3; // ms
/// Virtual time zero; not the clock's own zero, which code may take for "never".
constexpr mono_time Start{std::chrono::hours(1)};

double exponential(random_source &Random, double Mean) {
  return -Mean * std::log(1.0 - Random.uniform());
}

/// Box and Muller's transformation; one of the two numbers is enough here.
double normal(random_source &Random) {
  const double Radius = std::sqrt(-2.0 * std::log(1.0 - Random.uniform()));
  return Radius * std::cos(2.0 * std::numbers::pi * Random.uniform());
}

double drawSize(random_source &Random, const size_spread &Size) {
  const double Drawn =
      Size.Mean * std::exp(Size.Spread * normal(Random) - Size.Spread * Size.Spread / 2.0);
  return std::clamp(Drawn, 1.0, Size.Most);
}

backend_listing listingOf(std::size_t Engine, std::uint64_t Incarnation,
                          const engine_profile &Figures) {
  const instance_name Name("engine-" + std::to_string(Engine) + "-" + std::to_string(Incarnation));
  // Padded, so that the order of addresses is that of numbers.
  const std::string Port = std::to_string(10'000 + Engine);
  backend_listing Listing;
  Listing.Key = keyOf(backend_address("10.0.0.1:" + Port), {Name, {}});
  Listing.Instance = Name;
  Listing.Service = modelService();
  Listing.Slots = Figures.BatchSlots;
  return Listing;
}

} // namespace

fleet_run::fleet_run(const model_load &Played, const named_model_policy &Wanted,
                     std::uint64_t FirstSeed)
    : Load(Played), Policy(Wanted), Seed(FirstSeed), Random(combineHashes(FirstSeed, 1)),
      ReportRandom(combineHashes(FirstSeed, 0)) {
  Entries.resize(Load.Entries);
  for (std::size_t Number = 0; Number < Load.Entries; ++Number)
    addEntry(Number);
  introduceEntries();
  for (std::size_t Number = 0; Number < Load.Engines; ++Number) {
    Engines.push_back({engine_model(Load.Engine, Load.TokensPerEvent),
                       listingOf(Number, 0, Load.Engine), false, 0});
    EngineNumbers[Engines.back().Listing.Key] = Number;
    for (entry_state &Entry : Entries)
      Entry.Policy.UpdateBackend(Engines.back().Listing);
  }
  drawRequests();
  for (std::size_t Number = 0; Number < Load.Losses.size(); ++Number)
    push(Load.Losses[Number].At * Second, event_kind::Lose, Number);
  for (std::size_t Number = 0; Number < Load.EntryLosses.size(); ++Number)
    push(Load.EntryLosses[Number].At * Second, event_kind::LoseEntry, Number);
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
    const request_kind &Drawn = Load.Kinds[Kind];
    double Highest = 1;
    for (const load_phase &Phase : Load.Phases)
      Highest *= std::max(1.0, Phase.Kind.empty() || Phase.Kind == Drawn.Name ? Phase.Factor : 1.0);
    // Drawn at the highest rate and thinned out, so that phases meet the same random numbers.
    for (double At = 0;;) {
      At += exponential(Random, 1.0 / (Drawn.PerSecond * Highest));
      if (At >= Load.Seconds)
        break;
      request_state State;
      State.Record.Kind = Kind;
      State.Record.ArrivedMs = At * Second;
      State.Record.Prompt = drawSize(Random, Drawn.Prompt);
      State.Record.Events = static_cast<std::uint32_t>(std::lround(drawSize(Random, Drawn.Events)));
      State.Entry = static_cast<std::size_t>(Random.below(Load.Entries));
      State.GivenUpMs = State.Record.ArrivedMs + Drawn.TimeoutMs;
      if (Random.chance(rateFactor(Drawn, At) / Highest))
        Requests.push_back(State);
    }
  }
  for (std::size_t Number = 0; Number < Requests.size(); ++Number) {
    push(Requests[Number].Record.ArrivedMs + Load.CallerDelayMs, event_kind::Arrive, Number);
    push(Requests[Number].GivenUpMs, event_kind::TimeOut, Number);
  }
}

mono_time fleet_run::momentOf(double At) { return Start + durationFromMs(At); }

double fleet_run::millisOf(mono_time Moment) { return millisUntil(Moment, Start); }

mono_time fleet_run::now() const { return momentOf(Ms); }

void fleet_run::push(double At, event_kind Kind, std::size_t Index, std::uint64_t Incarnation) {
  Events.push({At, NextOrder++, Kind, Index, Incarnation});
}

std::vector<request_record> fleet_run::play() {
  std::size_t Open = Requests.size();
  while (!Events.empty() && Open > 0) {
    const event Next = Events.top();
    Events.pop();
    if (Next.Ms >= Load.Seconds * Second && Ms < Load.Seconds * Second)
      noteSpent();
    Ms = Next.Ms;
    handle(Next);
    if (Next.Kind == event_kind::TimeOut)
      --Open; // Each request has exactly one, so that the run goes on until the last has passed.
  }
  std::vector<request_record> Records;
  for (const request_state &State : Requests)
    Records.push_back(State.Record);
  return Records;
}

void fleet_run::noteSpent() {
  for (const engine_state &Engine : Engines) {
    SpentUntilLast.Read += Engine.Model.spent().Read;
    SpentUntilLast.Write += Engine.Model.spent().Write;
  }
}

std::vector<report_traffic> fleet_run::reportTraffic() const {
  std::vector<report_traffic> All;
  const double Seconds = Ms / Second;
  for (const entry_state &Entry : Entries) {
    const report_traffic &Sum = Entry.Traffic;
    All.push_back({Sum.SentDatagrams / Seconds, Sum.SentBytes / Seconds,
                   Sum.TakenDatagrams / Seconds, Sum.TakenBytes / Seconds});
  }
  return All;
}

engine_time fleet_run::spent() const {
  const double All = Load.Seconds * Second * static_cast<double>(Engines.size());
  return {SpentUntilLast.Read / All, SpentUntilLast.Write / All};
}

void fleet_run::handle(const event &Event) {
  switch (Event.Kind) {
  case event_kind::Arrive:
    return arrive(Event.Index);
  case event_kind::Turn:
    if (Entries[Event.Index].TurnAtMs == Event.Ms)
      turn(Event.Index);
    return;
  case event_kind::Exchange:
    if (Entries[Event.Index].ExchangeAtMs == Event.Ms)
      exchange(Event.Index);
    return;
  case event_kind::Loads:
    return takeReport(Event.Index);
  case event_kind::Reach:
    return reach(Event.Index);
  case event_kind::PartRead: {
    const std::size_t Engine = Attempts[Event.Index].Engine;
    tell(Engines[Engine].Model.partRead(Event.Index));
    return runEngine(Engine);
  }
  case event_kind::PassEnd:
    if (Engines[Event.Index].Incarnation == Event.Incarnation)
      endPass(Event.Index);
    return;
  case event_kind::Event:
    return takeEvent(Event.Index);
  case event_kind::Ended:
    return endAttempt(Event.Index, std::nullopt);
  case event_kind::Broken:
    return endAttempt(Event.Index, attempt_failure::BrokenMidway);
  case event_kind::TimeOut:
    return giveUp(Event.Index);
  case event_kind::Leave:
    return leave(Event.Index, Event.Incarnation != 0);
  case event_kind::Lose:
    return lose(Event.Index);
  case event_kind::Regain:
    return regain(Event.Index);
  case event_kind::LoseEntry:
    return loseEntries(Event.Index);
  case event_kind::RegainEntry:
    addEntry(Event.Index);
    return introduceEntries();
  }
}

} // namespace pollenstall

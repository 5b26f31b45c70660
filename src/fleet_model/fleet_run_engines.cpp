/** @file fleet_run_engines.cpp Entries' turns, attempts, and the engines' passes. */
#include "fleet_model/entry_policy_func.h"
#include "fleet_model/fleet_run_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr double Second = 1e3; // ms
/// As in an entry: between two looks at its own work, and the longest sleep between two turns.
constexpr double TellIntervalMs = 10;
/// Least time between two looks at what is to be told.
constexpr double ExchangeStepMs = 1;
constexpr double LongestSleepMs = 100;
/// An engine that is gone is seen to be so after that, by its broken connections.
constexpr double BrokenAfterMs = 5;
/// Urgency of engines' own scale, in the middle; what is declared is added.
constexpr std::uint32_t MiddleUrgency = 4;

} // namespace

void fleet_run::turn(std::size_t Number) {
  entry_state &Entry = Entries[Number];
  if (Entry.Lost)
    return;
  Entry.Policy.TakeOthers({Entry.Board->changedPeerLoads(now()), Entry.Board->facts()}, now());
  const poll_outcome Outcome = Entry.Policy.Poll(now());
  for (const work_expiry &Expiry : Outcome.Expiries)
    refuse(static_cast<std::size_t>(Expiry.Request.value() - 1), Expiry.Refusal);
  for (const work_placement &Placement : Outcome.Placements)
    startAttempt(Number, Placement);
  tellLoads(Number);
  wakeLater(Number);
}

void fleet_run::tellLoads(std::size_t Number) {
  entry_state &Entry = Entries[Number];
  const bool Claimed = Entry.Policy.ClaimsMade() != Entry.ToldClaims;
  if (Ms - Entry.ToldAtMs < TellIntervalMs && !Claimed)
    return;
  Entry.ToldClaims = Entry.Policy.ClaimsMade();
  Entry.ToldAtMs = Ms;
  Entry.Board->setOwnLoads(Entry.Policy.OwnLoads(now()), Claimed, now());
  exchange(Number);
}

void fleet_run::exchange(std::size_t Number) {
  entry_state &Entry = Entries[Number];
  if (Entry.Lost)
    return;
  for (work_datagram &Datagram : Entry.Board->dueDatagrams(now())) {
    const auto Bytes = static_cast<double>(
        workReportSize(Load.Name, Datagram.Report.Sender.Host.str(), Datagram.Report.Loads.size()));
    ++Entry.Traffic.SentDatagrams;
    Entry.Traffic.SentBytes += Bytes;
    if (ReportRandom.chance(Load.ReportLoss))
      continue;
    Reports[NextReport] = {Number, std::move(Datagram), Bytes};
    push(Ms + Load.HostDelayMs + Load.ReportDelayMs, event_kind::Loads, NextReport++);
  }
  const double At = std::max(millisOf(Entry.Board->nextWake(now())), Ms + ExchangeStepMs);
  if (Entry.ExchangeAtMs > Ms && Entry.ExchangeAtMs <= At)
    return;
  Entry.ExchangeAtMs = At;
  push(At, event_kind::Exchange, Number);
}

void fleet_run::takeReport(std::size_t Report) {
  const load_report Arrived = std::move(Reports.extract(Report).mapped());
  const std::size_t To = EntryNumbers.at(Arrived.Datagram.To);
  if (Entries[To].Lost)
    return;
  ++Entries[To].Traffic.TakenDatagrams;
  Entries[To].Traffic.TakenBytes += Arrived.Bytes;
  Entries[To].Board->receive(Arrived.Datagram.Report, "entry-" + std::to_string(Arrived.From),
                             now());
  exchange(To);
}

void fleet_run::wakeLater(std::size_t Number) {
  entry_state &Entry = Entries[Number];
  double At = Ms + LongestSleepMs;
  if (const auto Wake = Entry.Policy.NextWake())
    At = std::clamp(millisOf(*Wake), Ms + 1e-6, At);
  if (Entry.TurnAtMs > Ms && Entry.TurnAtMs <= At)
    return;
  Entry.TurnAtMs = At;
  push(At, event_kind::Turn, Number);
}

void fleet_run::startAttempt(std::size_t Entry, const work_placement &Placement) {
  const auto Request = static_cast<std::size_t>(Placement.Request.value() - 1);
  request_state &State = Requests[Request];
  attempt_state Attempt;
  Attempt.Request = Request;
  Attempt.Entry = Entry;
  Attempt.Engine = engineOf(Placement.Backend);
  for (const backend_key &Helper : Placement.Helpers)
    Attempt.Helpers.push_back(engineOf(Helper));
  for (const memory_hold &Hold : Placement.Holds)
    Attempt.Holds.emplace_back(engineOf(Hold.Backend), static_cast<double>(Hold.Amount.value()));
  Attempt.EventsBefore = State.EventsSeen;
  ++State.Record.Attempts;
  Attempt.Id = {{host_name("entry-" + std::to_string(Entry)), incarnation(1)},
                Placement.Request,
                State.Record.Attempts};
  Entries[Entry].Policy.Started(Attempt.Id, itemOf(Request), Placement.Backend, now());
  State.Attempt = Attempts.size();
  Attempts.push_back(std::move(Attempt));
  push(Ms + Load.HostDelayMs, event_kind::Reach, Attempts.size() - 1);
}

void fleet_run::reach(std::size_t Number) {
  const attempt_state Attempt = Attempts[Number];
  if (Attempt.Over)
    return;
  const request_record &Record = Requests[Attempt.Request].Record;
  const auto IsLost = [this](std::size_t Engine) { return Engines[Engine].Lost; };
  if (IsLost(Attempt.Engine) || std::any_of(Attempt.Helpers.begin(), Attempt.Helpers.end(), IsLost))
    return push(Ms + BrokenAfterMs, event_kind::Broken, Number);
  engine_job Job;
  Job.Number = Number;
  // What was written before is read again with the prompt.
  Job.Prompt = Record.Prompt + Attempt.EventsBefore * Load.TokensPerEvent;
  Job.Events = std::max<std::uint32_t>(1, Record.Events - Attempt.EventsBefore);
  Job.Answer = Job.Events * Load.TokensPerEvent;
  Job.Readers = Attempt.Helpers.size() + 1;
  Job.Urgency = MiddleUrgency + Load.Kinds[Record.Kind].Urgency;
  for (const auto &[Engine, Tokens] : Attempt.Holds) {
    Job.HeldElsewhere += Tokens;
    Engines[Engine].Model.hold(Number, Tokens);
  }
  Engines[Attempt.Engine].Model.take(Job);
  for (const std::size_t Helper : Attempt.Helpers) {
    Engines[Helper].Model.takePart(Number, Job.Prompt / static_cast<double>(Job.Readers),
                                   Job.Prompt);
    runEngine(Helper);
  }
  runEngine(Attempt.Engine);
}

void fleet_run::runEngine(std::size_t Number) {
  engine_state &Engine = Engines[Number];
  if (!Engine.Lost && Engine.Model.canStart())
    push(Ms + Engine.Model.start(), event_kind::PassEnd, Number, Engine.Incarnation);
}

void fleet_run::endPass(std::size_t Number) {
  const pass_outcome Outcome = Engines[Number].Model.finish();
  for (const std::size_t Attempt : Outcome.ReadParts)
    push(Ms + Load.HostDelayMs, event_kind::PartRead, Attempt);
  tell(Outcome);
  runEngine(Number);
}

void fleet_run::tell(const pass_outcome &Outcome) {
  for (const std::size_t Attempt : Outcome.Events)
    push(Ms + Load.HostDelayMs, event_kind::Event, Attempt);
  for (const std::size_t Attempt : Outcome.Ended)
    push(Ms + Load.HostDelayMs, event_kind::Ended, Attempt);
}

void fleet_run::freeEngines(const attempt_state &Attempt) {
  const auto Number = static_cast<std::size_t>(&Attempt - Attempts.data());
  Engines[Attempt.Engine].Model.cancel(Number);
  for (const std::size_t Helper : Attempt.Helpers)
    Engines[Helper].Model.cancel(Number);
}

void fleet_run::lose(std::size_t Number) {
  const engine_loss &Loss = Load.Losses[Number];
  const auto Count = static_cast<std::size_t>(Loss.Share * static_cast<double>(Engines.size()));
  for (std::size_t Taken = 0; Taken < Count; ++Taken) {
    const std::size_t Chosen = Random.below(Engines.size());
    engine_state &Engine = Engines[Chosen];
    if (Engine.Lost)
      continue;
    Engine.Lost = true;
    ++Engine.Incarnation;
    for (const std::size_t Attempt : Engine.Model.lose())
      push(Ms + BrokenAfterMs, event_kind::Broken, Attempt);
    for (std::size_t Attempt = 0; Attempt < Attempts.size(); ++Attempt) {
      const std::vector<std::size_t> &Helpers = Attempts[Attempt].Helpers;
      const bool Helped = std::find(Helpers.begin(), Helpers.end(), Chosen) != Helpers.end();
      if (!Attempts[Attempt].Over && Attempts[Attempt].Events == 0 && Helped)
        push(Ms + BrokenAfterMs, event_kind::Broken, Attempt);
    }
    push(Ms + Loss.For * Second, event_kind::Regain, Chosen);
  }
}

void fleet_run::regain(std::size_t Number) {
  engine_state &Engine = Engines[Number];
  Engine.Lost = false;
  const backend_listing Before = Engine.Listing;
  backend_listing Ended = Before;
  Ended.State = listing_state::Gone;
  const instance_name Name("engine-" + std::to_string(Number) + "-" +
                           std::to_string(Engine.Incarnation));
  Engine.Listing.Instance = Name;
  Engine.Listing.Key = keyOf(Before.Key.Address, {Name, {}});
  EngineNumbers[Engine.Listing.Key] = Number;
  for (entry_state &Entry : Entries) {
    Entry.Policy.UpdateBackend(Ended);
    Entry.Policy.UpdateBackend(Engine.Listing);
  }
}

} // namespace pollenstall

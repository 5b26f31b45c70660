/** @file fleet_run_callers.cpp Requests between their callers and entries, and entries that are
 * lost.
 */
#include "fleet_model/entry_policy_func.h"
#include "fleet_model/fleet_run_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr double Second = 1e3; // ms
/// A caller that is told to come back waits for this part of its time at most.
constexpr double WaitPart = 1.0 / 3.0;
constexpr double ReturnAfterMs = 50;
constexpr std::size_t MostAttempts = 2;

std::string reportAddress(std::size_t Entry) { return "entry-" + std::to_string(Entry); }

} // namespace

void fleet_run::arrive(std::size_t Request) {
  if (Requests[Request].Over)
    return;
  if (Entries[Requests[Request].Entry].Lost)
    Requests[Request].Entry = drawEntry();
  const double PatienceMs = Load.Kinds[Requests[Request].Record.Kind].PatienceMs;
  if (PatienceMs > 0)
    push(Ms + PatienceMs - Load.CallerDelayMs, event_kind::Leave, Request,
         Requests[Request].Returned ? 1 : 0);
  submit(Request);
  turn(Requests[Request].Entry);
}

work_item fleet_run::itemOf(std::size_t Request) const {
  const request_state &State = Requests[Request];
  const request_kind &Kind = Load.Kinds[State.Record.Kind];
  const double Answer = State.Record.Events * Load.TokensPerEvent;
  work_item Item;
  Item.Request = request_number(Request + 1);
  Item.Service = service_name(Kind.Name);
  Item.Groups = {{group_name(modelService().str()), 1}};
  Item.Prompt = tokens(std::llround(State.Record.Prompt));
  Item.AnswerLimit = tokens(std::llround(Answer));
  Item.Avoid = State.Avoid;
  Item.Arrived = momentOf(State.Record.ArrivedMs + Load.CallerDelayMs);
  Item.Deadline = momentOf(State.GivenUpMs - Load.CallerDelayMs);
  Item.Urgency = Kind.Urgency;
  Item.Target = std::chrono::milliseconds(std::llround(Kind.TargetMs));
  Item.LongestGap = std::chrono::milliseconds(std::llround(Kind.GapMs));
  Item.Resumed = State.EventsSeen > 0;
  return Item;
}

void fleet_run::submit(std::size_t Request) {
  const auto Taken = Entries[Requests[Request].Entry].Policy.Submit(itemOf(Request), now());
  if (!succeeded(Taken))
    refuse(Request, errorOf(Taken));
}

void fleet_run::refuse(std::size_t Request, const work_refusal &Refusal) {
  request_state &State = Requests[Request];
  ++State.Record.Refusals;
  const double Left = State.GivenUpMs - Ms;
  const double Told =
      Refusal.RetryAfter ? static_cast<double>(Refusal.RetryAfter->count()) * Second : 0;
  if (State.Returned || State.EventsSeen > 0 || !Random.chance(Load.ReturnChance)) {
    State.Over = true;
    return;
  }
  comeBack(Request, std::max(ReturnAfterMs, std::min(Told, Left * WaitPart)));
}

std::size_t fleet_run::drawEntry() {
  while (true) {
    const std::size_t Drawn = Random.below(Load.Entries);
    if (!Entries[Drawn].Lost)
      return Drawn;
  }
}

void fleet_run::comeBack(std::size_t Request, double WaitMs) {
  request_state &State = Requests[Request];
  State.Returned = true;
  State.Entry = drawEntry();
  push(Ms + WaitMs + 2 * Load.CallerDelayMs, event_kind::Arrive, Request);
}

void fleet_run::loseEntries(std::size_t Number) {
  const entry_loss &Loss = Load.EntryLosses[Number];
  for (std::size_t Taken = 0; Taken < Loss.Count; ++Taken) {
    const std::size_t Entry = drawEntry();
    Entries[Entry].Lost = true;
    push(Ms + Loss.For * Second, event_kind::RegainEntry, Entry);
  }
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
    if (Entries[Entry].Lost)
      loseEntry(Entry);
}

/// Its callers see their connections break and come back; its engines end what they ran for it.
void fleet_run::loseEntry(std::size_t Entry) {
  for (std::size_t Number = 0; Number < Requests.size(); ++Number) {
    request_state &State = Requests[Number];
    const bool Here = State.Entry == Entry && State.Record.ArrivedMs <= Ms && !State.Over;
    if (!Here)
      continue;
    if (State.Attempt) {
      Attempts[*State.Attempt].Over = true;
      freeEngines(Attempts[*State.Attempt]);
      State.Attempt.reset();
    }
    if (State.Returned)
      State.Over = true;
    else
      comeBack(Number, Load.CallerDelayMs);
  }
}

void fleet_run::addEntry(std::size_t Number) {
  entry_state &Entry = Entries[Number];
  Entry = entry_state();
  Entry.Policy = Policy.Make(Load, Number, combineHashes(Seed, Number + 2));
  for (const engine_state &Engine : Engines)
    Entry.Policy.UpdateBackend(Engine.Listing);
  const host_name Host("entry-" + std::to_string(Number));
  const incarnation Incarnation(static_cast<std::uint64_t>(now().time_since_epoch().count()));
  Entry.Board = std::make_unique<work_view>(process_key{Host, Incarnation}, reportAddress(Number));
  EntryNumbers[reportAddress(Number)] = Number;
}

void fleet_run::introduceEntries() {
  std::vector<work_entry> All;
  for (std::size_t Number = 0; Number < Entries.size(); ++Number)
    All.push_back({reportAddress(Number),
                   failure_domain_name("domain-" + std::to_string(Number % Load.Domains))});
  for (entry_state &Entry : Entries)
    Entry.Board->setEntries(All, now());
}

void fleet_run::takeEvent(std::size_t Attempt) {
  attempt_state &State = Attempts[Attempt];
  request_state &Request = Requests[State.Request];
  if (State.Over || Request.Over)
    return;
  if (State.Events++ == 0)
    Entries[State.Entry].Policy.Answering(State.Id, now());
  const double SeenMs = Ms + Load.CallerDelayMs;
  if (Request.EventsSeen++ == 0)
    Request.Record.FirstEventMs = SeenMs - Request.Record.ArrivedMs;
  else
    Request.Record.LongestGapMs =
        std::max(Request.Record.LongestGapMs, SeenMs - Request.LastEventMs);
  Request.LastEventMs = SeenMs;
  if (State.Events == 1)
    turn(State.Entry);
}

void fleet_run::endAttempt(std::size_t Attempt, std::optional<attempt_failure> Failure) {
  attempt_state &State = Attempts[Attempt];
  if (State.Over)
    return;
  State.Over = true;
  freeEngines(State);
  attempt_report Report;
  Report.Completed = !Failure;
  Report.Failure = Failure;
  Entries[State.Entry].Policy.Ended(State.Id, Report, now());
  request_state &Request = Requests[State.Request];
  Request.Attempt.reset();
  if (!Failure && !Request.Over) {
    Request.Over = true;
    Request.Record.EndedMs = Ms + Load.CallerDelayMs - Request.Record.ArrivedMs;
  } else if (Failure && !Request.Over) {
    Request.Avoid.push_back(Engines[State.Engine].Listing.Key);
    if (Request.Record.Attempts < MostAttempts)
      submit(State.Request);
    else
      Request.Over = true;
  }
  turn(State.Entry);
}

/// A caller that has waited long enough for the first event of this try.
void fleet_run::leave(std::size_t Request, bool Returned) {
  request_state &State = Requests[Request];
  if (State.Over || State.EventsSeen > 0 || State.Returned != Returned)
    return;
  State.Over = true; // What it had under way is not tried elsewhere.
  drop(Request);
  State.Over = Returned;
  if (!Returned)
    comeBack(Request, ReturnAfterMs);
}

void fleet_run::giveUp(std::size_t Request) {
  request_state &State = Requests[Request];
  if (State.Over)
    return;
  State.Over = true;
  drop(Request);
}

void fleet_run::drop(std::size_t Request) {
  request_state &State = Requests[Request];
  Entries[State.Entry].Policy.Withdraw(request_number(Request + 1));
  if (State.Attempt)
    endAttempt(*State.Attempt, attempt_failure::TimedOut);
}

} // namespace pollenstall

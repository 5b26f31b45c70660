/** @file fleet_run_callers.cpp Requests between callers and entries, and outages of entries. */
#include "fleet_model/entry_policy_func.h"
#include "fleet_model/fleet_run_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

constexpr double MsPerSecond = 1e3;
/// A refused caller waits for at most this fraction of its remaining time before it retries.
constexpr double MaxWaitFraction = 1.0 / 3.0;
constexpr double MinRetryDelayMs = 50;
constexpr std::size_t MaxAttempts = 2;
/// Events that a real entry's relay reports together.
constexpr std::uint32_t EventsPerReport = 16;

std::string reportAddress(std::size_t Entry) { return "entry-" + std::to_string(Entry); }

} // namespace

void fleet_run::handleArrival(std::size_t Request) {
  if (Requests[Request].Finished)
    return;
  if (Entries[Requests[Request].Entry].Down)
    Requests[Request].Entry = pickEntry();
  const double PatienceMs = Load.Kinds[Requests[Request].Record.Kind].PatienceMs;
  if (PatienceMs > 0)
    schedule(Ms + PatienceMs - Load.CallerDelayMs, event_kind::CallerDeparture, Request,
             Requests[Request].Retried ? 1 : 0);
  submit(Request);
  pollEntry(Requests[Request].Entry);
}

work_item fleet_run::makeWorkItem(std::size_t Request) const {
  const request_state &State = Requests[Request];
  const request_kind &Kind = Load.Kinds[State.Record.Kind];
  const double Answer = State.Record.Events * Load.TokensPerEvent;
  work_item WorkItem;
  WorkItem.Request = request_number(Request + 1);
  WorkItem.Service = service_name(Kind.Name);
  WorkItem.Groups = {{group_name(modelService().str()), 1}};
  WorkItem.Prompt = tokens(std::llround(State.Record.Prompt));
  WorkItem.AnswerLimit = tokens(std::llround(Answer));
  WorkItem.Avoid = State.Avoid;
  WorkItem.Arrived = toMonoTime(State.Record.ArrivedMs + Load.CallerDelayMs);
  WorkItem.Deadline = toMonoTime(State.DeadlineMs - Load.CallerDelayMs);
  WorkItem.Urgency = Kind.Urgency;
  WorkItem.Target = std::chrono::milliseconds(std::llround(Kind.TargetMs));
  WorkItem.LongestGap = std::chrono::milliseconds(std::llround(Kind.GapMs));
  WorkItem.Patience = std::chrono::milliseconds(std::llround(Kind.PatienceMs));
  WorkItem.TimeLimit = std::chrono::milliseconds(std::llround(Kind.TimeoutMs));
  WorkItem.Resumed = State.DeliveredEvents > 0;
  return WorkItem;
}

void fleet_run::submit(std::size_t Request) {
  const auto Submitted =
      Entries[Requests[Request].Entry].Policy.Submit(makeWorkItem(Request), now());
  if (!succeeded(Submitted))
    handleRefusal(Request, errorOf(Submitted));
}

void fleet_run::handleRefusal(std::size_t Request, const work_refusal &Refusal) {
  request_state &State = Requests[Request];
  ++State.Record.Refusals;
  const double RemainingMs = State.DeadlineMs - Ms;
  const double SuggestedWaitMs =
      Refusal.RetryAfter ? static_cast<double>(Refusal.RetryAfter->count()) * MsPerSecond : 0;
  if (State.Retried || State.DeliveredEvents > 0 || !Random.chance(Load.RetryProbability)) {
    State.Finished = true;
    return;
  }
  scheduleRetry(
      Request, std::max(MinRetryDelayMs, std::min(SuggestedWaitMs, RemainingMs * MaxWaitFraction)));
}

std::size_t fleet_run::pickEntry() {
  while (true) {
    const std::size_t Drawn = Random.below(Load.Entries);
    if (!Entries[Drawn].Down)
      return Drawn;
  }
}

void fleet_run::scheduleRetry(std::size_t Request, double WaitMs) {
  request_state &State = Requests[Request];
  State.Retried = true;
  State.Entry = pickEntry();
  schedule(Ms + WaitMs + 2 * Load.CallerDelayMs, event_kind::RequestArrival, Request);
}

void fleet_run::failEntries(std::size_t OutageIndex) {
  const entry_outage &Outage = Load.EntryOutages[OutageIndex];
  for (std::size_t Failures = 0; Failures < Outage.Count; ++Failures) {
    const std::size_t Entry = pickEntry();
    Entries[Entry].Down = true;
    schedule(Ms + Outage.DurationSeconds * MsPerSecond, event_kind::EntryRestart, Entry);
  }
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
    if (Entries[Entry].Down)
      disconnectCallers(Entry);
}

/// Breaks the connections of the entry's callers, which retry, and ends its work on engines.
void fleet_run::disconnectCallers(std::size_t Entry) {
  for (std::size_t RequestIndex = 0; RequestIndex < Requests.size(); ++RequestIndex) {
    request_state &State = Requests[RequestIndex];
    const bool IsAffected = State.Entry == Entry && State.Record.ArrivedMs <= Ms && !State.Finished;
    if (!IsAffected)
      continue;
    if (State.Attempt) {
      Attempts[*State.Attempt].Finished = true;
      releaseEngines(Attempts[*State.Attempt]);
      State.Attempt.reset();
    }
    if (State.Retried)
      State.Finished = true;
    else
      scheduleRetry(RequestIndex, Load.CallerDelayMs);
  }
}

void fleet_run::startEntry(std::size_t EntryIndex) {
  entry_state &Entry = Entries[EntryIndex];
  Entry = entry_state();
  Entry.Policy = Policy.Make(Load, EntryIndex, combineHashes(Seed, EntryIndex + 2));
  for (const engine_state &Engine : Engines)
    Entry.Policy.UpdateBackend(Engine.Listing);
  const host_name Host("entry-" + std::to_string(EntryIndex));
  const incarnation Incarnation(static_cast<std::uint64_t>(now().time_since_epoch().count()));
  Entry.View =
      std::make_unique<work_view>(process_key{Host, Incarnation}, reportAddress(EntryIndex));
  EntryIndexes[reportAddress(EntryIndex)] = EntryIndex;
}

void fleet_run::updateEntryLists() {
  std::vector<work_entry> EntryList;
  for (std::size_t EntryIndex = 0; EntryIndex < Entries.size(); ++EntryIndex)
    EntryList.push_back(
        {reportAddress(EntryIndex),
         failure_domain_name("domain-" + std::to_string(EntryIndex % Load.FailureDomains))});
  for (entry_state &Entry : Entries)
    Entry.View->setEntries(EntryList, now());
}

void fleet_run::receiveEvent(std::size_t Attempt) {
  attempt_state &State = Attempts[Attempt];
  request_state &Request = Requests[State.Request];
  if (State.Finished || Request.Finished)
    return;
  if (State.Events++ == 0) {
    Entries[State.Entry].Policy.AttemptAnswering(State.Id, now());
    State.ReportedEvents = 1;
  }
  if (State.Events - State.ReportedEvents >= EventsPerReport)
    reportEvents(State);
  const double DeliveredMs = Ms + Load.CallerDelayMs;
  if (Request.DeliveredEvents++ == 0)
    Request.Record.FirstEventMs = DeliveredMs - Request.Record.ArrivedMs;
  else
    Request.Record.LongestGapMs =
        std::max(Request.Record.LongestGapMs, DeliveredMs - Request.LastEventMs);
  Request.LastEventMs = DeliveredMs;
  if (State.Events == 1)
    pollEntry(State.Entry);
}

void fleet_run::reportEvents(attempt_state &Attempt) {
  const std::uint32_t Events = Attempt.Events - Attempt.ReportedEvents;
  Attempt.ReportedEvents = Attempt.Events;
  if (Events > 0)
    Entries[Attempt.Entry].Policy.AttemptAdvanced(Attempt.Id, Events, now());
}

void fleet_run::endAttempt(std::size_t Attempt, std::optional<attempt_failure> Failure) {
  attempt_state &State = Attempts[Attempt];
  if (State.Finished)
    return;
  State.Finished = true;
  if (!Failure)
    reportEvents(State);
  releaseEngines(State);
  attempt_report Report;
  Report.Completed = !Failure;
  Report.Failure = Failure;
  Entries[State.Entry].Policy.AttemptEnded(State.Id, Report, now());
  request_state &Request = Requests[State.Request];
  Request.Attempt.reset();
  if (!Failure && !Request.Finished) {
    Request.Finished = true;
    Request.Record.EndedMs = Ms + Load.CallerDelayMs - Request.Record.ArrivedMs;
  } else if (Failure && !Request.Finished) {
    Request.Avoid.push_back(Engines[State.Engine].Listing.Key);
    if (Request.Record.Attempts < MaxAttempts)
      submit(State.Request);
    else
      Request.Finished = true;
  }
  pollEntry(State.Entry);
}

/// Handles a caller whose patience has expired before the first event of this attempt.
void fleet_run::handleDeparture(std::size_t Request, bool Retried) {
  request_state &State = Requests[Request];
  if (State.Finished || State.DeliveredEvents > 0 || State.Retried != Retried)
    return;
  State.Finished = true; // Prevents another attempt when the current one is cancelled.
  cancelRequest(Request);
  State.Finished = Retried;
  if (!Retried)
    scheduleRetry(Request, MinRetryDelayMs);
}

void fleet_run::handleTimeout(std::size_t Request) {
  request_state &State = Requests[Request];
  if (State.Finished)
    return;
  State.Finished = true;
  cancelRequest(Request);
}

void fleet_run::cancelRequest(std::size_t Request) {
  request_state &State = Requests[Request];
  Entries[State.Entry].Policy.Withdraw(request_number(Request + 1));
  if (State.Attempt)
    endAttempt(*State.Attempt, attempt_failure::TimedOut);
}

} // namespace pollenstall

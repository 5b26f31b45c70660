/** @file simulation.cpp Implements the event loop of the simulation. */
#include "simulation_base.h"

#include <algorithm>

namespace pollenstall::bench {
namespace {

constexpr std::size_t MaxAttempts = 3;
constexpr std::uint64_t EventsPerReport = 8;
/// Time until entries detect that an unresponsive engine is lost.
constexpr double LossDetectionSeconds = 2.0;
constexpr std::size_t DomainCount = 3;
constexpr std::int64_t TokensPerHash = 1'024;
/// Start of virtual time; nonzero because code may treat the clock's zero as "never".
constexpr mono_time StartTime{std::chrono::hours(1)};

mono_duration durationFromSeconds(double Seconds) {
  return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(Seconds));
}

} // namespace

simulation::simulation(const run_settings &InitialSettings, const routing_policy &Policy)
    : Settings(InitialSettings) {
  for (const sim_request &Request : makeWorkload(Settings)) {
    sim_record Record;
    Record.Request = Request;
    Records.push_back(Record);
  }
  Avoid.resize(Records.size());
  for (std::size_t Number = 0; Number < Settings.Engines; ++Number) {
    backend_view View;
    View.Announcement.Key = {backend_address("10.0.0." + std::to_string(Number) + ":80"),
                             incarnation(1)};
    View.Announcement.Service = service_name("llm");
    View.Announcement.Domain = failure_domain_name("d" + std::to_string(Number % DomainCount));
    View.Announcement.Models = {model_name("m")};
    View.Announcement.Capabilities.Priorities = Settings.Engine.Priorities;
    View.Announcement.BlockTokens = tokens(Settings.Engine.BlockTokens);
    View.Announcement.Memory =
        memory_blocks(Settings.Engine.MemoryTokens / Settings.Engine.BlockTokens);
    View.LoadReportedAt = now();
    EngineNumbers[View.Announcement.Key] = Number;
    Engines.push_back({sim_engine(Settings.Engine), View, false, 0});
  }
  for (std::size_t Number = 0; Number < Settings.Entries; ++Number)
    Entries.push_back({Policy.Make(Settings, Number), -1});
}

mono_time simulation::now() const { return StartTime + durationFromSeconds(Time); }

void simulation::push(double EventTime, event_kind Kind, std::size_t Index,
                      std::uint64_t Incarnation) {
  Events.push({EventTime, NextSequence++, Kind, Index, Incarnation});
}

std::vector<sim_record> simulation::run() {
  for (std::size_t Request = 0; Request < Records.size(); ++Request)
    push(Records[Request].Request.Arrived, event_kind::Arrival, Request);
  for (std::size_t Index = 0; Index < Settings.Disturbances.size(); ++Index)
    push(Settings.Disturbances[Index].StartSeconds, event_kind::ApplyDisturbance, Index);
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine) {
    const double Phase = static_cast<double>(Engine) / static_cast<double>(Engines.size());
    push(Phase * Settings.ReportInterval, event_kind::Report, Engine);
    for (entry_state &Entry : Entries)
      Entry.Policy.UpdateBackend(Engines[Engine].View, now());
  }
  std::size_t OpenRequests = Records.size();
  while (!Events.empty() && OpenRequests > 0) {
    const event Event = Events.top();
    Events.pop();
    Time = Event.Time;
    handle(Event);
    if (Event.Kind == event_kind::TimeLimit)
      --OpenRequests; // Each request has exactly one, so the run ends after the last time limit.
  }
  return std::move(Records);
}

void simulation::handle(const event &Event) {
  switch (Event.Kind) {
  case event_kind::Arrival:
    return arrive(Event.Index);
  case event_kind::StepEnd:
    if (Engines[Event.Index].Incarnation == Event.Incarnation)
      finishStep(Event.Index);
    return;
  case event_kind::Report:
    return reportLoad(Event.Index);
  case event_kind::DeliverReport:
    return deliverReport(Event.Index);
  case event_kind::Wake:
    if (Entries[Event.Index].WakeAt == Event.Time) {
      Entries[Event.Index].WakeAt = -1;
      pollEntry(Event.Index);
    }
    return;
  case event_kind::TimeLimit:
    return expireRequest(Event.Index);
  case event_kind::ApplyDisturbance:
    return applyDisturbance(Settings.Disturbances[Event.Index]);
  case event_kind::MarkLost:
    Engines[Event.Index].View.Status = backend_status::Lost;
    for (entry_state &Entry : Entries)
      Entry.Policy.UpdateBackend(Engines[Event.Index].View, now());
    return;
  }
}

work_item simulation::makeWorkItem(std::size_t Index) const {
  const sim_request &Request = Records[Index].Request;
  work_item Item;
  Item.Request = request_number(Index + 1);
  Item.Account = client_account_name("account-" + std::to_string(Request.Account));
  Item.Service = service_name("llm");
  Item.Model = model_name("m");
  Item.Groups = {{group_name("all"), 1}};
  Item.Prompt = tokens(Request.Prompt);
  Item.AnswerLimit = tokens(Request.AnswerLimit);
  Item.Avoid = Avoid[Index];
  Item.Arrived = StartTime + durationFromSeconds(Request.Arrived);
  Item.Deadline = StartTime + durationFromSeconds(Request.Arrived + Request.TimeLimitSeconds);
  for (std::int64_t Offset = 0; Offset < Request.Prompt; Offset += TokensPerHash) {
    const bool Shared = Offset + TokensPerHash <= Request.PrefixTokens;
    const auto Chunk = static_cast<std::uint64_t>(Offset);
    Item.PrefixHashes.push_back(
        combineHashes(Shared ? Request.Prefix : combineHashes(Index + 1, Settings.Seed), Chunk));
  }
  return Item;
}

std::size_t simulation::engineIndex(const backend_key &Key) const { return EngineNumbers.at(Key); }

void simulation::arrive(std::size_t Request) {
  const sim_request &SimRequest = Records[Request].Request;
  push(SimRequest.Arrived + SimRequest.TimeLimitSeconds, event_kind::TimeLimit, Request);
  submit(Request);
}

void simulation::submit(std::size_t Request) {
  const std::size_t Entry = Records[Request].Request.Entry;
  const auto Result = Entries[Entry].Policy.Submit(makeWorkItem(Request), now());
  if (!succeeded(Result)) {
    const work_refusal &Refusal = errorOf(Result);
    if (Refusal.RetryAfter)
      Records[Request].RetryAfter = static_cast<double>(Refusal.RetryAfter->count());
    const bool TooLarge = Refusal.Reason == failure_reason::TooLargeForFleet;
    end(Request, TooLarge ? sim_outcome::TooLarge : sim_outcome::Refused);
    return;
  }
  pollEntry(Entry);
}

void simulation::pollEntry(std::size_t Number) {
  entry_state &Entry = Entries[Number];
  const poll_outcome Outcome = Entry.Policy.Poll(now());
  for (const work_expiry &Expiry : Outcome.Expiries) {
    const auto Request = static_cast<std::size_t>(Expiry.Request.value() - 1);
    if (Expiry.Refusal.RetryAfter)
      Records[Request].RetryAfter = static_cast<double>(Expiry.Refusal.RetryAfter->count());
    end(Request, sim_outcome::Expired);
  }
  for (const work_placement &Placement : Outcome.Placements)
    startAttempt(static_cast<std::size_t>(Placement.Request.value() - 1), Placement);
  const std::optional<mono_time> Wake = Entry.Policy.NextWake();
  if (!Wake)
    return;
  const double WakeTime = std::max(Time, std::chrono::duration<double>(*Wake - StartTime).count());
  if (Entry.WakeAt >= 0 && Entry.WakeAt <= WakeTime)
    return;
  Entry.WakeAt = WakeTime;
  push(WakeTime, event_kind::Wake, Number);
}

void simulation::startAttempt(std::size_t Request, const work_placement &Placement) {
  const sim_request &SimRequest = Records[Request].Request;
  const std::size_t Number = Attempts.size();
  const std::size_t Engine = engineIndex(Placement.Backend);
  const auto Ordinal = static_cast<std::uint32_t>(Avoid[Request].size() + 1);
  const process_key Owner{host_name("entry-" + std::to_string(SimRequest.Entry)), incarnation(1)};
  Attempts.push_back({Request, Engine, {Owner, Placement.Request, Ordinal}, 0, 0});
  RunningAttempts[Request] = Number;
  Entries[SimRequest.Entry].Policy.Started(Attempts[Number].Id, makeWorkItem(Request),
                                           Placement.Backend, now());
  if (Engines[Engine].Lost)
    return failAttempt(Number, attempt_failure::NotConnected);
  Engines[Engine].Engine.enqueue({Number, SimRequest.Prompt, SimRequest.Answer,
                                  SimRequest.AnswerLimit, SimRequest.Prefix,
                                  SimRequest.PrefixTokens, Placement.Priority});
  stepEngine(Engine);
}

void simulation::stepEngine(std::size_t Number) {
  engine_state &State = Engines[Number];
  if (!State.Lost && State.Engine.canStart())
    push(Time + State.Engine.beginStep(), event_kind::StepEnd, Number, State.Incarnation);
}

void simulation::finishStep(std::size_t Number) {
  const step_outcome Outcome = Engines[Number].Engine.endStep();
  std::set<std::size_t> AffectedEntries;
  for (const std::size_t Attempt : Outcome.FirstTokens) {
    attempt_state &State = Attempts[Attempt];
    sim_record &Record = Records[State.Request];
    Record.FirstToken = Time - Record.Request.Arrived;
    State.Cached = Engines[Number].Engine.cachedTokens(Attempt);
    Entries[Record.Request.Entry].Policy.AnswerStarted(State.Id, now());
    AffectedEntries.insert(Record.Request.Entry);
  }
  for (const std::size_t Attempt : Outcome.FurtherTokens) {
    attempt_state &State = Attempts[Attempt];
    if (++State.UnreportedEvents < EventsPerReport)
      continue;
    Entries[Records[State.Request].Request.Entry].Policy.Progressed(State.Id,
                                                                    State.UnreportedEvents, now());
    State.UnreportedEvents = 0;
  }
  for (const std::size_t Attempt : Outcome.Completed) {
    const attempt_state &State = Attempts[Attempt];
    const sim_request &SimRequest = Records[State.Request].Request;
    attempt_report End;
    End.Completed = true;
    End.PromptTokens = tokens(SimRequest.Prompt);
    End.AnswerTokens = tokens(SimRequest.Answer);
    End.CachedTokens = tokens(State.Cached);
    Entries[SimRequest.Entry].Policy.Ended(State.Id, End, now());
    AffectedEntries.insert(SimRequest.Entry);
    RunningAttempts.erase(State.Request);
    end(State.Request, sim_outcome::Done);
  }
  for (const std::size_t Entry : AffectedEntries)
    pollEntry(Entry);
  stepEngine(Number);
}

void simulation::reportLoad(std::size_t Number) {
  engine_state &State = Engines[Number];
  if (State.Lost)
    return;
  State.View.Load = State.Engine.load();
  State.View.Load.Sequence = State.Engine.nextReportSequence();
  State.View.LoadReportedAt = now() + durationFromSeconds(Settings.ReportLag);
  Reports.push_back(State.View);
  push(Time + Settings.ReportLag, event_kind::DeliverReport, Reports.size() - 1);
  push(Time + Settings.ReportInterval, event_kind::Report, Number);
}

void simulation::deliverReport(std::size_t Index) {
  const backend_view View = Reports[Index];
  if (Engines[engineIndex(View.Announcement.Key)].View.Status != backend_status::Active)
    return;
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
    Entries[Entry].Policy.UpdateBackend(View, now());
  }
}

void simulation::expireRequest(std::size_t Request) {
  if (Records[Request].Outcome != sim_outcome::Open)
    return;
  const std::size_t Entry = Records[Request].Request.Entry;
  const auto Found = RunningAttempts.find(Request);
  if (Found != RunningAttempts.end()) {
    const attempt_state &State = Attempts[Found->second];
    Engines[State.Engine].Engine.cancel(Found->second);
    Entries[Entry].Policy.Ended(State.Id, attempt_report(), now());
    RunningAttempts.erase(Found);
  }
  Entries[Entry].Policy.Withdraw(request_number(Request + 1));
  end(Request, sim_outcome::TimedOut);
}

void simulation::applyDisturbance(const disturbance &Change) {
  engine_state &State = Engines[Change.Engine];
  if (!Change.Lost)
    return State.Engine.setSlowdown(Change.Slowdown);
  State.Lost = true;
  ++State.Incarnation;
  push(Time + LossDetectionSeconds, event_kind::MarkLost, Change.Engine);
  for (const std::size_t Attempt : State.Engine.removeAllJobs())
    failAttempt(Attempt, attempt_failure::BrokenSent);
}

void simulation::failAttempt(std::size_t Number, attempt_failure Failure) {
  const attempt_state State = Attempts[Number];
  const sim_request SimRequest = Records[State.Request].Request;
  attempt_report End;
  End.Failure = Failure;
  Entries[SimRequest.Entry].Policy.Ended(State.Id, End, now());
  RunningAttempts.erase(State.Request);
  Avoid[State.Request].push_back(Engines[State.Engine].View.Announcement.Key);
  const bool Answered = Records[State.Request].FirstToken >= 0;
  if (Answered || Avoid[State.Request].size() >= MaxAttempts)
    return end(State.Request, sim_outcome::Failed);
  submit(State.Request);
}

void simulation::end(std::size_t Request, sim_outcome Outcome) {
  sim_record &Record = Records[Request];
  Record.Outcome = Outcome;
  Record.Ended = Time - Record.Request.Arrived;
}

} // namespace pollenstall::bench

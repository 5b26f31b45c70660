/** @file dispatch_simulation.cpp Simulated entries, callers and claims, and the checks. */
#include "dispatch_simulation.h"

#include <algorithm>

namespace pollenstall {

using std::chrono::milliseconds;
using std::chrono::seconds;

dispatch_simulation::dispatch_simulation(std::uint64_t Seed) : Random(Seed) {
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine)
    Engines.at(Engine).Key = {backend_address(std::to_string(Engine)), incarnation(1)};
  startEntry(0);
  startEntry(1);
  Tasks.resize(12);
  for (std::size_t Task = 0; Task < Tasks.size(); ++Task) {
    Tasks[Task].Idempotent = Random.chance(0.3);
    Tasks[Task].Key = Random.chance(0.8) ? "key" + std::to_string(Task) : "";
    after(milliseconds(Random.below(20'000)), [this, Task] { submitTask(Task); });
  }
  for (std::uint64_t Fault = Random.below(5); Fault > 0; --Fault)
    after(milliseconds(Random.below(30'000)),
          [this, Engine = Random.below(Engines.size())] { restartEngine(Engine); });
  for (std::uint64_t Fault = Random.below(4); Fault > 0; --Fault)
    after(milliseconds(Random.below(30'000)),
          [this, Entry = Random.below(Entries.size())] { restartEntry(Entry); });
  for (std::uint64_t Fault = Random.below(4); Fault > 0; --Fault)
    after(milliseconds(Random.below(30'000)), [this] {
      const std::size_t Entry = Random.below(Entries.size());
      Entries.at(Entry).Dispatch->backendLost(Engines.at(Random.below(3)).Key, Now);
      executeActions(Entry);
    });
}

mono_duration dispatch_simulation::delay() {
  const std::uint64_t Most = chance(0.05) ? 4'000 : 60;
  return milliseconds(1 + Random.below(Most));
}

void dispatch_simulation::runUntilIdle(mono_time End) {
  while (Now < End) {
    std::optional<mono_time> Next;
    if (!Scheduled.empty())
      Next = Scheduled.begin()->first;
    for (const entry_incarnation &Entry : Entries)
      if (const auto Wake = Entry.Dispatch->nextWake())
        Next = Next ? std::min(*Next, *Wake) : *Wake;
    if (!Next || *Next >= End)
      break;
    Now = std::max(Now, *Next);
    ++Steps;
    if (!Scheduled.empty() && Scheduled.begin()->first <= Now) {
      const action Do = std::move(Scheduled.begin()->second);
      Scheduled.erase(Scheduled.begin());
      Do();
    }
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
      Entries.at(Entry).Dispatch->advance(Now);
      executeActions(Entry);
    }
  }
  Now = End;
}

std::vector<std::string> dispatch_simulation::run() {
  runUntilIdle(Now + seconds(60));
  Chaos = false;
  runUntilIdle(Now + seconds(400));
  checkAtEnd();
  return Violations;
}

void dispatch_simulation::startEntry(std::size_t Entry) {
  entry_incarnation Incarnation;
  Incarnation.Self = {host_name("entry-" + std::to_string(Entry)), incarnation(++Incarnations)};
  limits_declaration Limits;
  Limits.RetryPercent = 100;
  auto Built = dispatcher_builder()
                   .process(Incarnation.Self)
                   .limits(Limits)
                   .seed(Random())
                   .callbacks(callbacks(Entry))
                   .build();
  Incarnation.Dispatch.emplace(valueOf(std::move(Built)));
  Incarnation.Dispatch->setReady(true);
  Incarnation.LastDeliveryAt = Now;
  Entries.at(Entry) = std::move(Incarnation);
}

void dispatch_simulation::restartEntry(std::size_t Entry) {
  const process_key Dead = Entries.at(Entry).Self;
  startEntry(Entry);
  for (const auto &[Request, Submission] : SubmissionOf)
    if (Request.first == Dead &&
        !Tasks[Submission.first].Submissions[Submission.second].FinalAnswer)
      after(delay(), [this, Submission = Submission] { maybeResubmit(Submission, false); });
}

dispatcher_callbacks dispatch_simulation::callbacks(std::size_t Entry) {
  dispatcher_callbacks Callbacks;
  Callbacks.Submit = [this, Entry](const work_item &Item, mono_time) -> result<done, work_refusal> {
    if (chance(0.02))
      return work_refusal{failure_reason::QueueFull, seconds(1)};
    Entries.at(Entry).Queue[Item.Request] = Item;
    afterAtEntry(Entry, delay(), [this, Entry, Id = Item.Request] { schedule(Entry, Id); });
    return done{};
  };
  Callbacks.Withdraw = [this, Entry](request_number Id) { Entries.at(Entry).Queue.erase(Id); };
  Callbacks.GroupsFor = [](const request_facts &) {
    return std::vector<candidate_group>{{group_name("all"), 1}};
  };
  Callbacks.SupportsResume = [](const backend_key &Key) { return Key.Address.str() != "0"; };
  Callbacks.AttemptStarted = [this, Entry](const started_attempt &Start, mono_time) {
    if (!Entries.at(Entry).Started.insert(Start.Attempt).second)
      addViolation("an attempt started twice: " + toText(Start.Attempt));
  };
  Callbacks.AttemptEnded = [this, Entry](const attempt_result &End, mono_time) {
    if (!Entries.at(Entry).Ended.insert(End.Attempt).second)
      addViolation("an attempt ended twice: " + toText(End.Attempt));
  };
  return Callbacks;
}

void dispatch_simulation::afterAtEntry(std::size_t Entry, mono_duration Delay, action Do) {
  after(Delay, [this, Entry, Self = Entries.at(Entry).Self, Do = std::move(Do)] {
    if (Entries.at(Entry).Self == Self)
      Do();
  });
}

void dispatch_simulation::postEvent(std::size_t Entry, const dispatch_event &Event) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  Incarnation.LastDeliveryAt = std::max(Incarnation.LastDeliveryAt, Now + delay() / 4);
  afterAtEntry(Entry, Incarnation.LastDeliveryAt - Now, [this, Entry, Event] {
    Entries.at(Entry).Dispatch->handle(Event, Now);
    executeActions(Entry);
  });
  // Any event but an arrival may be delivered again: events from outside may arrive twice.
  if (!std::holds_alternative<request_arrived>(Event))
    Incarnation.PastEvents.push_back(Event);
  if (!Incarnation.PastEvents.empty() && chance(0.05))
    afterAtEntry(Entry, delay() * 3, [this, Entry] {
      entry_incarnation &Current = Entries.at(Entry);
      Current.Dispatch->handle(Current.PastEvents[Random.below(Current.PastEvents.size())], Now);
      executeActions(Entry);
    });
}

void dispatch_simulation::executeActions(std::size_t Entry) {
  for (const dispatch_action &Action : Entries.at(Entry).Dispatch->takeActions())
    std::visit([this, Entry](const auto &Alternative) { act(Entry, Alternative); }, Action);
}

void dispatch_simulation::schedule(std::size_t Entry, request_number Request) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  const auto Found = Incarnation.Queue.find(Request);
  if (Found == Incarnation.Queue.end())
    return;
  const work_item Item = Found->second;
  Incarnation.Queue.erase(Found);
  if (chance(0.03)) {
    Incarnation.Dispatch->expire({Request, {failure_reason::DeadlineUnmeetable, seconds(1)}}, Now);
    return executeActions(Entry);
  }
  std::vector<backend_key> Choice;
  for (const fake_engine &Engine : Engines)
    if (std::count(Item.Avoid.begin(), Item.Avoid.end(), Engine.Key) == 0)
      Choice.push_back(Engine.Key);
  if (Choice.empty())
    Choice.push_back(Engines[0].Key);
  Incarnation.Dispatch->place({Request, Choice[Random.below(Choice.size())], 0, seconds(1)}, Now);
  executeActions(Entry);
}

void dispatch_simulation::submitTask(std::size_t Task) {
  const std::size_t Entry = Random.below(Entries.size());
  entry_incarnation &Incarnation = Entries.at(Entry);
  request_facts Facts;
  Facts.Id = request_number(Incarnation.NextRequest++);
  Facts.Account = client_account_name("acme-1");
  Facts.Idempotent = Tasks[Task].Idempotent;
  Facts.IdempotencyKey = Tasks[Task].Key;
  Facts.Arrived = Now;
  Facts.Deadline = Now + milliseconds(200 + Random.below(20'000));
  SubmissionOf[{Incarnation.Self, Facts.Id}] = {Task, Tasks[Task].Submissions.size()};
  Tasks[Task].Submissions.emplace_back();
  postEvent(Entry, request_arrived{Facts});
  if (chance(0.1))
    afterAtEntry(Entry, delay() * 20,
                 [this, Entry, Id = Facts.Id] { postEvent(Entry, caller_left{Id}); });
}

void dispatch_simulation::receiveOutcome(submission_index Submission,
                                         const finish_request &Finish) {
  submission_record &Record = Tasks[Submission.first].Submissions[Submission.second];
  if (++Record.FinalAnswerCount > 1)
    return addViolation("a request had two final answers");
  Record.FinalAnswer = Finish;
  const bool IsComplete = Finish.Outcome == final_outcome::Complete;
  if (IsComplete && Finish.Reason == failure_reason::None) {
    bool IsCorrect = Record.ReceivedParts.size() == AnswerParts;
    for (std::uint32_t Part = 0; IsCorrect && Part < AnswerParts; ++Part)
      IsCorrect = Record.ReceivedParts[Part].Part == Part &&
                  Record.ReceivedParts[Part].Attempt == Record.ReceivedParts[0].Attempt;
    if (!IsCorrect)
      addViolation("an incomplete answer was reported as complete");
  }
  if (IsComplete && Tasks[Submission.first].CompletedRuns == 0)
    addViolation("work that no engine finished was reported as complete");
  if (!IsComplete)
    maybeResubmit(Submission, Finish.Outcome == final_outcome::NotRun);
}

void dispatch_simulation::maybeResubmit(submission_index Submission, bool NotRun) {
  const caller_task &Task = Tasks[Submission.first];
  const bool MayResend = Task.Idempotent || !Task.Key.empty() || NotRun;
  if (MayResend && Task.Submissions.size() < 5 && Random.chance(0.8))
    after(delay() * 2, [this, Task = Submission.first] { submitTask(Task); });
}

void dispatch_simulation::executeAcquire(std::size_t Entry, const acquire_claim &Action,
                                         bool Answer) {
  // The requesting incarnation, even if it has ended: its message is still in flight.
  const process_key Owner = Entries.at(Entry).Self;
  const claim_acquire Command{{stableHash(Action.Key), 0}, {Owner, Action.Request}, unix_millis(1)};
  after(delay(), [this, Entry, Owner, Command, Answer] {
    const auto Status = Claims.execute(Command);
    if (!Answer || Entries.at(Entry).Self != Owner)
      return;
    postEvent(Entry, claim_answered{Command.Holder.Request,
                                    succeeded(Status) ? valueOf(Status) : StatusOnRefusal});
  });
}

void dispatch_simulation::act(std::size_t Entry, const acquire_claim &Action) {
  if (chance(0.05))
    postEvent(Entry, claim_answered{Action.Request, claim_status::Unavailable});
  if (!chance(0.1))
    executeAcquire(Entry, Action, !chance(0.1));
  if (chance(0.1))
    executeAcquire(Entry, Action, true);
}

void dispatch_simulation::act(std::size_t Entry, const settle_claim &Action) {
  const claim_settle Command{{stableHash(Action.Key), 0},
                             {Entries.at(Entry).Self, Action.Request},
                             Action.FinalState,
                             unix_millis(1)};
  if (chance(0.2)) // Lost: the same incarnation of the entry repeats it.
    return afterAtEntry(Entry, delay() * 4, [this, Entry, Action] { act(Entry, Action); });
  after(delay(), [this, Command] { Claims.execute(Command); });
  if (chance(0.1))
    after(delay() * 9, [this, Command] { Claims.execute(Command); });
}

void dispatch_simulation::act(std::size_t Entry, const finish_request &Action) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  afterAtEntry(Entry, milliseconds(1), [this, Self = Incarnation.Self, Action] {
    receiveOutcome(SubmissionOf.at({Self, Action.Request}), Action);
  });
}

void dispatch_simulation::checkAtEnd() {
  for (std::size_t Task = 0; Task < Tasks.size(); ++Task)
    checkTask(Task);
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
    checkEntry(Entry);
  for (const fake_engine &Engine : Engines)
    for (const auto &[Attempt, Parts] : Engine.Running)
      for (const entry_incarnation &Entry : Entries)
        if (Attempt.Owner == Entry.Self)
          addViolation("an engine kept the memory of " + toText(Attempt));
}

void dispatch_simulation::checkTask(std::size_t Index) {
  const caller_task &Task = Tasks[Index];
  if (!Task.Idempotent && !Task.Key.empty() && Task.Starts > 1)
    addViolation("non-idempotent work ran twice: work " + std::to_string(Index));
  std::uint32_t EarlierStarts = 0;
  for (const submission_record &Submission : Task.Submissions) {
    if (!Task.Idempotent && Submission.Starts > 1)
      addViolation("one submission of non-idempotent work ran twice: work " +
                   std::to_string(Index));
    const bool SaysNotRun =
        Submission.FinalAnswer && Submission.FinalAnswer->Outcome == final_outcome::NotRun;
    const bool SharesClaim = !Task.Idempotent && !Task.Key.empty();
    if (SaysNotRun && Submission.Starts + (SharesClaim ? EarlierStarts : 0) > 0)
      addViolation("'not run' was reported for work that ran: work " + std::to_string(Index));
    EarlierStarts += Submission.Starts;
  }
}

void dispatch_simulation::checkEntry(std::size_t Entry) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  const dispatch_dump Dump = Incarnation.Dispatch->dump(Now);
  Totals.Complete += Dump.Counters.Complete;
  Totals.NotRun += Dump.Counters.NotRun;
  Totals.Unknown += Dump.Counters.Unknown;
  Totals.Retries += Dump.Counters.Retries;
  Totals.Resumes += Dump.Counters.Resumes;
  Totals.Abandoned += Dump.Counters.Abandoned;
  if (!Dump.Requests.empty())
    addViolation("a request has no final answer");
  if (!Dump.Abandoned.empty())
    addViolation("an abandoned attempt did not end: " + toText(Dump.Abandoned[0].Attempt));
  if (Incarnation.Started != Incarnation.Ended)
    addViolation("an attempt's memory was never freed");
  for (const auto &[Request, Submission] : SubmissionOf)
    if (Request.first == Incarnation.Self &&
        Tasks[Submission.first].Submissions[Submission.second].FinalAnswerCount != 1)
      addViolation("a caller got no final answer");
}

} // namespace pollenstall

/** @file random_world.cpp The shuffled world: entries' lives, callers, the claims, and the checks.
 */
#include "random_world.h"

#include <algorithm>

namespace pollenstall {

using std::chrono::milliseconds;
using std::chrono::seconds;

random_world::random_world(std::uint64_t Seed) : Random(Seed) {
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine)
    Engines.at(Engine).Key = {backend_address(std::to_string(Engine)), incarnation(1)};
  birth(0);
  birth(1);
  Works.resize(12);
  for (std::size_t Work = 0; Work < Works.size(); ++Work) {
    Works[Work].Idempotent = Random.chance(0.3);
    Works[Work].Key = Random.chance(0.8) ? "key" + std::to_string(Work) : "";
    after(milliseconds(Random.below(20'000)), [this, Work] { callerSends(Work); });
  }
  for (std::uint64_t Trouble = Random.below(5); Trouble > 0; --Trouble)
    after(milliseconds(Random.below(30'000)),
          [this, Engine = Random.below(Engines.size())] { engineDies(Engine); });
  for (std::uint64_t Trouble = Random.below(4); Trouble > 0; --Trouble)
    after(milliseconds(Random.below(30'000)),
          [this, Entry = Random.below(Entries.size())] { death(Entry); });
  for (std::uint64_t Trouble = Random.below(4); Trouble > 0; --Trouble)
    after(milliseconds(Random.below(30'000)), [this] {
      const std::size_t Entry = Random.below(Entries.size());
      Entries.at(Entry).Dispatch->backendLost(Engines.at(Random.below(3)).Key, Now);
      pump(Entry);
    });
}

mono_duration random_world::delay() {
  const std::uint64_t Most = chance(0.05) ? 4'000 : 60;
  return milliseconds(1 + Random.below(Most));
}

void random_world::runUntilQuiet(mono_time End) {
  while (Now < End) {
    std::optional<mono_time> Next;
    if (!Agenda.empty())
      Next = Agenda.begin()->first;
    for (const entry_incarnation &Entry : Entries)
      if (const auto Wake = Entry.Dispatch->nextWake())
        Next = Next ? std::min(*Next, *Wake) : *Wake;
    if (!Next || *Next >= End)
      break;
    Now = std::max(Now, *Next);
    ++Steps;
    if (!Agenda.empty() && Agenda.begin()->first <= Now) {
      const action Do = std::move(Agenda.begin()->second);
      Agenda.erase(Agenda.begin());
      Do();
    }
    for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry) {
      Entries.at(Entry).Dispatch->advance(Now);
      pump(Entry);
    }
  }
  Now = End;
}

std::vector<std::string> random_world::run() {
  runUntilQuiet(Now + seconds(60));
  Chaos = false;
  runUntilQuiet(Now + seconds(400));
  checkAtEnd();
  return Violations;
}

void random_world::birth(std::size_t Entry) {
  entry_incarnation Incarnation;
  Incarnation.Self = {host_name("entry-" + std::to_string(Entry)), incarnation(++Incarnations)};
  limits_declaration Limits;
  Limits.RetryPercent = 100;
  auto Built = dispatcher_builder()
                   .process(Incarnation.Self)
                   .limits(Limits)
                   .seed(Random())
                   .seam(seam(Entry))
                   .build();
  Incarnation.Dispatch.emplace(valueOf(std::move(Built)));
  Incarnation.Dispatch->setReady(true);
  Incarnation.RingFree = Now;
  Entries.at(Entry) = std::move(Incarnation);
}

void random_world::death(std::size_t Entry) {
  const process_key Dead = Entries.at(Entry).Self;
  birth(Entry);
  for (const auto &[Request, Send] : SendOf)
    if (Request.first == Dead && !Works[Send.first].Sends[Send.second].End)
      after(delay(), [this, Send = Send] { callerGoesOn(Send, false); });
}

dispatch_seam random_world::seam(std::size_t Entry) {
  dispatch_seam Seam;
  Seam.Submit = [this, Entry](const work_item &Item, mono_time) -> result<done, work_refusal> {
    if (chance(0.02))
      return work_refusal{failure_reason::QueueFull, seconds(1)};
    Entries.at(Entry).Queue[Item.Request] = Item;
    afterAt(Entry, delay(), [this, Entry, Id = Item.Request] { schedule(Entry, Id); });
    return done{};
  };
  Seam.Withdraw = [this, Entry](request_number Id) { Entries.at(Entry).Queue.erase(Id); };
  Seam.GroupsFor = [](const request_facts &) {
    return std::vector<candidate_group>{{group_name("all"), 1}};
  };
  Seam.Resumes = [](const backend_key &Key) { return Key.Address.str() != "0"; };
  Seam.AttemptStarted = [this, Entry](const attempt_start &Start, mono_time) {
    if (!Entries.at(Entry).Started.insert(Start.Attempt).second)
      violate("an attempt started twice: " + toText(Start.Attempt));
  };
  Seam.AttemptEnded = [this, Entry](const attempt_ending &End, mono_time) {
    if (!Entries.at(Entry).Ended.insert(End.Attempt).second)
      violate("an attempt ended twice: " + toText(End.Attempt));
  };
  return Seam;
}

void random_world::afterAt(std::size_t Entry, mono_duration Delay, action Do) {
  after(Delay, [this, Entry, Self = Entries.at(Entry).Self, Do = std::move(Do)] {
    if (Entries.at(Entry).Self == Self)
      Do();
  });
}

void random_world::tell(std::size_t Entry, const dispatch_event &Event) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  Incarnation.RingFree = std::max(Incarnation.RingFree, Now + delay() / 4);
  afterAt(Entry, Incarnation.RingFree - Now, [this, Entry, Event] {
    Entries.at(Entry).Dispatch->handle(Event, Now);
    pump(Entry);
  });
  // The relay's ring itself doubles nothing; what comes from outside may be seen twice.
  if (!std::holds_alternative<request_arrived>(Event))
    Incarnation.Past.push_back(Event);
  if (!Incarnation.Past.empty() && chance(0.05))
    afterAt(Entry, delay() * 3, [this, Entry] {
      entry_incarnation &Still = Entries.at(Entry);
      Still.Dispatch->handle(Still.Past[Random.below(Still.Past.size())], Now);
      pump(Entry);
    });
}

void random_world::pump(std::size_t Entry) {
  for (const dispatch_action &Action : Entries.at(Entry).Dispatch->takeActions())
    std::visit([this, Entry](const auto &Known) { act(Entry, Known); }, Action);
}

void random_world::schedule(std::size_t Entry, request_number Request) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  const auto Found = Incarnation.Queue.find(Request);
  if (Found == Incarnation.Queue.end())
    return;
  const work_item Item = Found->second;
  Incarnation.Queue.erase(Found);
  if (chance(0.03)) {
    Incarnation.Dispatch->expire({Request, {failure_reason::DeadlineUnmeetable, seconds(1)}}, Now);
    return pump(Entry);
  }
  std::vector<backend_key> Choice;
  for (const fake_engine &Engine : Engines)
    if (std::count(Item.Avoid.begin(), Item.Avoid.end(), Engine.Key) == 0)
      Choice.push_back(Engine.Key);
  if (Choice.empty())
    Choice.push_back(Engines[0].Key);
  Incarnation.Dispatch->place({Request, Choice[Random.below(Choice.size())], 0, seconds(1)}, Now);
  pump(Entry);
}

void random_world::callerSends(std::size_t Work) {
  const std::size_t Entry = Random.below(Entries.size());
  entry_incarnation &Incarnation = Entries.at(Entry);
  request_facts Facts;
  Facts.Id = request_number(Incarnation.NextRequest++);
  Facts.Account = client_account_name("acme-1");
  Facts.Idempotent = Works[Work].Idempotent;
  Facts.IdempotencyKey = Works[Work].Key;
  Facts.Arrived = Now;
  Facts.Deadline = Now + milliseconds(200 + Random.below(20'000));
  SendOf[{Incarnation.Self, Facts.Id}] = {Work, Works[Work].Sends.size()};
  Works[Work].Sends.emplace_back();
  tell(Entry, request_arrived{Facts});
  if (chance(0.1))
    afterAt(Entry, delay() * 20, [this, Entry, Id = Facts.Id] { tell(Entry, caller_left{Id}); });
}

void random_world::callerHears(send_index Send, const finish_request &Finish) {
  send_record &Record = Works[Send.first].Sends[Send.second];
  if (++Record.Ends > 1)
    return violate("a request had two final answers");
  Record.End = Finish;
  const bool Whole = Finish.Outcome == final_outcome::Complete;
  if (Whole && Finish.Reason == failure_reason::None) {
    bool Right = Record.Got.size() == PartsOfAnswer;
    for (std::uint32_t Part = 0; Right && Part < PartsOfAnswer; ++Part)
      Right = Record.Got[Part].Part == Part && Record.Got[Part].Attempt == Record.Got[0].Attempt;
    if (!Right)
      violate("an answer passed as whole that is not");
  }
  if (Whole && Works[Send.first].Finished == 0)
    violate("work was called complete that no engine finished");
  if (!Whole)
    callerGoesOn(Send, Finish.Outcome == final_outcome::NotRun);
}

void random_world::callerGoesOn(send_index Send, bool NotRun) {
  const caller_work &Work = Works[Send.first];
  const bool MayResend = Work.Idempotent || !Work.Key.empty() || NotRun;
  if (MayResend && Work.Sends.size() < 5 && Random.chance(0.8))
    after(delay() * 2, [this, Work = Send.first] { callerSends(Work); });
}

void random_world::executeAcquire(std::size_t Entry, const acquire_claim &Action, bool Answer) {
  // The life that asked, even if it is dead by now: its message is still under way.
  const process_key Owner = Entries.at(Entry).Self;
  const claim_acquire Command{{stableHash(Action.Key), 0}, {Owner, Action.Request}, unix_millis(1)};
  after(delay(), [this, Entry, Owner, Command, Answer] {
    const auto Verdict = Claims.execute(Command);
    if (!Answer || Entries.at(Entry).Self != Owner)
      return;
    tell(Entry, claim_answered{Command.Holder.Request,
                               succeeded(Verdict) ? valueOf(Verdict) : VerdictOnRefusal});
  });
}

void random_world::act(std::size_t Entry, const acquire_claim &Action) {
  if (chance(0.05))
    tell(Entry, claim_answered{Action.Request, claim_verdict::Unavailable});
  if (!chance(0.1))
    executeAcquire(Entry, Action, !chance(0.1));
  if (chance(0.1))
    executeAcquire(Entry, Action, true);
}

void random_world::act(std::size_t Entry, const settle_claim &Action) {
  const claim_settle Command{{stableHash(Action.Key), 0},
                             {Entries.at(Entry).Self, Action.Request},
                             Action.Standing,
                             unix_millis(1)};
  if (chance(0.2)) // Lost: this life of the entry repeats it.
    return afterAt(Entry, delay() * 4, [this, Entry, Action] { act(Entry, Action); });
  after(delay(), [this, Command] { Claims.execute(Command); });
  if (chance(0.1))
    after(delay() * 9, [this, Command] { Claims.execute(Command); });
}

void random_world::act(std::size_t Entry, const finish_request &Action) {
  entry_incarnation &Incarnation = Entries.at(Entry);
  afterAt(Entry, milliseconds(1), [this, Self = Incarnation.Self, Action] {
    callerHears(SendOf.at({Self, Action.Request}), Action);
  });
}

void random_world::checkAtEnd() {
  for (std::size_t Work = 0; Work < Works.size(); ++Work)
    checkWork(Work);
  for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
    checkEntry(Entry);
  for (const fake_engine &Engine : Engines)
    for (const auto &[Attempt, Parts] : Engine.Running)
      for (const entry_incarnation &Entry : Entries)
        if (Attempt.Owner == Entry.Self)
          violate("an engine kept the memory of " + toText(Attempt));
}

void random_world::checkWork(std::size_t Index) {
  const caller_work &Work = Works[Index];
  if (!Work.Idempotent && !Work.Key.empty() && Work.Starts > 1)
    violate("non-idempotent work ran twice: work " + std::to_string(Index));
  std::uint32_t Earlier = 0;
  for (const send_record &Send : Work.Sends) {
    if (!Work.Idempotent && Send.Starts > 1)
      violate("one send of non-idempotent work ran twice: work " + std::to_string(Index));
    const bool SaysNotRun = Send.End && Send.End->Outcome == final_outcome::NotRun;
    const bool SameWork = !Work.Idempotent && !Work.Key.empty();
    if (SaysNotRun && Send.Starts + (SameWork ? Earlier : 0) > 0)
      violate("'not run' was said of work that ran: work " + std::to_string(Index));
    Earlier += Send.Starts;
  }
}

void random_world::checkEntry(std::size_t Entry) {
  const entry_incarnation &Incarnation = Entries.at(Entry);
  const dispatch_dump Dump = Incarnation.Dispatch->dump(Now);
  Totals.Complete += Dump.Counters.Complete;
  Totals.NotRun += Dump.Counters.NotRun;
  Totals.Unknown += Dump.Counters.Unknown;
  Totals.Retries += Dump.Counters.Retries;
  Totals.Resumes += Dump.Counters.Resumes;
  Totals.Abandoned += Dump.Counters.Abandoned;
  if (!Dump.Requests.empty())
    violate("a request has no final answer");
  if (!Dump.Abandoned.empty())
    violate("the ledger is not empty: " + toText(Dump.Abandoned[0].Attempt));
  if (Incarnation.Started != Incarnation.Ended)
    violate("an attempt's memory was never given back");
  for (const auto &[Request, Send] : SendOf)
    if (Request.first == Incarnation.Self && Works[Send.first].Sends[Send.second].Ends != 1)
      violate("a caller got no final answer");
}

} // namespace pollenstall

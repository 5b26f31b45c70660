/** @file scheduler_attempt.cpp Follows attempts, keeps the ledgers and learns from how they go. */
#include "scheduling/scheduler_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr double AnswerShareGain = 0.02;
/// An attempt is stalled after this many times its expected time to the first token, and more.
constexpr int StallFactor = 4;
constexpr mono_duration StallMargin = 3s;
/// Own attempts begun within this time before a report arrived are taken as not counted in it.
constexpr mono_duration ReportLag = 200ms;

bool blamesServer(attempt_failure Failure) {
  // A server that declines is full, not broken; it says so itself and its memory ledger shows it.
  return Failure != attempt_failure::Declined && Failure != attempt_failure::NotWanted;
}

memory_blocks blocksFor(double Tokens, const scheduled_backend &Record) {
  const std::int64_t PerBlock =
      std::max<std::int64_t>(1, Record.View.Announcement.BlockTokens.value());
  return memory_blocks(static_cast<std::int64_t>(Tokens) / PerBlock);
}

} // namespace

ticket_number scheduler::openTicket(const waiting_work &Work, const choice &Choice, mono_time Now) {
  const ticket_number Number = NextTicket++;
  scheduled_backend &Record = *Choice.Record;
  open_ticket Ticket;
  Ticket.Backend = Record.key();
  Ticket.Request = Work.Item.Request;
  Ticket.Account = Work.Item.Account;
  Ticket.Class = Work.Class;
  Ticket.Prompt = Work.Item.Prompt;
  Ticket.AnswerLimit = Work.Item.AnswerLimit;
  Ticket.Uncached = Choice.Estimate.Uncached;
  Ticket.CachedShare = Choice.Estimate.CachedShare;
  Ticket.Ahead = Choice.Estimate.Ahead;
  Ticket.Cost = Work.Cost;
  Ticket.Expected = std::chrono::duration_cast<mono_duration>(
      std::chrono::duration<double>(Choice.Estimate.FirstToken));
  Ticket.Placed = Now;
  Ticket.LastProgress = Now;
  Ticket.Deadline = Work.Item.Deadline;
  if (!Work.Item.Model.empty()) {
    Record.Memory.reserve(Number, Record.need(Work.Item));
    Record.Prefill.add(Number, Work.Class, Ticket.Uncached, Choice.Estimate.Yields, Now);
    Affinity.record(Work.Item.PrefixHashes, Record.key());
  }
  ++Record.Outstanding;
  Tickets.emplace(Number, std::move(Ticket));
  return Number;
}

void scheduler::closeTicket(std::map<ticket_number, open_ticket>::iterator Found) {
  const ticket_number Number = Found->first;
  const open_ticket &Ticket = Found->second;
  if (scheduled_backend *Record = Pool.find(Ticket.Backend)) {
    Record->Memory.release(Number);
    Record->Prefill.remove(Number);
    requireInvariant(Record->Outstanding > 0, "a server counts each of its attempts");
    --Record->Outstanding;
    Record->OwnInReport = std::min(Record->OwnInReport, Record->Outstanding);
  }
  if (Ticket.Attempt)
    ByAttempt.erase(*Ticket.Attempt);
  const auto Waiting = Unstarted.find(Ticket.Request);
  if (Waiting != Unstarted.end() && Waiting->second == Number)
    Unstarted.erase(Waiting);
  Tickets.erase(Found);
}

void scheduler::reportToLedgers(scheduled_backend &Record) {
  const backend_load &Load = Record.View.Load;
  const mono_time Seen = Record.View.LoadSeen;
  Record.OwnInReport = 0;
  for (const auto &[Number, Ticket] : Tickets) {
    if (Ticket.Backend != Record.key() || Ticket.Placed + ReportLag > Seen)
      continue;
    ++Record.OwnInReport;
    // Held blocks and pending prefill together cover a whole prompt from the moment it is there.
    Record.Memory.setHeld(Number, blocksFor(static_cast<double>(Ticket.Prompt.value()), Record));
  }
  const auto Waiting = static_cast<double>(Load.WaitingPrefill.value());
  Record.Prefill.report(Waiting, Seen);
  Record.Memory.report(Load.UsedBlocks, blocksFor(Waiting, Record));
}

void scheduler::attemptStarted(const attempt_id &Attempt, const work_item &Item,
                               const backend_key &Backend, mono_time Now) {
  const auto Placement = Unstarted.find(Item.Request);
  if (Placement != Unstarted.end()) {
    const ticket_number Number = Placement->second;
    open_ticket &Ticket = Tickets.at(Number);
    if (Ticket.Backend == Backend) {
      Ticket.Attempt = Attempt;
      ByAttempt[Attempt] = Number;
      Unstarted.erase(Placement);
      return;
    }
    closeTicket(Tickets.find(Number));
  }
  scheduled_backend *Record = Pool.find(Backend);
  if (Record == nullptr || ByAttempt.contains(Attempt))
    return;
  const waiting_work Work{Item, classOf(Item), group_name(), costOf(Item), Item.Deadline};
  const std::optional<cached_prefix> Cached = Affinity.find(Item.PrefixHashes);
  const ticket_number Number =
      openTicket(Work, {Record, estimate(*Record, Work, Cached, false, Now)}, Now);
  Tickets.at(Number).Attempt = Attempt;
  ByAttempt[Attempt] = Number;
}

void scheduler::attemptAnswering(const attempt_id &Attempt, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found == ByAttempt.end())
    return;
  open_ticket &Ticket = Tickets.at(Found->second);
  scheduled_backend *Record = Pool.find(Ticket.Backend);
  if (Ticket.Answered || Record == nullptr)
    return;
  Ticket.Answered = true;
  Ticket.LastProgress = Now;
  Record->LastProgress = Now;
  Record->Prefill.remove(Found->second);
  if (Ticket.Uncached > 0)
    Record->Costs.observePrefill(Ticket.Uncached + Ticket.Ahead, Now - Ticket.Placed);
}

void scheduler::attemptAdvanced(const attempt_id &Attempt, std::uint64_t Events, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found == ByAttempt.end())
    return;
  open_ticket &Ticket = Tickets.at(Found->second);
  scheduled_backend *Record = Pool.find(Ticket.Backend);
  if (Record == nullptr)
    return;
  if (Ticket.Answered && Events > 0) {
    const mono_duration Took = Now - Ticket.LastProgress;
    Record->Costs.observeSteps(Events, Took);
    // Beside a long prompt the pace is a chunk a token whatever else runs there.
    if (Record->Prefill.longs(Now, Record->Costs.prefillRate()) == 0)
      Concurrency.observe(std::chrono::duration<double>(Took).count() /
                          static_cast<double>(Events));
  }
  Ticket.LastProgress = Now;
  Record->LastProgress = Now;
}

void scheduler::learnFromEnd(const open_ticket &Ticket, const attempt_report &End) {
  if (!End.Completed)
    return;
  const auto Prompt = static_cast<double>(Ticket.Prompt.value());
  if (End.AnswerTokens && Ticket.AnswerLimit.value() > 0) {
    const auto Limit = static_cast<double>(Ticket.AnswerLimit.value());
    const double Share =
        std::clamp(static_cast<double>(End.AnswerTokens->value()) / Limit, 0.0, 1.0);
    AnswerShare += AnswerShareGain * (Share - AnswerShare);
  }
  if (!End.CachedTokens || Prompt <= 0)
    return;
  const double FoundShare = static_cast<double>(End.CachedTokens->value()) / Prompt;
  Affinity.learn(Ticket.CachedShare, FoundShare);
  Queue.correct(Ticket.Account, -FoundShare * Prompt / Pool.typicalRate());
}

void scheduler::attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found == ByAttempt.end())
    return;
  const auto Entry = Tickets.find(Found->second);
  open_ticket &Ticket = Entry->second;
  if (End.Completed && !Ticket.Blamed)
    Pool.ejections().observe(Ticket.Backend, false, Now);
  else if (End.Failure && blamesServer(*End.Failure))
    blame(Ticket, Now);
  learnFromEnd(Ticket, End);
  closeTicket(Entry);
  NextWake = Now;
}

void scheduler::attemptBroken(const attempt_id &Attempt, attempt_failure Failure, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found != ByAttempt.end() && blamesServer(Failure))
    blame(Tickets.at(Found->second), Now);
}

void scheduler::blame(open_ticket &Ticket, mono_time Now) {
  if (Ticket.Blamed)
    return;
  Ticket.Blamed = true;
  Pool.ejections().observe(Ticket.Backend, true, Now);
}

void scheduler::blameStalled(mono_time Now) {
  // An engine that hangs ends no attempt, so it would never show a failure: the callers' time
  // would run out one by one while it still looks the least loaded.
  for (auto &[Number, Ticket] : Tickets) {
    const scheduled_backend *Record = Pool.find(Ticket.Backend);
    if (Ticket.Answered || !Ticket.Attempt || Record == nullptr)
      continue;
    const bool Overdue = Now - Ticket.Placed > Ticket.Expected * StallFactor + StallMargin;
    if (Overdue && Now - Record->LastProgress > StallMargin)
      blame(Ticket, Now);
  }
}

} // namespace pollenstall

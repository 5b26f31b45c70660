/** @file scheduler_attempt.cpp Handles attempt events, updates the trackers and learns from them.
 */
#include "scheduling/scheduler_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr double AnswerShareGain = 0.02;
/// An attempt is stalled after StallFactor times its expected time to the first token, plus
/// StallMargin.
constexpr int StallFactor = 4;
constexpr mono_duration StallMargin = 3s;
/// A report is assumed not to include own attempts placed less than this before it arrived.
constexpr mono_duration ReportLag = 200ms;

bool isServerFault(attempt_failure Failure) {
  // A server that declines is full and not faulty; its memory tracker shows that too.
  return Failure != attempt_failure::Declined && Failure != attempt_failure::NotWanted &&
         Failure != attempt_failure::PathBroken;
}

memory_blocks blocksFor(double Tokens, const scheduled_backend &Record) {
  const std::int64_t PerBlock =
      std::max<std::int64_t>(1, Record.View.Announcement.BlockTokens.value());
  return memory_blocks(static_cast<std::int64_t>(Tokens) / PerBlock);
}

} // namespace

placement_id scheduler::openPlacement(const waiting_work &Work, const server_choice &Choice,
                                      mono_time Now) {
  const placement_id PlacementId = NextPlacementId++;
  scheduled_backend &Record = *Choice.Record;
  open_placement Placement;
  Placement.Backend = Record.key();
  Placement.Request = Work.Item.Request;
  Placement.Account = Work.Item.Account;
  Placement.Class = Work.Class;
  Placement.Prompt = Work.Item.Prompt;
  Placement.AnswerLimit = Work.Item.AnswerLimit;
  Placement.Uncached = Choice.Estimate.Uncached;
  Placement.CachedShare = Choice.Estimate.CachedShare;
  Placement.TokensAhead = Choice.Estimate.TokensAhead;
  Placement.Cost = Work.Cost;
  Placement.Expected = std::chrono::duration_cast<mono_duration>(
      std::chrono::duration<double>(Choice.Estimate.FirstToken));
  Placement.Placed = Now;
  Placement.LastProgress = Now;
  Placement.Deadline = Work.Item.Deadline;
  if (!Work.Item.Model.empty()) {
    Record.Memory.reserve(PlacementId, Record.blocksNeeded(Work.Item));
    Record.Prefill.add(PlacementId, Work.Class, Placement.Uncached, Choice.Estimate.Deprioritized,
                       Now);
    Affinity.record(Work.Item.PrefixHashes, Record.key());
  }
  ++Record.Outstanding;
  OpenPlacements.emplace(PlacementId, std::move(Placement));
  return PlacementId;
}

void scheduler::closePlacement(std::map<placement_id, open_placement>::iterator Found) {
  const placement_id PlacementId = Found->first;
  const open_placement &Placement = Found->second;
  if (scheduled_backend *Record = Pool.find(Placement.Backend)) {
    Record->Memory.release(PlacementId);
    Record->Prefill.remove(PlacementId);
    requireInvariant(Record->Outstanding > 0,
                     "the outstanding count of a server covers its attempts");
    --Record->Outstanding;
    Record->OwnAttemptsInReport = std::min(Record->OwnAttemptsInReport, Record->Outstanding);
  }
  if (Placement.Attempt)
    ByAttempt.erase(*Placement.Attempt);
  const auto FoundUnstarted = Unstarted.find(Placement.Request);
  if (FoundUnstarted != Unstarted.end() && FoundUnstarted->second == PlacementId)
    Unstarted.erase(FoundUnstarted);
  OpenPlacements.erase(Found);
}

void scheduler::updateTrackers(scheduled_backend &Record) {
  const backend_load &Load = Record.View.Load;
  const mono_time ReportReceivedAt = Record.View.LoadReportedAt;
  Record.OwnAttemptsInReport = 0;
  for (const auto &[PlacementId, Placement] : OpenPlacements) {
    if (Placement.Backend != Record.key() || Placement.Placed + ReportLag > ReportReceivedAt)
      continue;
    ++Record.OwnAttemptsInReport;
    // As soon as an engine has a prompt, its used blocks and pending prefill together cover it.
    Record.Memory.setHeldBlocks(PlacementId,
                                blocksFor(static_cast<double>(Placement.Prompt.value()), Record));
  }
  const auto WaitingTokens = static_cast<double>(Load.WaitingPrefill.value());
  Record.Prefill.applyReport(WaitingTokens, ReportReceivedAt);
  Record.Memory.applyReport(Load.UsedBlocks, blocksFor(WaitingTokens, Record));
}

void scheduler::attemptStarted(const attempt_id &Attempt, const work_item &Item,
                               const backend_key &Backend, mono_time Now) {
  const auto UnstartedEntry = Unstarted.find(Item.Request);
  if (UnstartedEntry != Unstarted.end()) {
    const placement_id PlacementId = UnstartedEntry->second;
    open_placement &Placement = OpenPlacements.at(PlacementId);
    if (Placement.Backend == Backend) {
      Placement.Attempt = Attempt;
      ByAttempt[Attempt] = PlacementId;
      Unstarted.erase(UnstartedEntry);
      return;
    }
    closePlacement(OpenPlacements.find(PlacementId));
  }
  scheduled_backend *Record = Pool.find(Backend);
  if (Record == nullptr || ByAttempt.contains(Attempt))
    return;
  const waiting_work Work{Item, classOf(Item), group_name(), costOf(Item), Item.Deadline};
  const std::optional<cached_prefix> Cached = Affinity.find(Item.PrefixHashes);
  const placement_id PlacementId =
      openPlacement(Work, {Record, estimate(*Record, Work, Cached, false, Now)}, Now);
  OpenPlacements.at(PlacementId).Attempt = Attempt;
  ByAttempt[Attempt] = PlacementId;
}

void scheduler::attemptAnswering(const attempt_id &Attempt, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found == ByAttempt.end())
    return;
  open_placement &Placement = OpenPlacements.at(Found->second);
  scheduled_backend *Record = Pool.find(Placement.Backend);
  if (Placement.Answered || Record == nullptr)
    return;
  Placement.Answered = true;
  Placement.LastProgress = Now;
  Record->LastProgress = Now;
  Record->Prefill.remove(Found->second);
  if (Placement.Uncached > 0)
    Record->Costs.observePrefill(Placement.Uncached + Placement.TokensAhead,
                                 Now - Placement.Placed);
}

void scheduler::attemptProgressed(const attempt_id &Attempt, std::uint64_t Events, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found == ByAttempt.end())
    return;
  open_placement &Placement = OpenPlacements.at(Found->second);
  scheduled_backend *Record = Pool.find(Placement.Backend);
  if (Record == nullptr)
    return;
  if (Placement.Answered && Events > 0) {
    const mono_duration Elapsed = Now - Placement.LastProgress;
    Record->Costs.observeSteps(Events, Elapsed);
    // During the prefill of a long prompt the pace is one token per chunk, regardless of the number
    // of requests.
    if (Record->Prefill.longPromptCount(Now, Record->Costs.prefillRate()) == 0)
      Concurrency.observePace(std::chrono::duration<double>(Elapsed).count() /
                              static_cast<double>(Events));
  }
  Placement.LastProgress = Now;
  Record->LastProgress = Now;
}

void scheduler::learnFromReport(const open_placement &Placement, const attempt_report &End) {
  if (!End.Completed)
    return;
  const auto Prompt = static_cast<double>(Placement.Prompt.value());
  if (End.AnswerTokens && Placement.AnswerLimit.value() > 0) {
    const auto Limit = static_cast<double>(Placement.AnswerLimit.value());
    const double UsedShare =
        std::clamp(static_cast<double>(End.AnswerTokens->value()) / Limit, 0.0, 1.0);
    AnswerShare += AnswerShareGain * (UsedShare - AnswerShare);
  }
  if (!End.CachedTokens || Prompt <= 0)
    return;
  const double FoundShare = static_cast<double>(End.CachedTokens->value()) / Prompt;
  Affinity.observeHit(Placement.CachedShare, FoundShare);
  Queue.adjustCharge(Placement.Account, -FoundShare * Prompt / Pool.typicalRate());
}

void scheduler::attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found == ByAttempt.end())
    return;
  const auto Entry = OpenPlacements.find(Found->second);
  open_placement &Placement = Entry->second;
  if (End.Completed && !Placement.FailureRecorded)
    Pool.outlierDetector().observe(Placement.Backend, false, Now);
  else if (End.Failure && isServerFault(*End.Failure))
    recordServerFailure(Placement, Now);
  learnFromReport(Placement, End);
  closePlacement(Entry);
  NextWake = Now;
}

void scheduler::attemptFailed(const attempt_id &Attempt, attempt_failure Failure, mono_time Now) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found != ByAttempt.end() && isServerFault(Failure))
    recordServerFailure(OpenPlacements.at(Found->second), Now);
}

void scheduler::recordServerFailure(open_placement &Placement, mono_time Now) {
  if (Placement.FailureRecorded)
    return;
  Placement.FailureRecorded = true;
  Pool.outlierDetector().observe(Placement.Backend, true, Now);
}

void scheduler::recordStalledAttempts(mono_time Now) {
  // A hanging engine ends no attempt and so reports no failure. It would keep looking like the
  // least loaded one while its callers' requests time out one by one.
  for (auto &[PlacementId, Placement] : OpenPlacements) {
    const scheduled_backend *Record = Pool.find(Placement.Backend);
    if (Placement.Answered || !Placement.Attempt || Record == nullptr)
      continue;
    const bool Overdue = Now - Placement.Placed > Placement.Expected * StallFactor + StallMargin;
    if (Overdue && Now - Record->LastProgress > StallMargin)
      recordServerFailure(Placement, Now);
  }
}

} // namespace pollenstall

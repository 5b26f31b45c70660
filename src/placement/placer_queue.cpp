/** @file placer_queue.cpp Order of waiting work over all entries, while slots are scarce. */
#include "placement/millis_func.h"
#include "placement/pass_model_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace pollenstall {

namespace {

/// A caller with less than this part of its route's time limit left has called before.
constexpr double ReturningFraction = 0.85;
/// Part of an engine's memory that is in use while its slots are scarce, for the length of a pass.
constexpr double ScarceMemoryFraction = 0.6;
constexpr double MsPerSecond = 1e3;

/// Slots that become free in the time until other entries know of a placement, times this, are
/// taken by others without this entry knowing: what is seen as free was free one delay ago, and
/// what is taken now is seen one delay later. Share of short requests in time in
/// examples/contended.load.toml: 0.67 without, 0.71 with 1 and with 2.
constexpr double UnseenRoundTrip = 2;
/// Slots count as scarce while the free ones suffice for the arrivals of this many delays only.
/// Otherwise half of the placements met others at the last slots, before any entry knew that
/// requests wait.
constexpr double ScarceRoundTrips = 4;

std::uint64_t serviceHash(const service_name &Service) { return stableHash(Service.str()); }

double secondsOf(mono_duration Duration) { return std::chrono::duration<double>(Duration).count(); }

/// Returns the milliseconds since the caller's first attempt, as far as its time limit shows.
double callerAgeMs(const work_item &Item, mono_time Now) {
  const double KnownMs = millisUntil(Now, Item.Arrived);
  if (Item.TimeLimit.count() <= 0)
    return KnownMs;
  return std::max(KnownMs,
                  static_cast<double>(Item.TimeLimit.count()) - millisUntil(Item.Deadline, Now));
}

} // namespace

placer::slot_supply *placer::supplyOf(const waiting_work &Work) {
  const auto Supply = Supplies.find(Work.Service);
  return Supply == Supplies.end() ? nullptr : &Supply->second;
}

const placer::slot_supply *placer::scarceSupplyOf(const waiting_work &Work) const {
  const auto Supply = Supplies.find(Work.Service);
  return Supply == Supplies.end() || !Supply->second.Scarce ? nullptr : &Supply->second;
}

/// Returns whether the work needs a slot of one engine, rather than several engines to prefill it.
bool placer::waitsForSlot(const waiting_work &Work) const {
  const auto Service = Services.find(Work.Service);
  if (Service == Services.end() || !Service->second.Engine)
    return false;
  const engine_profile &Figures = *Service->second.Engine;
  return prefillMs(Figures, Work.Item.Prompt) <= Tuning.MaxSinglePrefillMs &&
         memoryOf(Work.Item) <= static_cast<double>(Figures.Memory.value()) * Tuning.MemoryFraction;
}

void placer::recordArrival(waiting_work &Work, mono_time Now) {
  const auto Service = Services.find(Work.Service);
  if (!Service->second.Engine)
    return;
  const engine_profile &Figures = *Service->second.Engine;
  // Parts of an engine's slots, memory and prefill time; the scarcest one counts.
  const double Cost = std::max(
      {1.0 / std::max(1U, Figures.BatchSlots),
       memoryOf(Work.Item) / static_cast<double>(std::max<std::int64_t>(1, Figures.Memory.value())),
       prefillMs(Figures, Work.Item.Prompt) / MsPerSecond});
  Work.OverShare = !Shares.record(Work.Item.Account, Cost, Now);
  if (waitsForSlot(Work))
    Arrivals.add(1, Now);
}

queue_rank placer::rankOfWork(const waiting_work &Work, mono_time Now) const {
  const work_item &Item = Work.Item;
  const engine_profile &Figures = *Services.at(Work.Service).Engine;
  waiting_request Request;
  Request.Resumed = Item.Resumed;
  Request.OverShare = Work.OverShare;
  Request.Urgency = Item.Urgency;
  Request.WaitedMs = millisUntil(Now, Work.WaitingSince);
  Request.Returning = Item.TimeLimit.count() > 0 &&
                      millisUntil(Item.Deadline, Work.WaitingSince) <
                          static_cast<double>(Item.TimeLimit.count()) * ReturningFraction;
  const bool HasTarget = Item.Target.count() > 0;
  const double RemainingMs = HasTarget
                                 ? static_cast<double>(Item.Target.count()) - callerAgeMs(Item, Now)
                                 : millisUntil(Item.Deadline, Now);
  if (!waitsForSlot(Work)) {
    Request.SlackMs = RemainingMs;
    return rankOf(Request);
  }
  const double FirstEventMs =
      passMs(Figures, Figures.BatchSlots,
             static_cast<double>(Figures.Memory.value()) * ScarceMemoryFraction) +
      prefillMs(Figures, Item.Prompt);
  Request.SlackMs = RemainingMs * Tuning.ScarceTargetFraction - FirstEventMs;
  return rankOf(Request);
}

/// Returns whether the work counts as late because it could not meet its target any more.
bool placer::missesTarget(const waiting_work &Work, mono_time Now) const {
  return scarceSupplyOf(Work) && waitsForSlot(Work) && isLateClass(rankOfWork(Work, Now).Class);
}

std::vector<waiting_load> placer::ownWaiting(mono_time Now) const {
  if (!Tuning.OrderOverEntries)
    return {};
  std::map<service_name, waiting_load> Loads;
  for (const auto &[Request, Work] : Waiting) {
    if (!waitsForSlot(Work))
      continue;
    waiting_load &Load = Loads[Work.Service];
    std::uint16_t &Count = Load.Counts[rankOfWork(Work, Now).Class];
    Count = static_cast<std::uint16_t>(std::min(Count + 1, 0xffff));
  }
  std::vector<waiting_load> Result;
  for (auto &[Service, Load] : Loads) {
    Load.Service = serviceHash(Service);
    Load.ArrivalUnits = static_cast<std::uint32_t>(
        Arrivals.expectedRequests(std::chrono::seconds(1), Now) * ArrivalUnitsPerSecond);
    Result.push_back(Load);
  }
  return Result;
}

/// Counts the free slots and the waiting requests of each service for which work waits here.
void placer::surveySlots(mono_time Now) {
  Supplies.clear();
  std::erase_if(FreedSlots, [&](const freed_slot &Slot) {
    return Now - Slot.Time > Exchange.PropagationDelay;
  });
  std::map<service_name, double> OwnCounts;
  // A declaration may have removed the service of waiting work.
  for (const auto &[Request, Work] : Waiting)
    if (const auto Service = Services.find(Work.Service);
        Service != Services.end() && Service->second.Engine)
      OwnCounts[Work.Service] += waitsForSlot(Work) ? 1 : 0;
  for (const auto &[Service, OwnCount] : OwnCounts) {
    slot_supply &Supply = Supplies[Service];
    const std::uint32_t Slots = Services.at(Service).Engine->BatchSlots;
    double InUse = 0;
    for (const auto &[Key, Engine] : Engines) {
      if (Engine.service() != Service || !Engine.active())
        continue;
      const std::uint32_t Requests = std::min(AllWork[Key].Requests, Slots);
      InUse += Requests;
      Supply.FreeSlots.push_back(Slots - Requests);
      Supply.Free += Slots - Requests;
    }
    Supply.Others = OthersWaiting.of(serviceHash(Service), Now);
    Supply.FreedPerSecond = Turnover.freedPerSecond(InUse);
    Supply.ArrivalsPerSecond = Arrivals.expectedRequests(std::chrono::seconds(1), Now) +
                               Supply.Others.ArrivalUnits / ArrivalUnitsPerSecond;
    const double WaitingCount = OwnCount + waitingTotal(Supply.Others);
    const double ExpectedCount =
        Supply.ArrivalsPerSecond * secondsOf(Exchange.PropagationDelay) * ScarceRoundTrips;
    Supply.Scarce =
        Tuning.OrderOverEntries && OwnCount > 0 && WaitingCount + ExpectedCount > Supply.Free;
    if (Tuning.OrderOverEntries) {
      const double Unseen = Rate.expectedRequests(Exchange.PropagationDelay, Now);
      const double UnseenPerEngine = Unseen / static_cast<double>(packedChoiceCount(Now));
      Supply.Spare =
          spareSlots(Supply.FreeSlots, WaitingCount + Unseen, unseenSlots(UnseenPerEngine));
    }
  }
}

/**
 * Returns how many slots of an engine stay free of this work. Without an order over entries that is
 * SpareSlots, until the work has waited for SpareWaitFraction of its target: while slots are
 * scarce, the last ones are sooner than a slot that every entry sees as free, and an engine queues
 * what it has no slot for.
 */
std::uint32_t placer::spareSlotsFor(const waiting_work &Work, mono_time Now) const {
  const auto Supply = Supplies.find(Work.Service);
  if (Supply == Supplies.end())
    return 0;
  if (Tuning.OrderOverEntries)
    return Supply->second.Spare;
  const double MaxWaitMs = static_cast<double>(Work.Item.Target.count()) * Tuning.SpareWaitFraction;
  const bool HasWaited = MaxWaitMs > 0 && millisUntil(Now, Work.WaitingSince) >= MaxWaitMs;
  return HasWaited ? 0 : Tuning.SpareSlots;
}

/**
 * Returns whether the work may take a slot: fewer requests of the fleet go before it than slots are
 * free. Slots that requests of this entry have just left are unknown to other entries, which could
 * only take them after a delay, so that they go to work that is among the next of the fleet.
 */
bool placer::mayTakeSlot(const waiting_work &Work, slot_origin Origin, mono_time Now) {
  const slot_supply *Supply = scarceSupplyOf(Work);
  if (!Supply || !waitsForSlot(Work) || Work.Item.Resumed)
    return true;
  const queue_rank Rank = rankOfWork(Work, Now);
  const bool IsLate = isLateClass(Rank.Class);
  const double Delay = secondsOf(Exchange.PropagationDelay);
  const double Ahead = requestsAhead(Supply->Others, Rank) + Supply->OwnAhead;
  const double Unseen = Supply->FreedPerSecond * Delay * UnseenRoundTrip;
  const double Room = Supply->Free - Unseen - (IsLate ? Supply->ArrivalsPerSecond * Delay : 0);
  if (Ahead < Room || (IsLate && LateCredit >= 1 && Supply->Free > 0))
    return true;
  return Origin == slot_origin::Freed && !FreedSlots.empty() && Ahead < Room + Unseen * 2;
}

std::optional<placer::prefill_plan>
placer::chooseScarceSlot(const std::vector<prefill_candidate> &Candidates, const waiting_work &Work,
                         double PromptMs, double RemainingMs, mono_time Now) {
  const std::uint32_t Slots = Services.at(Work.Service).Engine->BatchSlots;
  const auto Plan = [PromptMs](const prefill_candidate &Candidate) {
    return prefill_plan{{Candidate.Option}, PromptMs, Candidate.StartMs + PromptMs};
  };
  const auto IsSuitable = [&](const prefill_candidate &Candidate) {
    return Candidate.CanAnswer && PromptMs <= Candidate.MaxPartMs &&
           Candidate.StartMs + PromptMs <= RemainingMs * Tuning.ScarceTargetFraction;
  };
  double SuitableSlots = 0;
  for (const prefill_candidate &Candidate : Candidates) {
    if (!IsSuitable(Candidate))
      continue;
    SuitableSlots += Slots - Candidate.Option.View.Requests;
    for (const freed_slot &Slot : FreedSlots)
      if (Slot.Backend == Candidate.Option.Engine->key())
        return Plan(Candidate);
  }
  if (SuitableSlots <= 0 || !mayTakeSlot(Work, slot_origin::Any, Now))
    return std::nullopt;
  // Drawn at random, since positions in the order that entries derive from delayed counts coincide
  // more often.
  double Remaining = Random.uniform() * SuitableSlots;
  for (const prefill_candidate &Candidate : Candidates) {
    if (!IsSuitable(Candidate))
      continue;
    Remaining -= Slots - Candidate.Option.View.Requests;
    if (Remaining < 0)
      return Plan(Candidate);
  }
  return std::nullopt;
}

void placer::recordSlotTaken(const waiting_work &Work, const prefill_plan &Plan, mono_time Now) {
  slot_supply *Supply = supplyOf(Work);
  if (!Supply || !Supply->Scarce)
    return;
  Supply->Free -= Supply->Free > 0 ? 1 : 0;
  const backend_key &Key = Plan.PrefillEngines.front().Engine->key();
  const auto Freed = std::find_if(FreedSlots.begin(), FreedSlots.end(),
                                  [&Key](const freed_slot &Slot) { return Slot.Backend == Key; });
  if (Freed != FreedSlots.end())
    FreedSlots.erase(Freed);
  if (!waitsForSlot(Work))
    return;
  if (isLateClass(rankOfWork(Work, Now).Class))
    LateCredit = std::max(0.0, LateCredit - 1);
  else
    LateCredit = std::min(1.0, LateCredit + Tuning.LateShare);
}

void placer::recordSlotFreed(const assigned_work &Work, bool Completed, mono_time Now) {
  if (Completed)
    Turnover.record(millisUntil(Now, Work.SentTime));
  FreedSlots.push_back({Work.Parts.front().Backend, Now});
}

/// Returns the state of the slots as of the last poll, as a member of a JSON object.
std::string placer::slotsText() const {
  std::ostringstream Out;
  Out << R"("slots":[)";
  const char *Comma = "";
  for (const auto &[Service, Supply] : Supplies) {
    Out << Comma << R"({"service":")" << Service.str() << R"(","free":)" << Supply.Free
        << R"(,"waiting_elsewhere":)" << waitingTotal(Supply.Others) << R"(,"scarce":)"
        << (Supply.Scarce ? "true" : "false") << R"(,"kept_free":)" << Supply.Spare << '}';
    Comma = ",";
  }
  Out << ']';
  return Out.str();
}

/// Records that work stays in the queue, ahead of what follows in the order.
void placer::passOver(const waiting_work &Work, mono_time Now, poll_outcome &Outcome) {
  slot_supply *Supply = supplyOf(Work);
  if (!Supply || !Supply->Scarce || !waitsForSlot(Work))
    return;
  const double Ahead = requestsAhead(Supply->Others, rankOfWork(Work, Now)) + Supply->OwnAhead;
  Supply->OwnAhead += 1;
  if (Tuning.RefuseHopeless && !Work.Item.Resumed && isLateClass(rankOfWork(Work, Now).Class))
    refuseIfHopeless(Work, Ahead, Now, Outcome);
}

/**
 * Refuses late work at once if its caller would leave before it could start. The caller is told
 * when the estimate says that there is room.
 */
void placer::refuseIfHopeless(const waiting_work &Work, double Ahead, mono_time Now,
                              poll_outcome &Outcome) {
  const slot_supply &Supply = *supplyOf(Work);
  const work_item &Item = Work.Item;
  const std::optional<double> DelayMs = startDelayMs(
      {Ahead, std::max(0.0, Supply.Free), Supply.FreedPerSecond, Supply.ArrivalsPerSecond});
  const double RemainingMs = millisUntil(Item.Deadline, Now);
  const double PatienceMs =
      Item.Patience.count() > 0 ? millisUntil(Work.WaitingSince + Item.Patience, Now) : RemainingMs;
  if (!DelayMs || *DelayMs <= std::min(PatienceMs, RemainingMs))
    return;
  const double ReturnMs = returnDelayMs(*DelayMs, RemainingMs, Random.uniform());
  // The header has whole seconds; rounding at random keeps the returns spread.
  const auto Seconds = std::chrono::seconds(
      static_cast<std::int64_t>(std::floor(ReturnMs / MsPerSecond + Random.uniform())));
  Outcome.Expiries.push_back(
      {Item.Request, {failure_reason::QueueFull, std::max(Seconds, std::chrono::seconds(1))}});
  Waiting.erase(Item.Request);
}

} // namespace pollenstall

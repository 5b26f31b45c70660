/** @file placer.cpp Queue, polls and claims of the placer. */
#include "placement/placer_base.h"

#include "placement/millis_func.h"
#include "placement/pass_model_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::chrono::seconds MinRetryAfter{1};
/// A caller does not retry after more than this part of its remaining time.
constexpr double MaxRetryFraction = 1.0 / 3;
/// Maximum number of waiting requests to try per poll, which bounds its duration under overload.
constexpr std::size_t MaxTriesPerPoll = 64;

} // namespace

placer::placer(const host_name &Host, std::uint64_t Seed, const placement_tuning &InitialTuning)
    : ClaimRank(claimRankOf(Host)), Random(combineHashes(Seed, stableHash(Host.str()))),
      Tuning(InitialTuning), Cold(InitialTuning.UnknownColdTime), Rate(InitialTuning.RateWindow),
      OthersWaiting(InitialTuning.PeerLoadTimeout), Arrivals(InitialTuning.RateWindow) {}

void placer::applyDeclaration(const fleet_declaration &Declaration) {
  for (const service_declaration &Service : Declaration.Services)
    if (const auto Known = Services.find(Service.Name);
        Known != Services.end() && Known->second.ColdPerSecond <= 0 && Service.ColdPerSecond > 0)
      NewlyBounded.insert(Service.Name);
  Services.clear();
  for (const service_declaration &Service : Declaration.Services)
    Services.emplace(Service.Name, Service);
  ColdChanged = true;
  Shares.clearShares();
  for (const account_declaration &Account : Declaration.Accounts)
    Shares.setShare(Account.Name, Account.Share);
}

void placer::updateBackend(const backend_listing &Listing) {
  const auto [Existing, IsNew] = Engines.try_emplace(Listing.Key, Listing);
  if (!IsNew)
    Existing->second.update(Listing);
  Existing->second.setEvacuated(Evacuations.isOut(Listing.Domain));
  EnginesByIncarnation[Listing.Key.Incarnation] = &Existing->second;
  EnginesByNews[newsKeyOf(Listing.Key.Incarnation)] = Listing.Key;
}

void placer::removeBackend(const backend_key &Backend) {
  const auto Existing = Engines.find(Backend);
  if (Existing == Engines.end())
    return;
  const auto ByIncarnation = EnginesByIncarnation.find(Backend.Incarnation);
  if (ByIncarnation != EnginesByIncarnation.end() && ByIncarnation->second == &Existing->second)
    EnginesByIncarnation.erase(ByIncarnation);
  Cold.remove(Backend.Incarnation);
  EnginesByNews.erase(newsKeyOf(Backend.Incarnation));
  Engines.erase(Existing);
}

void placer::updateOthersLoads(const std::vector<work_load> &Loads, mono_time Now) {
  for (const work_load &Load : Loads) {
    const auto Found = EnginesByIncarnation.find(Load.Incarnation);
    if (Found == EnginesByIncarnation.end()) {
      receiveSpeedNews(Load, Now);
      continue;
    }
    // Only the increase of the count is visible: each request that ended since the last report
    // cancels out a new one, so the rate is slightly too low under load.
    const std::uint32_t PreviousRequests =
        Found->second->othersLoad(Now, Tuning.PeerLoadTimeout).Requests;
    if (Load.Requests > PreviousRequests)
      Rate.add(Load.Requests - PreviousRequests, Now);
    Found->second->setOthersLoad(Load, Now);
  }
}

double placer::memoryOf(const work_item &Item) const {
  const tokens Answer = Item.AnswerHint.value() > 0 ? Item.AnswerHint : Item.AnswerLimit;
  return static_cast<double>((Item.Prompt + Answer).value());
}

std::optional<service_name> placer::pickService(const work_item &Item) {
  std::uint64_t Total = 0;
  for (const candidate_group &Candidate : Item.Groups)
    Total += Candidate.Weight;
  if (Total == 0)
    return std::nullopt;
  std::uint64_t Remaining = Random.below(Total);
  for (const candidate_group &Candidate : Item.Groups) {
    if (Remaining < Candidate.Weight)
      return service_name(Candidate.Group.str());
    Remaining -= Candidate.Weight;
  }
  return std::nullopt;
}

std::optional<work_refusal> placer::refusalFor(const work_item &Item,
                                               const service_name &Service) const {
  const auto Declared = Services.find(Service);
  if (Declared == Services.end())
    return work_refusal{failure_reason::NoBackend, MinRetryAfter};
  const std::optional<engine_profile> &Figures = Declared->second.Engine;
  const double MaxTokens = Figures ? static_cast<double>(Figures->Memory.value()) *
                                         (1 + Tuning.MaxHolders) * Tuning.MemoryFraction
                                   : 0;
  if (Figures && memoryOf(Item) > MaxTokens)
    return work_refusal{failure_reason::TooLargeForFleet, std::nullopt};
  return std::nullopt;
}

std::variant<done, work_refusal> placer::submit(const work_item &Item, mono_time Now) {
  const std::optional<service_name> Service = pickService(Item);
  if (!Service)
    return work_refusal{failure_reason::NoBackend, MinRetryAfter};
  if (const auto Refusal = refusalFor(Item, *Service))
    return *Refusal;
  waiting_work Work{Item, *Service, Now};
  recordArrival(Work, Now);
  Waiting.insert_or_assign(Item.Request, std::move(Work));
  NextWake = Now;
  return done{};
}

void placer::withdraw(request_number Request) {
  Waiting.erase(Request);
  Claimed.erase(Request);
  Unstarted.erase(Request);
}

bool placer::isPastTarget(const waiting_work &Work, mono_time Now) const {
  return Work.Item.Target.count() > 0 && Now > Work.Item.Arrived + Work.Item.Target;
}

std::vector<request_number> placer::pollOrder(mono_time Now) const {
  // Resumed requests come first, then those that can still meet their target; each group is ordered
  // by declared urgency and then by target time. A late request is worth little, so it only gets
  // the capacity that the others leave.
  const auto RankOf = [this, Now](const waiting_work &Work) {
    const queue_rank Rank = scarceSupplyOf(Work) ? rankOfWork(Work, Now) : queue_rank{};
    const bool IsLate = !Work.Item.Resumed && (isPastTarget(Work, Now) || isLateClass(Rank.Class));
    return std::tuple(IsLate, !Work.Item.Resumed, Rank, Work.Item.Urgency,
                      Work.Item.Arrived + Work.Item.Target, Work.Item.Request);
  };
  std::vector<decltype(RankOf(std::declval<const waiting_work &>()))> Order;
  Order.reserve(Waiting.size());
  for (const auto &[Request, Work] : Waiting)
    Order.push_back(RankOf(Work));
  std::sort(Order.begin(), Order.end());
  std::vector<request_number> Requests;
  for (const auto &Ranked : Order)
    if (Requests.size() < MaxTriesPerPoll)
      Requests.push_back(std::get<request_number>(Ranked));
  return Requests;
}

void placer::expireWaiting(mono_time Now, poll_outcome &Outcome) {
  for (auto Iterator = Waiting.begin(); Iterator != Waiting.end();) {
    const work_item &Item = Iterator->second.Item;
    const double TimeLimitMs = millisUntil(Item.Deadline, Item.Arrived);
    // The caller of a resumed request has a part of the answer, and a refusal would truncate it. It
    // waits until its deadline.
    if (Item.Resumed ||
        millisUntil(Now, Iterator->second.WaitingSince) < TimeLimitMs * Tuning.WaitFraction) {
      ++Iterator;
      continue;
    }
    Outcome.Expiries.push_back(
        {Item.Request, {failure_reason::QueueFull, retryAfter(Iterator->second, Now)}});
    Iterator = Waiting.erase(Iterator);
  }
}

/// Returns the milliseconds until the engines of the service have finished all prefill in flight
/// and all waiting prefill. Each entry is assumed to have as much waiting work as this one.
double placer::prefillBacklogMs(const service_declaration &Service) {
  double InFlightMs = 0;
  std::size_t PrefillEngines = 0;
  for (const auto &[Key, Engine] : Engines) {
    if (Engine.service() != Service.Name || !Engine.active())
      continue;
    InFlightMs += AllWork[Key].PrefillMs;
    ++PrefillEngines;
  }
  double WaitingMs = 0;
  for (const auto &[Request, Other] : Waiting)
    if (Other.Service == Service.Name)
      WaitingMs += prefillMs(*Service.Engine, Other.Item.Prompt);
  WaitingMs *= static_cast<double>(Exchange.Entries);
  return (InFlightMs + WaitingMs) / static_cast<double>(std::max<std::size_t>(1, PrefillEngines));
}

/**
 * Returns when the caller of a refused request should retry: when the work ahead of it is expected
 * to be done, but no later than the last time at which the caller still retries. A retry after a
 * constant one second would meet the same queue, wait again and finally be refused.
 */
std::chrono::seconds placer::retryAfter(const waiting_work &Work, mono_time Now) {
  const auto Service = Services.find(Work.Service);
  if (Service == Services.end() || !Service->second.Engine)
    return MinRetryAfter;
  const double MaxDelayMs = millisUntil(Work.Item.Deadline, Now) * MaxRetryFraction;
  const double DelayMs = std::min(prefillBacklogMs(Service->second), MaxDelayMs);
  return std::max(MinRetryAfter, std::chrono::floor<std::chrono::seconds>(durationFromMs(DelayMs)));
}

poll_outcome placer::poll(mono_time Now) {
  poll_outcome Outcome;
  refreshCold(Now);
  resolveClaims(Now, Outcome);
  if (!Waiting.empty())
    AllWork = allWork(Now);
  expireWaiting(Now, Outcome);
  refuseEvacuated(Now, Outcome);
  surveySlots(Now);
  for (const request_number Request : pollOrder(Now)) {
    if (!mayPlace(Now))
      break;
    const waiting_work Work = Waiting.at(Request);
    const std::optional<prefill_plan> Plan =
        mayTakeSlot(Work, slot_origin::Freed, Now) ? choose(Work, Now) : std::nullopt;
    if (!Plan) {
      requestPermitForWaiting(Work, Now);
      refuseUnlessAvailable(Work, Now, Outcome);
      if (Waiting.contains(Request))
        passOver(Work, Now, Outcome);
      continue;
    }
    if (requestPermits(*Plan, Now)) {
      Waiting.at(Request).AskedForPermits = true;
      continue;
    }
    Waiting.erase(Request);
    recordSlotTaken(Work, *Plan, Now);
    placeWork(Work, *Plan, Now, Outcome);
    if (Reachability.isIsolated())
      Reachability.recordProbe(Now);
  }
  setNextWake(Now);
  return Outcome;
}

bool placer::mayPlace(mono_time Now) const {
  return !Reachability.isIsolated() || Reachability.mayProbe(Now);
}

void placer::setNextWake(mono_time Now) {
  NextWake.reset();
  if (!Waiting.empty())
    NextWake = Now + Tuning.PollInterval;
  for (const auto &[Request, Claim] : Claimed)
    NextWake = std::min(NextWake.value_or(Claim.DueTime), Claim.DueTime);
}

void placer::resolveClaims(mono_time Now, poll_outcome &Outcome) {
  for (auto Iterator = Claimed.begin(); Iterator != Claimed.end();) {
    claimed_work &Claim = Iterator->second;
    if (Now < Claim.DueTime) {
      ++Iterator;
      continue;
    }
    if (isClaimLost(Claim, Now)) {
      EvacuatedClaims += usesEvacuated(Claim.Assigned) ? 1 : 0;
      Waiting.insert_or_assign(Iterator->first, std::move(Claim.Work));
    } else {
      Unstarted.insert_or_assign(Iterator->first, std::move(Claim.Assigned));
      Outcome.Placements.push_back(std::move(Claim.Placement));
    }
    Iterator = Claimed.erase(Iterator);
  }
}

bool placer::isClaimLost(const claimed_work &Claim, mono_time Now) const {
  return std::any_of(Claim.Assigned.Parts.begin(), Claim.Assigned.Parts.end(),
                     [&](const prefill_part &Part) {
                       const auto Engine = Engines.find(Part.Backend);
                       const bool LacksPermit = !Part.Permit.isSet() &&
                                                Permits.needsPermit(Part.Backend.Incarnation, Now);
                       return Engine == Engines.end() || !Engine->second.active() || LacksPermit ||
                              Pauses.isPaused(Part.Backend, Now) ||
                              Engine->second.hasWinningClaim(ClaimRank, Tuning.IdlePrefillMs, Now,
                                                             Tuning.PeerLoadTimeout);
                     });
}

void placer::placeWork(const waiting_work &Work, const prefill_plan &Plan, mono_time Now,
                       poll_outcome &Outcome) {
  assigned_work Assigned;
  Assigned.Request = Work.Item.Request;
  Assigned.GapMs = static_cast<double>(Work.Item.LongestGap.count());
  double RemainingTokens = memoryOf(Work.Item);
  work_placement Placement;
  Placement.Request = Work.Item.Request;
  Placement.Backend = Plan.PrefillEngines.front().Engine->key();
  Placement.Service = Work.Service;
  Placement.ExpectedFirstToken = durationFromMs(Plan.FirstEventMs);
  Placement.VisibleAfter = Exchange.PropagationDelay;
  for (const engine_option &PrefillEngine : Plan.PrefillEngines) {
    const backend_key &Key = PrefillEngine.Engine->key();
    PrefillEngine.Engine->recordPlacement(Tuning, Now);
    PrefillEngine.Engine->addSeenPrefill(Plan.PartMs);
    Assigned.Parts.push_back({Key,
                              Plan.PartMs * PrefillEngine.Slowness,
                              Now + durationFromMs(Plan.FirstEventMs),
                              0,
                              {},
                              PrefillEngine.Mark});
    Assigned.Parts.back().Mark.ExpectedMs += Plan.PartMs;
    Assigned.Parts.back().Mark.SeenPrefillMs += Plan.PartMs;
    if (PrefillEngine.Limited)
      Assigned.Parts.back().Permit = Permits.take(Key.Incarnation, Now);
    if (Key != Placement.Backend)
      Placement.Helpers.push_back(Key);
    if (const auto FoundHold = Plan.HeldTokens.find(Key); FoundHold != Plan.HeldTokens.end()) {
      Assigned.Parts.back().Tokens = FoundHold->second;
      RemainingTokens -= FoundHold->second;
    }
  }
  Assigned.Parts.front().Tokens = RemainingTokens;
  Placement.Permit = Assigned.Parts.front().Permit;
  for (const auto &[Key, Amount] : Plan.HeldTokens)
    Placement.Holds.push_back({Key, tokens(static_cast<std::int64_t>(Amount))});
  addWork(AllWork, Assigned, Now);
  if (Plan.PrefillEngines.size() > 1 || Plan.PartMs > Tuning.MaxSinglePrefillMs) {
    ++ClaimsMade;
    Claimed.insert_or_assign(
        Work.Item.Request,
        claimed_work{Work, std::move(Assigned), std::move(Placement), Now + Exchange.ClaimDelay});
    return;
  }
  Unstarted.insert_or_assign(Work.Item.Request, std::move(Assigned));
  Outcome.Placements.push_back(std::move(Placement));
}

} // namespace pollenstall

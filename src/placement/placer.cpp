/** @file placer.cpp The queue and polls. */
#include "placement/placer_base.h"

#include "placement/millis_func.h"
#include "placement/pass_model_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::chrono::seconds RetrySoon{1}; ///< The least that callers are told.
/// Part of the time that a caller has left after which it does not come back any more.
constexpr double LongestReturnPart = 1.0 / 3;
/// Waiting requests looked at in one poll: bounds its time under overload.
constexpr std::size_t TriesPerPoll = 64;

} // namespace

placer::placer(const host_name &Host, std::uint64_t Seed, const placement_tuning &Values)
    : Precedence(precedenceOf(Host)), Random(combineHashes(Seed, stableHash(Host.str()))),
      Tuning(Values), Rate(Values.RateSpan) {}

void placer::applyDeclaration(const fleet_declaration &Declaration) {
  Services.clear();
  for (const service_declaration &Service : Declaration.Services)
    Services.emplace(Service.Name, Service);
}

void placer::updateBackend(const backend_listing &Listing) {
  const auto [Known, Fresh] = Engines.try_emplace(Listing.Key, Listing);
  if (!Fresh)
    Known->second.update(Listing);
  EnginesByIncarnation[Listing.Key.Incarnation] = &Known->second;
}

void placer::removeBackend(const backend_key &Backend) {
  const auto Known = Engines.find(Backend);
  if (Known == Engines.end())
    return;
  const auto ByIncarnation = EnginesByIncarnation.find(Backend.Incarnation);
  if (ByIncarnation != EnginesByIncarnation.end() && ByIncarnation->second == &Known->second)
    EnginesByIncarnation.erase(ByIncarnation);
  Engines.erase(Known);
}

void placer::takeOthersLoads(const std::vector<work_load> &Loads, mono_time Now) {
  for (const work_load &Load : Loads) {
    const auto Found = EnginesByIncarnation.find(Load.Incarnation);
    if (Found == EnginesByIncarnation.end())
      continue;
    // What ended meanwhile hides as many that began: the rate is a little low under load.
    const std::uint32_t Before = Found->second->othersWork(Now, Tuning.PeerSilence).Requests;
    if (Load.Requests > Before)
      Rate.add(Load.Requests - Before, Now);
    Found->second->takeOthers(Load, Now);
  }
}

double placer::memoryOf(const work_item &Item) const {
  const tokens Answer = Item.AnswerHint.value() > 0 ? Item.AnswerHint : Item.AnswerLimit;
  return static_cast<double>((Item.Prompt + Answer).value());
}

std::optional<service_name> placer::drawService(const work_item &Item) {
  std::uint64_t Total = 0;
  for (const candidate_group &Candidate : Item.Groups)
    Total += Candidate.Weight;
  if (Total == 0)
    return std::nullopt;
  std::uint64_t Draw = Random.below(Total);
  for (const candidate_group &Candidate : Item.Groups) {
    if (Draw < Candidate.Weight)
      return service_name(Candidate.Group.str());
    Draw -= Candidate.Weight;
  }
  return std::nullopt;
}

std::optional<work_refusal> placer::refusalFor(const work_item &Item,
                                               const service_name &Service) const {
  const auto Declared = Services.find(Service);
  if (Declared == Services.end())
    return work_refusal{failure_reason::NoBackend, RetrySoon};
  const std::optional<engine_figures> &Figures = Declared->second.Engine;
  const double Most = Figures ? static_cast<double>(Figures->Memory.value()) *
                                    (1 + Tuning.MostHolders) * Tuning.MemoryPart
                              : 0;
  if (Figures && memoryOf(Item) > Most)
    return work_refusal{failure_reason::TooLargeForFleet, std::nullopt};
  return std::nullopt;
}

std::variant<done, work_refusal> placer::submit(const work_item &Item, mono_time Now) {
  const std::optional<service_name> Service = drawService(Item);
  if (!Service)
    return work_refusal{failure_reason::NoBackend, RetrySoon};
  if (const auto Refusal = refusalFor(Item, *Service))
    return *Refusal;
  Waiting.insert_or_assign(Item.Request, waiting_work{Item, *Service, Now});
  NextWake = Now;
  return done{};
}

void placer::withdraw(request_number Request) {
  Waiting.erase(Request);
  Claimed.erase(Request);
  Placed.erase(Request);
}

bool placer::isLate(const waiting_work &Work, mono_time Now) const {
  return Work.Item.Target.count() > 0 && Now > Work.Item.Arrived + Work.Item.Target;
}

std::vector<request_number> placer::order(mono_time Now) const {
  // What can still be answered in time goes first, by declared urgency and then by what is left of
  // its time. What is late already earns little; it runs on what the others leave.
  std::vector<const waiting_work *> Order;
  for (const auto &[Request, Work] : Waiting)
    Order.push_back(&Work);
  const auto Rank = [this, Now](const waiting_work *Work) {
    const bool Late = !Work->Item.Resumed && isLate(*Work, Now);
    return std::tuple(Late, !Work->Item.Resumed, Work->Item.Urgency,
                      Work->Item.Arrived + Work->Item.Target);
  };
  std::sort(Order.begin(), Order.end(),
            [&Rank](const waiting_work *A, const waiting_work *B) { return Rank(A) < Rank(B); });
  std::vector<request_number> Requests;
  for (const waiting_work *Work : Order)
    if (Requests.size() < TriesPerPoll)
      Requests.push_back(Work->Item.Request);
  return Requests;
}

void placer::expireLate(mono_time Now, poll_outcome &Outcome) {
  for (auto At = Waiting.begin(); At != Waiting.end();) {
    const work_item &Item = At->second.Item;
    const double Whole = millisUntil(Item.Deadline, Item.Arrived);
    // A refusal would cut an answer that the caller has a part of: it waits until its deadline.
    if (Item.Resumed || millisUntil(Now, At->second.Since) < Whole * Tuning.WaitPart) {
      ++At;
      continue;
    }
    Outcome.Expiries.push_back(
        {Item.Request, {failure_reason::QueueFull, returnAfter(At->second, Now)}});
    At = Waiting.erase(At);
  }
}

/// @return Milliseconds until all reading that is under way or waits is done, by all engines of the
/// service. Each entry is taken to have as much waiting as this one.
double placer::readingAheadMs(const service_declaration &Service) {
  double ReadingMs = 0;
  std::size_t Readers = 0;
  for (const auto &[Key, Engine] : Engines) {
    if (Engine.service() != Service.Name || !Engine.active())
      continue;
    ReadingMs += AllWork[Key].ReadMs;
    ++Readers;
  }
  double WaitingMs = 0;
  for (const auto &[Request, Other] : Waiting)
    if (Other.Service == Service.Name)
      WaitingMs += readMs(*Service.Engine, Other.Item.Prompt);
  WaitingMs *= static_cast<double>(Exchange.Entries);
  return (ReadingMs + WaitingMs) / static_cast<double>(std::max<std::size_t>(1, Readers));
}

/**
 * A prompt that comes back after a fixed second finds the queue that it left, waits again and is
 * refused for good. It is told when what is before it can be done, as far as its caller still comes
 * back then.
 */
std::chrono::seconds placer::returnAfter(const waiting_work &Work, mono_time Now) {
  const auto Service = Services.find(Work.Service);
  if (Service == Services.end() || !Service->second.Engine)
    return RetrySoon;
  const double LongestMs = millisUntil(Work.Item.Deadline, Now) * LongestReturnPart;
  const double Ms = std::min(readingAheadMs(Service->second), LongestMs);
  return std::max(RetrySoon, std::chrono::floor<std::chrono::seconds>(spanOf(Ms)));
}

poll_outcome placer::poll(mono_time Now) {
  poll_outcome Outcome;
  settleClaims(Now, Outcome);
  if (!Waiting.empty())
    AllWork = allWork(Now);
  expireLate(Now, Outcome);
  for (const request_number Request : order(Now)) {
    if (!mayPlace(Now))
      break;
    const waiting_work Work = Waiting.at(Request);
    const std::optional<read_plan> Plan = choose(Work, Now);
    if (!Plan)
      continue;
    Waiting.erase(Request);
    start(Work, *Plan, Now, Outcome);
    if (Reach.isOut())
      Reach.noteTry(Now);
  }
  setNextWake(Now);
  return Outcome;
}

bool placer::mayPlace(mono_time Now) const { return !Reach.isOut() || Reach.mayTry(Now); }

void placer::setNextWake(mono_time Now) {
  NextWake.reset();
  if (!Waiting.empty())
    NextWake = Now + Tuning.PollInterval;
  for (const auto &[Request, Claim] : Claimed)
    NextWake = std::min(NextWake.value_or(Claim.Due), Claim.Due);
}

void placer::settleClaims(mono_time Now, poll_outcome &Outcome) {
  for (auto At = Claimed.begin(); At != Claimed.end();) {
    claimed_work &Claim = At->second;
    if (Now < Claim.Due) {
      ++At;
      continue;
    }
    if (givesWay(Claim, Now)) {
      Waiting.insert_or_assign(At->first, std::move(Claim.Work));
    } else {
      Placed.insert_or_assign(At->first, std::move(Claim.Started));
      Outcome.Placements.push_back(std::move(Claim.Placement));
    }
    At = Claimed.erase(At);
  }
}

bool placer::givesWay(const claimed_work &Claim, mono_time Now) const {
  return std::any_of(
      Claim.Started.Parts.begin(), Claim.Started.Parts.end(), [&](const reading_part &Part) {
        const auto Engine = Engines.find(Part.Backend);
        return Engine == Engines.end() || !Engine->second.active() ||
               Engine->second.readBefore(Precedence, Tuning.IdleReadMs, Now, Tuning.PeerSilence);
      });
}

void placer::start(const waiting_work &Work, const read_plan &Plan, mono_time Now,
                   poll_outcome &Outcome) {
  running_work Started;
  Started.Request = Work.Item.Request;
  Started.GapMs = static_cast<double>(Work.Item.LongestGap.count());
  double Kept = memoryOf(Work.Item);
  work_placement Placement;
  Placement.Request = Work.Item.Request;
  Placement.Backend = Plan.Readers.front().Engine->key();
  Placement.ExpectedFirstToken = spanOf(Plan.FinishMs);
  for (const engine_option &Reader : Plan.Readers) {
    const backend_key &Key = Reader.Engine->key();
    Reader.Engine->notePlaced(Tuning, Now);
    Started.Parts.push_back({Key, Plan.PartMs, Now + spanOf(Plan.FinishMs)});
    if (Key != Placement.Backend)
      Placement.Helpers.push_back(Key);
    if (const auto Held = Plan.Held.find(Key); Held != Plan.Held.end()) {
      Started.Parts.back().Tokens = Held->second;
      Kept -= Held->second;
    }
  }
  Started.Parts.front().Tokens = Kept;
  for (const auto &[Key, Amount] : Plan.Held)
    Placement.Holds.push_back({Key, tokens(static_cast<std::int64_t>(Amount))});
  addWork(AllWork, Started, Now);
  if (Plan.Readers.size() > 1 || Plan.PartMs > Tuning.WholeReadMs) {
    ++ClaimsMade;
    Claimed.insert_or_assign(
        Work.Item.Request,
        claimed_work{Work, std::move(Started), std::move(Placement), Now + Exchange.ClaimSpan});
    return;
  }
  Placed.insert_or_assign(Work.Item.Request, std::move(Started));
  Outcome.Placements.push_back(std::move(Placement));
}

} // namespace pollenstall

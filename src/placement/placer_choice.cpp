/** @file placer_choice.cpp Chooses the engines that prefill and answer a waiting request. */
#include "placement/millis_func.h"
#include "placement/pass_model_func.h"
#include "placement/placer_base.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace pollenstall {

namespace {

/// Maximum requests per slot of a server without declared figures. Requests above 1 per slot wait
/// at the server.
constexpr double FullFactor = 1.5;
/// Part of the time until the deadline that work may use if its target does not apply: resumed
/// work, and work without a target or past it.
constexpr double DeadlineFraction = 0.5;

} // namespace

placer::engine_options placer::candidateEngines(const waiting_work &Work, mono_time Now) {
  engine_options Options;
  // Engines that were tried before or are in backoff; used only if there is no other.
  std::vector<engine_option> Fallback;
  const std::vector<backend_key> &Avoid = Work.Item.Avoid;
  const bool AnyLimited = Permits.anyLimited();
  for (auto &[Key, Engine] : Engines) {
    if (Engine.service() != Work.Service || !Engine.active() || Pauses.isPaused(Key, Now))
      continue;
    engine_option Option{&Engine, AllWork[Key]};
    if (AnyLimited && Permits.needsPermit(Key.Incarnation, Now)) {
      Option.Limited = true;
      Option.Cold = Permits.isCold(Key.Incarnation, Now);
      Option.NeedsPermit = !Permits.hasPermit(Key.Incarnation, Now);
      if (Option.NeedsPermit && (Work.AskedForPermits || !Permits.mayAsk(Key.Incarnation, Now)))
        continue;
    }
    const bool WasTried = std::find(Avoid.begin(), Avoid.end(), Key) != Avoid.end();
    if (WasTried || Engine.inBackoff(Now))
      Fallback.push_back(Option);
    else
      (Engine.record().rests(Now) ? Options.Resting : Options.Preferred).push_back(Option);
  }
  if (Options.Preferred.empty())
    Options.Preferred = Options.Resting.empty() ? std::move(Fallback) : std::move(Options.Resting);
  return Options;
}

std::optional<placer::prefill_plan> placer::choose(const waiting_work &Work, mono_time Now) {
  engine_options Options = candidateEngines(Work, Now);
  if (auto Plan = chooseWarmFirst(std::move(Options.Preferred), Work, Now))
    return Plan;
  // Otherwise the work would wait. A further attempt of it must be left for a server that has not
  // declined before.
  if (!Work.Item.Avoid.empty())
    return std::nullopt;
  return chooseAmong(std::move(Options.Resting), Work, Now);
}

/**
 * Chooses among the warm servers, and among all if no warm one serves the work in time. Without
 * declared figures, a warm server without a free slot counts as late.
 */
std::optional<placer::prefill_plan> placer::chooseWarmFirst(std::vector<engine_option> Options,
                                                            const waiting_work &Work,
                                                            mono_time Now) {
  const auto IsCold = [](const engine_option &Option) { return Option.Cold; };
  if (std::none_of(Options.begin(), Options.end(), IsCold))
    return chooseAmong(std::move(Options), Work, Now);
  std::vector<engine_option> Warm = Options;
  std::erase_if(Warm, IsCold);
  const auto Service = Services.find(Work.Service);
  if (Service != Services.end() && !Service->second.Engine)
    std::erase_if(Warm, [](const engine_option &Option) {
      return Option.View.Requests >= Option.Engine->slots();
    });
  if (auto Plan = chooseAmong(std::move(Warm), Work, Now))
    return Plan;
  // A permit that this entry holds is lost if it is not used at once.
  std::vector<engine_option> Ready = Options;
  std::erase_if(Ready, [](const engine_option &Option) { return Option.NeedsPermit; });
  if (auto Plan = chooseAmong(std::move(Ready), Work, Now))
    return Plan;
  return chooseAmong(std::move(Options), Work, Now);
}

std::optional<placer::prefill_plan> placer::chooseAmong(std::vector<engine_option> Options,
                                                        const waiting_work &Work, mono_time Now) {
  const auto Service = Services.find(Work.Service);
  if (Options.empty() || Service == Services.end())
    return std::nullopt;
  if (!Service->second.Engine)
    return chooseServer(std::move(Options), Now);
  return chooseEngines(Work, *Service->second.Engine, std::move(Options), Now);
}

std::optional<placer::prefill_plan> placer::chooseServer(std::vector<engine_option> Options,
                                                         mono_time Now) {
  std::erase_if(Options, [](const engine_option &Option) {
    return Option.View.Requests >= Option.Engine->slots() * FullFactor;
  });
  if (Options.empty())
    return std::nullopt;
  // The load that the server's speed makes of its requests and this one; without this one if its
  // speed is normal.
  const auto ExpectedLoad = [](const engine_option &Option) {
    return ((Option.View.Requests + 1) * Option.Slowness - 1) / Option.Engine->slots();
  };
  double LowestLoad = std::numeric_limits<double>::max();
  for (engine_option &Option : Options) {
    applySpeed(Option, nullptr, Now);
    LowestLoad = std::min(LowestLoad, ExpectedLoad(Option));
  }
  std::erase_if(Options,
                [&](const engine_option &Option) { return ExpectedLoad(Option) > LowestLoad; });
  prefill_plan Plan;
  Plan.PrefillEngines.push_back(Options[Random.below(Options.size())]);
  return Plan;
}

std::optional<placer::prefill_plan> placer::chooseEngines(const waiting_work &Work,
                                                          const engine_profile &Figures,
                                                          std::vector<engine_option> Options,
                                                          mono_time Now) {
  const double NeededTokens = memoryOf(Work.Item);
  const auto EngineTokens = static_cast<double>(Figures.Memory.value());
  const std::uint32_t SpareSlots = spareSlotsFor(Work, Now);
  std::vector<prefill_candidate> Candidates;
  for (std::size_t Rank = 0; Rank < Options.size(); ++Rank) {
    const engine_option &Option = Options[Rank];
    prefill_candidate Candidate;
    Candidate.Option = Option;
    Candidate.Rank = Rank;
    Candidate.PassMs = passMs(Figures, Option.View.DecodingRequests, Option.View.Tokens);
    Candidate.StartMs = Candidate.PassMs + Option.View.PrefillMs;
    const double GapMs = Option.View.GapMs;
    Candidate.MaxPartMs =
        GapMs > 0
            ? std::max(GapMs * Tuning.GapFraction, GapMs - Tuning.GapMarginMs) - Candidate.StartMs
            : std::numeric_limits<double>::max();
    Candidate.CanAnswer = Option.View.Requests + SpareSlots < Figures.BatchSlots &&
                          Option.View.Tokens + NeededTokens <= EngineTokens;
    applySpeed(Candidate, Work, Figures, Now);
    Candidates.push_back(Candidate);
  }
  std::vector<prefill_candidate> Normal;
  std::copy_if(Candidates.begin(), Candidates.end(), std::back_inserter(Normal),
               [](const prefill_candidate &Candidate) { return Candidate.Option.Slowness <= 1; });
  auto Plan = chooseCandidates(Work, Figures, Normal, Now);
  const bool IsShort = prefillMs(Figures, Work.Item.Prompt) <= Tuning.MaxSinglePrefillMs;
  if (Normal.size() == Candidates.size() || (Plan && IsShort))
    return Plan;
  // The parts of a prompt are of one size, so that a slow server delays the whole answer.
  auto PlanWithSlow = chooseCandidates(Work, Figures, Candidates, Now);
  const bool IsSooner = PlanWithSlow && (!Plan || PlanWithSlow->FirstEventMs < Plan->FirstEventMs);
  return IsSooner ? PlanWithSlow : Plan;
}

std::optional<placer::prefill_plan>
placer::chooseCandidates(const waiting_work &Work, const engine_profile &Figures,
                         const std::vector<prefill_candidate> &Candidates, mono_time Now) {
  const double NeededTokens = memoryOf(Work.Item);
  const auto EngineTokens = static_cast<double>(Figures.Memory.value());
  const slot_supply *Supply = supplyOf(Work);
  const bool UsesDeadline = Work.Item.Resumed || Work.Item.Target.count() == 0 ||
                            isPastTarget(Work, Now) || missesTarget(Work, Now);
  const double RemainingMs = UsesDeadline ? millisUntil(Work.Item.Deadline, Now) * DeadlineFraction
                                          : millisUntil(Work.Item.Arrived + Work.Item.Target, Now);
  const double PromptMs = prefillMs(Figures, Work.Item.Prompt);
  if (NeededTokens > EngineTokens * Tuning.MemoryFraction)
    return chooseHolders(Candidates, Figures, NeededTokens, PromptMs, RemainingMs);
  if (Work.Item.Resumed && PromptMs <= Tuning.MaxSinglePrefillMs)
    if (auto Plan = chooseSoonest(Candidates, PromptMs))
      return Plan;
  if (Supply && Supply->Scarce && PromptMs <= Tuning.MaxSinglePrefillMs)
    return chooseScarceSlot(Candidates, Work, PromptMs, RemainingMs, Now);
  if (PromptMs <= Tuning.MaxSinglePrefillMs)
    if (auto Plan = packShort(Candidates, PromptMs, RemainingMs, Now))
      return Plan;
  return spreadLongPrompt(Candidates, PromptMs, RemainingMs,
                          static_cast<double>(Work.Item.Target.count()));
}

std::size_t placer::packedChoiceCount(mono_time Now) const {
  const double UnseenRequests = Rate.expectedRequests(Exchange.PropagationDelay, Now);
  return std::max(Tuning.MinPackedChoices, static_cast<std::size_t>(std::ceil(
                                               UnseenRequests * Tuning.ChoicesPerUnseenRequest)));
}

/**
 * Packs short work onto the first engines in the order that all entries share, as long as their
 * passes stay short enough. The other engines stay without decoding requests, as long prompts need.
 */
std::optional<placer::prefill_plan>
placer::packShort(const std::vector<prefill_candidate> &Candidates, double PromptMs,
                  double RemainingMs, mono_time Now) {
  const std::size_t ChoiceCount = packedChoiceCount(Now);
  std::vector<const prefill_candidate *> Suitable;
  for (const prefill_candidate &Candidate : Candidates) {
    const bool IsInTime = Candidate.endMs(PromptMs) <= RemainingMs * Tuning.TargetFraction;
    if (Candidate.CanAnswer && IsInTime && PromptMs <= Candidate.MaxPartMs)
      Suitable.push_back(&Candidate);
    if (Suitable.size() >= ChoiceCount)
      break;
  }
  if (Suitable.empty())
    return std::nullopt;
  const prefill_candidate &Chosen = *Suitable[Random.below(Suitable.size())];
  return prefill_plan{{Chosen.Option}, PromptMs, Chosen.endMs(PromptMs)};
}

/**
 * Places a resumed stream on an engine that can start it earliest, since its caller measures the
 * time since the last event. When an entry fails, many streams resume at the same time on entries
 * that do not know of each other's placements. If packed, they would all wait for the same two
 * engines.
 */
std::optional<placer::prefill_plan>
placer::chooseSoonest(const std::vector<prefill_candidate> &Candidates, double PromptMs) {
  std::vector<const prefill_candidate *> Soonest;
  for (const prefill_candidate &Candidate : Candidates) {
    if (!Candidate.CanAnswer || PromptMs > Candidate.MaxPartMs)
      continue;
    if (!Soonest.empty() && Candidate.StartMs > Soonest.front()->StartMs + Tuning.StartToleranceMs)
      continue;
    if (!Soonest.empty() && Candidate.StartMs + Tuning.StartToleranceMs < Soonest.front()->StartMs)
      Soonest.clear();
    Soonest.push_back(&Candidate);
  }
  if (Soonest.empty())
    return std::nullopt;
  const prefill_candidate &Chosen = *Soonest[Random.below(Soonest.size())];
  return prefill_plan{{Chosen.Option}, PromptMs, Chosen.endMs(PromptMs)};
}

placer::idle_engines
placer::findIdleEngines(const std::vector<prefill_candidate> &Candidates) const {
  idle_engines IdleEngines;
  for (const prefill_candidate &Candidate : Candidates)
    if (Candidate.Option.View.PrefillMs <= Tuning.IdlePrefillMs)
      (Candidate.occupied() ? IdleEngines.Occupied : IdleEngines.Unoccupied).push_back(Candidate);
  // Reverse of the order that all entries share, because short work is placed from its start.
  std::reverse(IdleEngines.Unoccupied.begin(), IdleEngines.Unoccupied.end());
  return IdleEngines;
}

/**
 * Removes engines from Unoccupied so that enough engines keep headroom for short prompts. If a long
 * prefill took the last engines with headroom, each short prompt that arrives before its end would
 * wait for longer than its target.
 */
void placer::keepHeadroom(std::vector<prefill_candidate> &Unoccupied,
                          const std::vector<prefill_candidate> &Occupied,
                          std::size_t CandidateCount, double PromptMs) const {
  const auto WantedCount =
      static_cast<std::size_t>(static_cast<double>(CandidateCount) * Tuning.HeadroomFraction);
  const auto WithHeadroom = static_cast<std::size_t>(
      std::count_if(Occupied.begin(), Occupied.end(), [this](const prefill_candidate &Candidate) {
        return Candidate.CanAnswer && Candidate.MaxPartMs >= Tuning.MaxSinglePrefillMs;
      }));
  const std::size_t EngineCount =
      std::clamp<std::size_t>(Unoccupied.size(), 1, Tuning.MaxPrefillEngines);
  if (WithHeadroom >= WantedCount ||
      PromptMs / static_cast<double>(EngineCount) <= Tuning.LongPartMs)
    return;
  Unoccupied.resize(Unoccupied.size() - std::min(Unoccupied.size(), WantedCount - WithHeadroom));
}

/**
 * Splits the prefill of a long prompt over as many idle engines as keep parts of MinPartMs, so that
 * each is occupied only briefly; engines with streams take part only if the first event would be
 * late without them. A part starts with the engine's next pass. It does not wait behind other long
 * prefill, because an engine processes later parts of other prompts first and the wait could last
 * forever. A prompt that finds too few engines waits here, where the order is kept.
 */
std::optional<placer::prefill_plan>
placer::spreadLongPrompt(const std::vector<prefill_candidate> &Candidates, double PromptMs,
                         double RemainingMs, double TargetMs) const {
  auto [Unoccupied, Occupied] = findIdleEngines(Candidates);
  keepHeadroom(Unoccupied, Occupied, Candidates.size(), PromptMs);
  auto Plan = splitPrefill(Unoccupied, Occupied, PromptMs, false);
  if (!Plan || Plan->FirstEventMs > RemainingMs * Tuning.TargetFraction)
    if (auto WidePlan = splitPrefill(Unoccupied, Occupied, PromptMs, true))
      if (!Plan || WidePlan->FirstEventMs < Plan->FirstEventMs)
        Plan = std::move(WidePlan);
  if (!Plan || Plan->FirstEventMs <= RemainingMs * Tuning.TargetFraction)
    return Plan;
  const bool CanWait = RemainingMs - Plan->FirstEventMs > TargetMs * Tuning.SlackFraction;
  const bool IsInTime = Plan->FirstEventMs <= RemainingMs;
  return IsInTime && !CanWait ? Plan : std::nullopt;
}

/**
 * Places a prompt that exceeds the memory of one engine. The first engine holds as much as it can,
 * other engines hold the rest. Only engines without requests take part, because each is occupied
 * for a long time.
 */
std::optional<placer::prefill_plan>
placer::chooseHolders(const std::vector<prefill_candidate> &AllCandidates,
                      const engine_profile &Figures, double NeededTokens, double PromptMs,
                      double RemainingMs) const {
  const double MaxTokensPerEngine =
      static_cast<double>(Figures.Memory.value()) * Tuning.MemoryFraction;
  auto [IdleCandidates, Occupied] = findIdleEngines(AllCandidates);
  keepHeadroom(IdleCandidates, Occupied, AllCandidates.size(), PromptMs);
  // A hold takes several requests, which must also be sent while there is no permit.
  std::erase_if(IdleCandidates,
                [](const prefill_candidate &Candidate) { return Candidate.Option.Limited; });
  std::stable_sort(IdleCandidates.begin(), IdleCandidates.end(),
                   [](const prefill_candidate &A, const prefill_candidate &B) {
                     return A.Option.View.Tokens < B.Option.View.Tokens;
                   });
  if (IdleCandidates.size() > Tuning.MaxPrefillEngines)
    IdleCandidates.resize(Tuning.MaxPrefillEngines);
  prefill_plan Plan;
  double MissingTokens = NeededTokens;
  for (const prefill_candidate &Candidate : IdleCandidates) {
    const double FreeTokens = MaxTokensPerEngine - Candidate.Option.View.Tokens;
    const bool IsFirst = Plan.PrefillEngines.empty();
    Plan.PrefillEngines.push_back(Candidate.Option);
    if (MissingTokens <= 0 || FreeTokens <= 0 || Plan.HeldTokens.size() >= Tuning.MaxHolders)
      continue;
    const double KeptTokens = std::min(FreeTokens, MissingTokens);
    if (!IsFirst)
      Plan.HeldTokens[Candidate.Option.Engine->key()] = std::ceil(KeptTokens);
    MissingTokens -= KeptTokens;
  }
  if (Plan.PrefillEngines.empty() || MissingTokens > 0)
    return std::nullopt;
  Plan.PartMs = PromptMs / static_cast<double>(Plan.PrefillEngines.size());
  for (const engine_option &Option : Plan.PrefillEngines)
    Plan.FirstEventMs = std::max(Plan.FirstEventMs, Plan.PartMs * Option.Slowness);
  return Plan.FirstEventMs <= RemainingMs ? std::optional(std::move(Plan)) : std::nullopt;
}

/// @param UseOccupied Whether engines with decoding requests also prefill parts, as far as the gaps
/// of their streams allow.
std::optional<placer::prefill_plan>
placer::splitPrefill(const std::vector<prefill_candidate> &Unoccupied,
                     const std::vector<prefill_candidate> &Occupied, double PromptMs,
                     bool UseOccupied) const {
  const auto WantedCount = static_cast<std::size_t>(std::ceil(PromptMs / Tuning.MinPartMs));
  const std::size_t MaxCount = std::clamp<std::size_t>(WantedCount, 1, Tuning.MaxPrefillEngines);
  for (std::size_t Count = MaxCount; Count >= 1; --Count)
    if (auto Plan = planWithEngines(Unoccupied, Occupied, Count,
                                    PromptMs / static_cast<double>(Count), UseOccupied))
      return Plan;
  return std::nullopt;
}

std::optional<placer::prefill_plan>
placer::planWithEngines(const std::vector<prefill_candidate> &Unoccupied,
                        const std::vector<prefill_candidate> &Occupied, std::size_t Count,
                        double PartMs, bool UseOccupied) {
  // The engine that answers will decode for some time. Preferring one that already decodes keeps
  // free engines free.
  const auto CanAnswerPart = [PartMs](const prefill_candidate &Candidate) {
    return Candidate.CanAnswer && PartMs <= Candidate.MaxPartMs;
  };
  auto FirstEngine = std::find_if(Occupied.begin(), Occupied.end(), CanAnswerPart);
  if (FirstEngine == Occupied.end()) {
    FirstEngine = std::find_if(Unoccupied.begin(), Unoccupied.end(), CanAnswerPart);
    if (FirstEngine == Unoccupied.end())
      return std::nullopt;
  }
  std::vector<const prefill_candidate *> ChosenEngines{&*FirstEngine};
  const auto AddEngines = [&](const std::vector<prefill_candidate> &Options) {
    for (const prefill_candidate &Candidate : Options)
      if (ChosenEngines.size() < Count && Candidate.Rank != FirstEngine->Rank &&
          PartMs <= Candidate.MaxPartMs)
        ChosenEngines.push_back(&Candidate);
  };
  AddEngines(Unoccupied);
  if (UseOccupied)
    AddEngines(Occupied);
  if (ChosenEngines.size() < Count)
    return std::nullopt;
  prefill_plan Plan;
  Plan.PartMs = PartMs;
  for (const prefill_candidate *Candidate : ChosenEngines) {
    Plan.PrefillEngines.push_back(Candidate->Option);
    Plan.FirstEventMs = std::max(Plan.FirstEventMs, Candidate->endMs(PartMs));
  }
  return Plan;
}

} // namespace pollenstall

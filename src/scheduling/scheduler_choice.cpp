/** @file scheduler_choice.cpp Chooses the backend server for a waiting request. */
#include "scheduling/scheduler_base.h"

#include <algorithm>
#include <limits>

namespace pollenstall {
namespace {

/// Priorities passed to engines, by length class; a lower value runs first.
constexpr std::array<std::uint32_t, LengthClassCount> BasePriority{100, 200, 300};
/// Maximum priority value of work that has waited at least half of its allowed time: it runs before
/// medium and long work.
constexpr std::uint32_t AgedPriority = 150;
/// Added to the priority value of work of an account that exceeds its share on a full fleet.
constexpr std::uint32_t DeprioritizedOffset = 300;
/// Penalty in seconds that each plain call on a server adds for further calls there.
constexpr double PlainCallSeconds = 0.01;
/// Weight of a call in the same failure domain relative to a call on the same server.
constexpr double DomainShare = 0.05;

std::size_t indexOf(length_class Class) { return static_cast<std::size_t>(Class); }

} // namespace

std::vector<scheduled_backend *> scheduler::eligibleServers(const waiting_work &Work) {
  const work_item &Item = Work.Item;
  std::vector<scheduled_backend *> Untried;
  std::vector<scheduled_backend *> PreviouslyTried;
  const auto AddGroup = [&](const group_name &Group) {
    for (scheduled_backend *Record : Pool.members(Item.Service, Group)) {
      if (!Record->active() || !Record->serves(Item))
        continue;
      const bool IsAvoided =
          std::find(Item.Avoid.begin(), Item.Avoid.end(), Record->key()) != Item.Avoid.end();
      (IsAvoided ? PreviouslyTried : Untried).push_back(Record);
    }
  };
  AddGroup(Work.Group);
  if (Untried.empty())
    for (const candidate_group &Candidate : Item.Groups)
      if (Candidate.Group != Work.Group)
        AddGroup(Candidate.Group);
  return Untried.empty() ? PreviouslyTried : Untried;
}

bool scheduler::isDeprioritized(const waiting_work &Work, mono_time Now) {
  // The order of the queue alone does not limit a large account. Other accounts have few requests
  // waiting at one host, so the large account gets each slot that becomes free while none of theirs
  // waits. Their next requests then find the engines full of work that runs for half a minute.
  if (LastLimitReached == mono_time() || Now - LastLimitReached >= Settings.Tuning.FullDuration)
    return false;
  const client_account_name &Account = Work.Item.Account;
  const auto CachedResult = IsOverShareCache.find(Account);
  if (CachedResult != IsOverShareCache.end())
    return CachedResult->second;
  const bool IsOverShare = Queue.relativeUsage(Account, Now) > Settings.Tuning.MaxRelativeUsage;
  IsOverShareCache.emplace(Account, IsOverShare);
  return IsOverShare;
}

bool scheduler::canAccept(const scheduled_backend &Record, const waiting_work &Work) const {
  if (!Pool.outlierDetector().admits(Record.key(), Record.Outstanding))
    return false;
  if (Work.Item.Model.empty())
    return true;
  if (!Record.Memory.fits(Record.blocksNeeded(Work.Item)))
    return false;
  return Work.Class == length_class::Long || ReservedForLong != Record.key();
}

scheduler::engine_estimate scheduler::estimate(const scheduled_backend &Record,
                                               const waiting_work &Work,
                                               const std::optional<cached_prefix> &Cached,
                                               bool Deprioritized, mono_time Now) const {
  engine_estimate Result;
  Result.Deprioritized = Deprioritized;
  if (Work.Item.Model.empty()) {
    Result.FirstToken = PlainCallSeconds * (1.0 + Record.requestCount());
    Result.ChoicePenalty = Result.FirstToken;
    return Result;
  }
  const double Rate = Record.Costs.prefillRate();
  const bool Priorities = Record.View.Announcement.Capabilities.Priorities;
  const auto Prompt = static_cast<double>(Work.Item.Prompt.value());
  if (Cached && Cached->Backend == Record.key())
    Result.CachedShare = Cached->Share;
  Result.Uncached = Prompt * (1.0 - Result.CachedShare);
  const double Pending = Record.Prefill.pendingTokens(Now, Rate);
  const bool MayOvertake = Priorities && !Result.Deprioritized;
  Result.TokensAhead = Record.Prefill.tokensAhead(Work.Class, MayOvertake, Now, Rate);
  const double OvertakenTokens = std::max(0.0, Pending - Result.TokensAhead);
  Result.TokensAhead += std::min(OvertakenTokens, Settings.Tuning.ChunkTokens);
  Result.FirstToken = Record.Costs.secondsPerStep() + (Result.TokensAhead + Result.Uncached) / Rate;
  // Work that this request overtakes is delayed by the prefill time of its prompt.
  const double LongWeight = Policy.LongWeight / std::max(0.01, Policy.ShortWeight);
  const double DelaySeconds =
      OvertakenTokens > 0 && Work.Class != length_class::Long ? Result.Uncached / Rate : 0;
  // While an engine has pending prefill, each token of an answer takes as long as a whole chunk.
  const double ChunkedSeconds = expectedAnswer(Work.Item) * Settings.Tuning.ChunkTokens / Rate;
  const double SlowdownSeconds = std::min(Pending / Rate, ChunkedSeconds);
  Result.ChoicePenalty = Result.FirstToken + LongWeight * DelaySeconds +
                         Settings.Tuning.AnswerWeight * SlowdownSeconds;
  return Result;
}

bool scheduler::isWithinPrefillLimit(const scheduled_backend &Record, const waiting_work &Work,
                                     const engine_estimate &Estimate, mono_time Now) const {
  if (Work.Item.Model.empty())
    return true;
  const double Rate = Record.Costs.prefillRate();
  if (Work.Class == length_class::Long) {
    const double Part = Estimate.Deprioritized ? Settings.Tuning.DeprioritizedFraction : 1.0;
    if (!Pool.acceptsLongWork(Work.Group, Record.key(), Part))
      return false;
    if (Record.Prefill.longPromptCount(Now, Rate) >= std::max(1U, Policy.MaxLongPerEngine))
      return false;
  }
  return Estimate.TokensAhead / Rate <= Settings.Tuning.MaxSecondsAhead[indexOf(Work.Class)];
}

bool scheduler::isWithinConcurrencyLimit(const scheduled_backend &Record, length_class Class,
                                         bool Deprioritized) const {
  const double RelativeSpeed = Record.Costs.prefillRate() / Pool.typicalRate();
  const double ClassShare = Settings.Tuning.ClassLimitFactor[indexOf(Class)];
  const double Part =
      Deprioritized ? std::min(ClassShare, Settings.Tuning.DeprioritizedFraction) : ClassShare;
  return Record.requestCount() < std::max(1.0, Concurrency.value() * RelativeSpeed * Part);
}

std::optional<scheduler::server_choice> scheduler::choose(const waiting_work &Work, mono_time Now) {
  const bool IsPlain = Work.Item.Model.empty();
  const bool Deprioritized = isDeprioritized(Work, Now);
  std::vector<scheduled_backend *> Servers = eligibleServers(Work);
  std::erase_if(Servers, [&](const scheduled_backend *Record) {
    return Pauses.isPaused(Record->key(), Now) || !canAccept(*Record, Work);
  });
  if (Servers.empty())
    return std::nullopt;
  if (!IsPlain) {
    std::erase_if(Servers, [&](const scheduled_backend *Record) {
      return !isWithinConcurrencyLimit(*Record, Work.Class, Deprioritized);
    });
    if (Servers.empty()) {
      LastLimitReached = Now;
      return std::nullopt;
    }
  }
  std::vector<server_choice> Choices;
  const std::optional<cached_prefix> Cached = Affinity.find(Work.Item.PrefixHashes);
  for (scheduled_backend *Record : Servers) {
    const engine_estimate Estimate = estimate(*Record, Work, Cached, Deprioritized, Now);
    if (isWithinPrefillLimit(*Record, Work, Estimate, Now))
      Choices.push_back({Record, Estimate});
  }
  if (Choices.empty())
    return std::nullopt;
  if (IsPlain) {
    std::map<failure_domain_name, double> Domains;
    for (const server_choice &Option : Choices)
      Domains[Option.Record->View.Announcement.Domain] += Option.Record->Outstanding;
    for (server_choice &Option : Choices)
      Option.Estimate.ChoicePenalty +=
          PlainCallSeconds * DomainShare * Domains[Option.Record->View.Announcement.Domain];
  }
  return pickNearBest(Choices, Work.Class);
}

scheduler::server_choice scheduler::pickNearBest(const std::vector<server_choice> &Choices,
                                                 length_class Class) {
  double LowestPenalty = std::numeric_limits<double>::max();
  for (const server_choice &Option : Choices)
    LowestPenalty = std::min(LowestPenalty, Option.Estimate.ChoicePenalty);
  const double MaxPenalty = LowestPenalty * (1.0 + Settings.Tuning.PenaltyTolerance) +
                            Settings.Tuning.PenaltyToleranceSeconds;
  std::vector<const server_choice *> NearBest;
  for (const server_choice &Option : Choices)
    if (Option.Estimate.ChoicePenalty <= MaxPenalty)
      NearBest.push_back(&Option);
  if (Class != length_class::Long)
    return *NearBest[Random.below(NearBest.size())];
  // Hosts that see the same free engines rank them differently: if two hosts chose one engine for a
  // long prompt each, the second prompt would wait for the whole prefill of the first.
  const std::uint64_t Host = stableHash(Settings.Host.str());
  const auto Rank = [Host](const server_choice *Option) {
    return combineHashes(Host, stableHash(Option->Record->key().Address.str()));
  };
  return **std::min_element(
      NearBest.begin(), NearBest.end(),
      [&Rank](const server_choice *A, const server_choice *B) { return Rank(A) < Rank(B); });
}

void scheduler::reserveEngineFor(const waiting_work &Work, mono_time Now) {
  // Short work would take each block that becomes free before a long prompt fits. Without the
  // reservation, the long prompt would wait until its deadline although no engine is ever full.
  ReservationRequested = true;
  if (ReservedForLong)
    return;
  const scheduled_backend *BestEngine = nullptr;
  memory_blocks BestFree;
  for (const scheduled_backend *Record : eligibleServers(Work)) {
    const memory_tracker &Memory = Record->Memory;
    const bool HasSlot = Record->Prefill.longPromptCount(Now, Record->Costs.prefillRate()) <
                         std::max(1U, Policy.MaxLongPerEngine);
    if (!HasSlot || !Pool.acceptsLongWork(Work.Group, Record->key()) ||
        !Memory.canEverFit(Record->blocksNeeded(Work.Item)))
      continue;
    const memory_blocks Free = Memory.capacity() - Memory.allocated();
    if (BestEngine == nullptr || Free > BestFree) {
      BestEngine = Record;
      BestFree = Free;
    }
  }
  if (BestEngine != nullptr && !BestEngine->Memory.fits(BestEngine->blocksNeeded(Work.Item)))
    ReservedForLong = BestEngine->key();
}

std::uint32_t scheduler::priorityOf(const waiting_work &Work, mono_time Now) {
  const std::uint32_t Base = BasePriority[indexOf(Work.Class)];
  if (isDeprioritized(Work, Now))
    return Base + DeprioritizedOffset;
  const mono_duration Allowed = Work.Item.Deadline - Work.Item.Arrived;
  const bool Aged = (Now - Work.Item.Arrived) * 2 >= Allowed;
  return Aged ? std::min(Base, AgedPriority) : Base;
}

} // namespace pollenstall

/** @file scheduler_choice.cpp Chooses the backend server for one waiting request. */
#include "scheduling/scheduler_base.h"

#include <algorithm>
#include <limits>

namespace pollenstall {
namespace {

/// Priorities passed to engines; lower runs first.
constexpr std::array<std::uint32_t, LengthClasses> BasePriority{100, 200, 300};
/// For work that has waited half its time or more: before what is longer than short.
constexpr std::uint32_t AgedPriority = 150;
/// Added for work of an account that is over its share while others wait.
constexpr std::uint32_t YieldPriority = 300;
/// What a plain call counts for another one that runs on the same server.
constexpr double PlainCallSeconds = 0.01;
/// A call in the same failure domain weighs little against one on the same server.
constexpr double DomainShare = 0.05;

std::size_t indexOf(length_class Class) { return static_cast<std::size_t>(Class); }

} // namespace

std::vector<scheduled_backend *> scheduler::usable(const waiting_work &Work) {
  const work_item &Item = Work.Item;
  std::vector<scheduled_backend *> Fresh;
  std::vector<scheduled_backend *> Tried;
  const auto Gather = [&](const group_name &Group) {
    for (scheduled_backend *Record : Pool.members(Item.Service, Group)) {
      if (!Record->active() || !Record->serves(Item))
        continue;
      const bool Avoided =
          std::find(Item.Avoid.begin(), Item.Avoid.end(), Record->key()) != Item.Avoid.end();
      (Avoided ? Tried : Fresh).push_back(Record);
    }
  };
  Gather(Work.Group);
  if (Fresh.empty())
    for (const candidate_group &Candidate : Item.Groups)
      if (Candidate.Group != Work.Group)
        Gather(Candidate.Group);
  return Fresh.empty() ? Tried : Fresh;
}

bool scheduler::yields(const waiting_work &Work, mono_time Now) {
  // The queue's order alone does not keep a large account back: the others have little waiting at
  // one entry, so it gets every place that is free at a moment when none of theirs waits, and they
  // find the engines full of work that runs for half a minute.
  if (LastFull == mono_time() || Now - LastFull >= Settings.Tuning.FullFor)
    return false;
  const client_account_name &Account = Work.Item.Account;
  const auto Known = Yielding.find(Account);
  if (Known != Yielding.end())
    return Known->second;
  const bool Over = Queue.usageAgainstShare(Account, Now) > Settings.Tuning.UsageOverShare;
  Yielding.emplace(Account, Over);
  return Over;
}

bool scheduler::mayPlace(const scheduled_backend &Record, const waiting_work &Work) const {
  if (!Pool.ejections().admits(Record.key(), Record.Outstanding))
    return false;
  if (Work.Item.Model.empty())
    return true;
  if (!Record.Memory.fits(Record.need(Work.Item)))
    return false;
  return Work.Class == length_class::Long || HeldForLong != Record.key();
}

scheduler::engine_estimate scheduler::estimate(const scheduled_backend &Record,
                                               const waiting_work &Work,
                                               const std::optional<cached_prefix> &Cached,
                                               bool Yields, mono_time Now) const {
  engine_estimate Result;
  Result.Yields = Yields;
  if (Work.Item.Model.empty()) {
    Result.FirstToken = PlainCallSeconds * (1.0 + Record.requests());
    Result.Cost = Result.FirstToken;
    return Result;
  }
  const double Rate = Record.Costs.prefillRate();
  const bool Priorities = Record.View.Announcement.Capabilities.Priorities;
  const auto Prompt = static_cast<double>(Work.Item.Prompt.value());
  if (Cached && Cached->Backend == Record.key())
    Result.CachedShare = Cached->Share;
  Result.Uncached = Prompt * (1.0 - Result.CachedShare);
  const double Pending = Record.Prefill.pending(Now, Rate);
  const bool Passes = Priorities && !Result.Yields;
  Result.Ahead = Record.Prefill.ahead(Work.Class, Passes, Now, Rate);
  const double Passed = std::max(0.0, Pending - Result.Ahead);
  Result.Ahead += std::min(Passed, Settings.Tuning.ChunkTokens);
  Result.FirstToken = Record.Costs.secondsPerStep() + (Result.Ahead + Result.Uncached) / Rate;
  // Work that is passed waits longer by this prompt's own time.
  const double LongWeight = Policy.LongWeight / std::max(0.01, Policy.ShortWeight);
  const double Delayed =
      Passed > 0 && Work.Class != length_class::Long ? Result.Uncached / Rate : 0;
  // While an engine has prefill to do, each token of an answer takes as long as a whole chunk.
  const double Chunked = expectedAnswer(Work.Item) * Settings.Tuning.ChunkTokens / Rate;
  const double Slower = std::min(Pending / Rate, Chunked);
  Result.Cost = Result.FirstToken + LongWeight * Delayed + Settings.Tuning.AnswerWeight * Slower;
  return Result;
}

bool scheduler::hasSlot(const scheduled_backend &Record, const waiting_work &Work,
                        const engine_estimate &Estimate, mono_time Now) const {
  if (Work.Item.Model.empty())
    return true;
  const double Rate = Record.Costs.prefillRate();
  if (Work.Class == length_class::Long) {
    const double Part = Estimate.Yields ? Settings.Tuning.YieldPart : 1.0;
    if (!Pool.takesLong(Work.Group, Record.key(), Part))
      return false;
    if (Record.Prefill.longs(Now, Rate) >= std::max(1U, Policy.MaxLongPerEngine))
      return false;
  }
  return Estimate.Ahead / Rate <= Settings.Tuning.SlotSeconds[indexOf(Work.Class)];
}

bool scheduler::hasRoom(const scheduled_backend &Record, length_class Class, bool Yields) const {
  const double Speed = Record.Costs.prefillRate() / Pool.typicalRate();
  const double Most = Settings.Tuning.ClassPart[indexOf(Class)];
  const double Part = Yields ? std::min(Most, Settings.Tuning.YieldPart) : Most;
  return Record.requests() < std::max(1.0, Concurrency.value() * Speed * Part);
}

std::optional<scheduler::choice> scheduler::choose(const waiting_work &Work, mono_time Now) {
  const bool IsPlain = Work.Item.Model.empty();
  const bool Yields = yields(Work, Now);
  std::vector<scheduled_backend *> Open = usable(Work);
  std::erase_if(Open, [&](const scheduled_backend *Record) { return !mayPlace(*Record, Work); });
  if (Open.empty())
    return std::nullopt;
  if (!IsPlain) {
    std::erase_if(Open, [&](const scheduled_backend *Record) {
      return !hasRoom(*Record, Work.Class, Yields);
    });
    if (Open.empty()) {
      LastFull = Now;
      return std::nullopt;
    }
  }
  std::vector<choice> Choices;
  const std::optional<cached_prefix> Cached = Affinity.find(Work.Item.PrefixHashes);
  for (scheduled_backend *Record : Open) {
    const engine_estimate Estimate = estimate(*Record, Work, Cached, Yields, Now);
    if (hasSlot(*Record, Work, Estimate, Now))
      Choices.push_back({Record, Estimate});
  }
  if (Choices.empty())
    return std::nullopt;
  if (IsPlain) {
    std::map<failure_domain_name, double> Domains;
    for (const choice &Option : Choices)
      Domains[Option.Record->View.Announcement.Domain] += Option.Record->Outstanding;
    for (choice &Option : Choices)
      Option.Estimate.Cost +=
          PlainCallSeconds * DomainShare * Domains[Option.Record->View.Announcement.Domain];
  }
  return drawNearLeast(Choices, Work.Class);
}

scheduler::choice scheduler::drawNearLeast(const std::vector<choice> &Choices, length_class Class) {
  double Least = std::numeric_limits<double>::max();
  for (const choice &Option : Choices)
    Least = std::min(Least, Option.Estimate.Cost);
  const double Border =
      Least * (1.0 + Settings.Tuning.NearEqual) + Settings.Tuning.NearEqualSeconds;
  std::vector<const choice *> Near;
  for (const choice &Option : Choices)
    if (Option.Estimate.Cost <= Border)
      Near.push_back(&Option);
  if (Class != length_class::Long)
    return *Near[Random.below(Near.size())];
  // Hosts that see the same free engines prefer different ones: two long prompts on one engine
  // would cost the second the whole prefill of the first.
  const std::uint64_t Host = stableHash(Settings.Host.str());
  const auto Rank = [Host](const choice *Option) {
    return combineHashes(Host, stableHash(Option->Record->key().Address.str()));
  };
  return **std::min_element(Near.begin(), Near.end(), [&Rank](const choice *A, const choice *B) {
    return Rank(A) < Rank(B);
  });
}

void scheduler::holdEngineFor(const waiting_work &Work, mono_time Now) {
  // Short work takes each block that becomes free before a long prompt ever fits: without a hold
  // the caller of the long prompt waits until its deadline beside engines that are never full.
  HoldWanted = true;
  if (HeldForLong)
    return;
  const scheduled_backend *Best = nullptr;
  memory_blocks BestFree;
  for (const scheduled_backend *Record : usable(Work)) {
    const memory_ledger &Memory = Record->Memory;
    const bool Slot = Record->Prefill.longs(Now, Record->Costs.prefillRate()) <
                      std::max(1U, Policy.MaxLongPerEngine);
    if (!Slot || !Pool.takesLong(Work.Group, Record->key()) ||
        !Memory.couldHold(Record->need(Work.Item)))
      continue;
    const memory_blocks Free = Memory.capacity() - Memory.taken();
    if (Best == nullptr || Free > BestFree) {
      Best = Record;
      BestFree = Free;
    }
  }
  if (Best != nullptr && !Best->Memory.fits(Best->need(Work.Item)))
    HeldForLong = Best->key();
}

std::uint32_t scheduler::priorityOf(const waiting_work &Work, mono_time Now) {
  const std::uint32_t Base = BasePriority[indexOf(Work.Class)];
  if (yields(Work, Now))
    return Base + YieldPriority;
  const mono_duration Allowed = Work.Item.Deadline - Work.Item.Arrived;
  const bool Aged = (Now - Work.Item.Arrived) * 2 >= Allowed;
  return Aged ? std::min(Base, AgedPriority) : Base;
}

} // namespace pollenstall

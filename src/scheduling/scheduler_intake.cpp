/** @file scheduler_intake.cpp Admission control: queues requests or refuses them early. */
#include "scheduling/scheduler_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

/// Sequences that share a decode step on a busy engine. The cost of a request includes its decode
/// time divided by this number.
constexpr double SequencesPerStep = 8.0;
constexpr double PlainCost = 0.01;
/// Number of hosts assumed to share the fleet until this host has learned its own rate.
constexpr double AssumedHosts = 8.0;
constexpr std::chrono::seconds MinRetryAfter = 1s;
constexpr std::chrono::seconds MaxRetryAfter = 300s;
constexpr std::chrono::seconds NoBackendRetryAfter = 5s;

double secondsUntil(mono_time Later, mono_time Now) {
  return std::chrono::duration<double>(Later - Now).count();
}

mono_duration durationFromSeconds(double Seconds) {
  return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(Seconds));
}

} // namespace

length_class scheduler::classOf(const work_item &Item) const {
  if (Item.Prompt < Policy.ShortBelow)
    return length_class::Short;
  return Item.Prompt < Policy.LongFrom ? length_class::Medium : length_class::Long;
}

double scheduler::expectedAnswer(const work_item &Item) const {
  return static_cast<double>(Item.AnswerLimit.value()) * AnswerShare;
}

double scheduler::costOf(const work_item &Item) const {
  if (Item.Model.empty())
    return PlainCost;
  const double Prefill = static_cast<double>(Item.Prompt.value()) / Pool.typicalRate();
  return Prefill + expectedAnswer(Item) * Pool.typicalStep() / SequencesPerStep;
}

double scheduler::expectedRunSeconds(const work_item &Item) const {
  if (Item.Model.empty())
    return 0;
  const double Prefill = static_cast<double>(Item.Prompt.value()) / Pool.admissionPrefillRate();
  // Most callers give no answer limit, and the default limit is far above any actual answer.
  // Counting it in full would refuse ordinary requests on an idle fleet. The concurrency limit
  // keeps a pace at which a long answer takes AnswerFraction of the allowed time, so an answer is
  // assumed to take at most that fraction.
  const double Allowed = secondsUntil(Item.Deadline, Item.Arrived);
  const double Answer = expectedAnswer(Item) * Pool.typicalStep();
  return Prefill + std::min(Answer, Allowed * Settings.Tuning.AnswerFraction);
}

std::optional<group_name> scheduler::pickGroup(const work_item &Item) {
  if (Item.Groups.empty())
    return group_name();
  const auto HasServer = [this, &Item](const candidate_group &Candidate) {
    const auto &Servers = Pool.members(Item.Service, Candidate.Group);
    return std::any_of(Servers.begin(), Servers.end(), [&Item](const scheduled_backend *Record) {
      const bool MayServe = Record->active() || (Item.Resumed && Record->Evacuated);
      return MayServe && Record->serves(Item);
    });
  };
  std::uint64_t Total = 0;
  std::vector<const candidate_group *> Available;
  for (const candidate_group &Candidate : Item.Groups) {
    if (!HasServer(Candidate))
      continue;
    Available.push_back(&Candidate);
    Total += Candidate.Weight;
  }
  if (Available.empty())
    return std::nullopt;
  std::uint64_t Remaining = Random.below(Total);
  for (const candidate_group *Candidate : Available) {
    if (Remaining < Candidate->Weight)
      return Candidate->Group;
    Remaining -= Candidate->Weight;
  }
  return Available.front()->Group; // Every weight is 0.
}

std::optional<work_refusal> scheduler::checkFleet(const work_item &Item) {
  if (!HasDeclaration)
    return work_refusal{failure_reason::NotReady, NoBackendRetryAfter};
  bool IsServed = false;
  bool CanFit = false;
  const auto CheckGroup = [&](const group_name &Group) {
    for (const scheduled_backend *Record : Pool.members(Item.Service, Group)) {
      if (!Record->serves(Item))
        continue;
      IsServed = true;
      CanFit = CanFit || Record->Memory.canEverFit(Record->blocksNeeded(Item));
    }
  };
  if (Item.Groups.empty())
    CheckGroup(group_name());
  for (const candidate_group &Candidate : Item.Groups)
    CheckGroup(Candidate.Group);
  if (!IsServed)
    return work_refusal{failure_reason::NoBackend, NoBackendRetryAfter};
  if (!CanFit)
    return work_refusal{failure_reason::TooLargeForFleet, std::nullopt};
  return std::nullopt;
}

double scheduler::assumedPlacementRate(const work_item &Item, length_class Class) {
  std::size_t Engines = 0;
  const auto Count = [&](const group_name &Group) {
    for (const scheduled_backend *Record : Pool.members(Item.Service, Group))
      if (Record->active())
        ++Engines;
  };
  if (Item.Groups.empty())
    Count(group_name());
  for (const candidate_group &Candidate : Item.Groups)
    Count(Candidate.Group);
  const double Part = Class == length_class::Long ? Policy.LongEngineShare : 1.0;
  return static_cast<double>(Engines) * Part / AssumedHosts;
}

double scheduler::queueWaitSeconds(const waiting_work &Work, mono_time Now) {
  const double CostAhead = Queue.costAhead(Work.Item.Account, Work.Class);
  return PlacedCosts.expectedWaitSeconds(Work.Class, CostAhead,
                                         assumedPlacementRate(Work.Item, Work.Class), Now);
}

void scheduler::recordRequiredPace(const work_item &Item) {
  // A long answer is assumed to have twice the expected length. The allowed length is usually a
  // default far above any actual answer.
  const double LongAnswer = 2.0 * expectedAnswer(Item);
  if (Item.Model.empty() || LongAnswer < 1.0)
    return;
  const double Allowed = secondsUntil(Item.Deadline, Item.Arrived);
  Concurrency.observeRequiredPace(Allowed * Settings.Tuning.AnswerFraction / LongAnswer);
}

std::chrono::seconds scheduler::retryAfter(const waiting_work &Work, mono_time Now) {
  // The caller's retry gets the same time limit as this request, so only the part of the wait that
  // exceeds the limit has to pass first.
  const double Allowed = secondsUntil(Work.Item.Deadline, Work.Item.Arrived);
  const double ExcessSeconds =
      queueWaitSeconds(Work, Now) + expectedRunSeconds(Work.Item) - Allowed;
  const auto WaitTime = std::chrono::seconds(static_cast<std::int64_t>(std::ceil(
      std::clamp(ExcessSeconds, 0.0, std::chrono::duration<double>(MaxRetryAfter).count()))));
  return std::clamp(WaitTime + MinRetryAfter, MinRetryAfter, MaxRetryAfter);
}

std::variant<done, work_refusal> scheduler::submit(work_item Item, mono_time Now) {
  if (std::optional<work_refusal> Refusal = checkFleet(Item))
    return *Refusal;
  const bool Evacuated = isEvacuated(Item);
  if (Evacuated && !Item.Resumed)
    return work_refusal{failure_reason::NoBackend, evacuationRetryAfter(Item.Deadline - Now)};
  const std::optional<group_name> Group = pickGroup(Item);
  if (!Group)
    return work_refusal{failure_reason::NoBackend, NoBackendRetryAfter};
  const length_class Class = classOf(Item);
  const double Cost = costOf(Item);
  const mono_time LatestStart = Item.Deadline - durationFromSeconds(expectedRunSeconds(Item));
  waiting_work Work{std::move(Item), Class, *Group, Cost, LatestStart};
  ArrivedCosts.add(Class, Cost, Now);
  recordRequiredPace(Work.Item);
  // A stream that waits for the restore has no time that could be estimated.
  if (!Evacuated && Now + durationFromSeconds(queueWaitSeconds(Work, Now)) > LatestStart)
    return work_refusal{failure_reason::DeadlineUnmeetable, retryAfter(Work, Now)};
  const std::chrono::seconds RetryAfter = retryAfter(Work, Now);
  switch (Queue.push(std::move(Work))) {
  case enqueue_status::QueueFull:
    return work_refusal{failure_reason::QueueFull, RetryAfter};
  case enqueue_status::AccountLimit:
    return work_refusal{failure_reason::AccountLimit, RetryAfter};
  case enqueue_status::Accepted:
    break;
  }
  NextWake = Now;
  return done{};
}

} // namespace pollenstall

/** @file scheduler_intake.cpp Takes requests in, or refuses those that could not run in time. */
#include "scheduling/scheduler_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

/// Sequences that share a decode step on a busy engine; sets decode against prefill in a cost.
constexpr double SharedSteps = 8.0;
constexpr double PlainCost = 0.01;
/// Hosts assumed to share the fleet until this host has learnt its own rate.
constexpr double AssumedHosts = 8.0;
constexpr std::chrono::seconds LeastRetryAfter = 1s;
constexpr std::chrono::seconds GreatestRetryAfter = 300s;
constexpr std::chrono::seconds NoBackendRetryAfter = 5s;

double secondsUntil(mono_time Then, mono_time Now) {
  return std::chrono::duration<double>(Then - Now).count();
}

mono_duration spanOf(double Seconds) {
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
  return Prefill + expectedAnswer(Item) * Pool.typicalStep() / SharedSteps;
}

double scheduler::runSeconds(const work_item &Item) const {
  if (Item.Model.empty())
    return 0;
  const double Prefill = static_cast<double>(Item.Prompt.value()) / Pool.refusalRate();
  // Most callers name no answer limit, so that a default far beyond any answer stands for it.
  // Counted in full it refuses an idle fleet's plainest requests. The concurrency is held to a pace
  // at which a long answer takes this part of the time allowed, so that no more need be set aside.
  const double Allowed = secondsUntil(Item.Deadline, Item.Arrived);
  const double Answer = expectedAnswer(Item) * Pool.typicalStep();
  return Prefill + std::min(Answer, Allowed * Settings.Tuning.AnswerPart);
}

std::optional<group_name> scheduler::drawGroup(const work_item &Item) {
  if (Item.Groups.empty())
    return group_name();
  const auto HasServer = [this, &Item](const candidate_group &Candidate) {
    const auto &Servers = Pool.members(Item.Service, Candidate.Group);
    return std::any_of(Servers.begin(), Servers.end(), [&Item](const scheduled_backend *Record) {
      return Record->active() && Record->serves(Item);
    });
  };
  std::uint64_t Total = 0;
  std::vector<const candidate_group *> Open;
  for (const candidate_group &Candidate : Item.Groups) {
    if (!HasServer(Candidate))
      continue;
    Open.push_back(&Candidate);
    Total += Candidate.Weight;
  }
  if (Open.empty())
    return std::nullopt;
  std::uint64_t Draw = Random.below(Total);
  for (const candidate_group *Candidate : Open) {
    if (Draw < Candidate->Weight)
      return Candidate->Group;
    Draw -= Candidate->Weight;
  }
  return Open.front()->Group; // Every weight is 0: these are what is left.
}

std::optional<work_refusal> scheduler::refusalByFleet(const work_item &Item) {
  if (!Declared)
    return work_refusal{failure_reason::NotReady, NoBackendRetryAfter};
  bool Serves = false;
  bool CouldHold = false;
  const auto Look = [&](const group_name &Group) {
    for (const scheduled_backend *Record : Pool.members(Item.Service, Group)) {
      if (!Record->serves(Item))
        continue;
      Serves = true;
      CouldHold = CouldHold || Record->Memory.couldHold(Record->need(Item));
    }
  };
  if (Item.Groups.empty())
    Look(group_name());
  for (const candidate_group &Candidate : Item.Groups)
    Look(Candidate.Group);
  if (!Serves)
    return work_refusal{failure_reason::NoBackend, NoBackendRetryAfter};
  if (!CouldHold)
    return work_refusal{failure_reason::TooLargeForFleet, std::nullopt};
  return std::nullopt;
}

double scheduler::engineRate(const work_item &Item, length_class Class) {
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

double scheduler::waitSeconds(const waiting_work &Work, mono_time Now) {
  const double Ahead = Queue.costAhead(Work.Item.Account, Work.Class);
  return Placed.wait(Work.Class, Ahead, engineRate(Work.Item, Work.Class), Now);
}

void scheduler::needPace(const work_item &Item) {
  // Twice the usual length stands for a long answer; the allowed length is mostly a default far
  // beyond any answer.
  const double LongAnswer = 2.0 * expectedAnswer(Item);
  if (Item.Model.empty() || LongAnswer < 1.0)
    return;
  const double Allowed = secondsUntil(Item.Deadline, Item.Arrived);
  Concurrency.need(Allowed * Settings.Tuning.AnswerPart / LongAnswer);
}

std::chrono::seconds scheduler::retryAfter(const waiting_work &Work, mono_time Now) {
  // The caller's next send gets as much time as this one had, so what must pass first is the part
  // of the wait that does not fit into it.
  const double Allowed = secondsUntil(Work.Item.Deadline, Work.Item.Arrived);
  const double Excess = waitSeconds(Work, Now) + runSeconds(Work.Item) - Allowed;
  const auto Whole = std::chrono::seconds(static_cast<std::int64_t>(std::ceil(
      std::clamp(Excess, 0.0, std::chrono::duration<double>(GreatestRetryAfter).count()))));
  return std::clamp(Whole + LeastRetryAfter, LeastRetryAfter, GreatestRetryAfter);
}

std::variant<done, work_refusal> scheduler::submit(work_item Item, mono_time Now) {
  if (std::optional<work_refusal> Refusal = refusalByFleet(Item))
    return *Refusal;
  const std::optional<group_name> Group = drawGroup(Item);
  if (!Group)
    return work_refusal{failure_reason::NoBackend, NoBackendRetryAfter};
  const length_class Class = classOf(Item);
  const double Cost = costOf(Item);
  const mono_time LatestStart = Item.Deadline - spanOf(runSeconds(Item));
  waiting_work Work{std::move(Item), Class, *Group, Cost, LatestStart};
  Arrivals.add(Class, Cost, Now);
  needPace(Work.Item);
  if (Now + spanOf(waitSeconds(Work, Now)) > LatestStart)
    return work_refusal{failure_reason::DeadlineUnmeetable, retryAfter(Work, Now)};
  const std::chrono::seconds RetryAfter = retryAfter(Work, Now);
  switch (Queue.push(std::move(Work))) {
  case queue_verdict::QueueFull:
    return work_refusal{failure_reason::QueueFull, RetryAfter};
  case queue_verdict::AccountLimit:
    return work_refusal{failure_reason::AccountLimit, RetryAfter};
  case queue_verdict::Accepted:
    break;
  }
  NextWake = Now;
  return done{};
}

} // namespace pollenstall

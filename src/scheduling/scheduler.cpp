/** @file scheduler.cpp Polls: class order, placements, expiries and periodic reviews. */
#include "scheduling/scheduler_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr mono_duration ReviewInterval = 250ms;
/// Maximum number of waiting requests of a class to try per round: enough to reach requests behind
/// those that a full group blocks, and few enough that a round does not take longer as the queue
/// grows.
constexpr std::size_t TriesPerAccount = 4;
constexpr std::size_t TriesPerClass = 64;
/// An engine is reserved for a long prompt that has waited for this part of its reference wait.
constexpr double ReserveEngineAfter = 0.25;

double secondsBetween(mono_time From, mono_time To) {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

scheduler::scheduler(scheduler_settings InitialSettings)
    : Settings(std::move(InitialSettings)),
      Random(combineHashes(Settings.Seed, stableHash(Settings.Host.str()))),
      Affinity(Settings.Tuning.MaxPrefixHashes) {}

void scheduler::applyDeclaration(const fleet_declaration &Declaration) {
  HasDeclaration = true;
  Policy = Declaration.Policy;
  Limits = Declaration.Limits;
  Queue.setQueueLimit(Limits.MaxQueued);
  Queue.dropIdleAccounts();
  for (const account_declaration &Account : Declaration.Accounts)
    Queue.setAccount(Account.Name, Account.Share, Account.MaxQueued);
  Pool.applyDeclaration(Declaration);
  NextReview = mono_time();
}

void scheduler::updateBackend(const backend_view &View, mono_time Now) {
  const scheduled_backend *Previous = Pool.find(View.Announcement.Key);
  const bool NewReport = Previous == nullptr || Previous->View.Load.Sequence != View.Load.Sequence;
  const bool StatusChanged = Previous == nullptr || Previous->View.Status != View.Status;
  scheduled_backend &Record = Pool.update(View, Now);
  if (NewReport && View.Load.Sequence > 0)
    updateTrackers(Record);
  if (StatusChanged)
    NextReview = mono_time();
  if (!Queue.empty())
    NextWake = Now;
}

void scheduler::removeBackend(const backend_key &Backend, mono_time Now) {
  for (auto Entry = OpenPlacements.begin(); Entry != OpenPlacements.end();) {
    const auto Current = Entry++;
    if (Current->second.Backend == Backend)
      closePlacement(Current);
  }
  Pool.remove(Backend);
  Affinity.eraseBackend(Backend);
  NextReview = mono_time();
  NextWake = Now;
}

void scheduler::withdraw(request_number Request) {
  Queue.withdraw(Request);
  const auto Found = Unstarted.find(Request);
  if (Found != Unstarted.end())
    closePlacement(OpenPlacements.find(Found->second));
}

poll_outcome scheduler::poll(mono_time Now) {
  poll_outcome Outcome;
  expireUnstarted(Now);
  reviewServers(Now, Outcome);
  expireLate(Now, Outcome);
  Unplaceable.clear();
  IsOverShareCache.clear();
  ReservationRequested = false;
  while (placeNext(Now, Outcome)) {
  }
  if (!ReservationRequested)
    ReservedForLong.reset();
  NextWake.reset();
  if (!Queue.empty())
    NextWake = Now + Settings.Tuning.PollInterval;
  return Outcome;
}

void scheduler::expireUnstarted(mono_time Now) {
  // If a request is abandoned without withdraw(), its placement would keep its memory reserved
  // forever. After the deadline no attempt is started any more, and as none was started before, the
  // engine holds no memory for it.
  for (auto Entry = Unstarted.begin(); Entry != Unstarted.end();) {
    const auto Placement = OpenPlacements.find((Entry++)->second);
    if (Placement->second.Deadline < Now)
      closePlacement(Placement);
  }
}

void scheduler::reviewServers(mono_time Now, poll_outcome &Outcome) {
  if (Now < NextReview)
    return;
  NextReview = Now + ReviewInterval;
  recordStalledAttempts(Now);
  Concurrency.adjust(LastLimitReached != mono_time() &&
                     Now - LastLimitReached < 2 * ReviewInterval);
  Pool.updateEjections(Limits.EjectPercent, Now);
  Pool.selectLongEngines(Policy.LongEngineShare, ArrivedCosts.longShare(Now));
  refuseEvacuated(Now, Outcome);
}

void scheduler::expireLate(mono_time Now, poll_outcome &Outcome) {
  for (const waiting_work &Work : Queue.removeExpired(Now)) {
    const work_refusal Refusal{failure_reason::DeadlineUnmeetable, retryAfter(Work, Now)};
    Outcome.Expiries.push_back({Work.Item.Request, Refusal});
  }
}

std::array<length_class, LengthClassCount> scheduler::classOrder(mono_time Now) const {
  std::array<length_class, LengthClassCount> Order{length_class::Short, length_class::Medium,
                                                   length_class::Long};
  std::array<double, LengthClassCount> WaitRatio{};
  for (const length_class Class : Order) {
    const auto Index = static_cast<std::size_t>(Class);
    const std::optional<mono_time> Oldest = Queue.oldestArrival(Class);
    double ReferenceWait = Settings.Tuning.ReferenceWait[Index];
    if (Class == length_class::Long)
      ReferenceWait *= Policy.ShortWeight / std::max(0.01, Policy.LongWeight);
    if (Oldest)
      WaitRatio[Index] = secondsBetween(*Oldest, Now) / ReferenceWait;
  }
  std::stable_sort(Order.begin(), Order.end(), [&WaitRatio](length_class A, length_class B) {
    return WaitRatio[static_cast<std::size_t>(A)] > WaitRatio[static_cast<std::size_t>(B)];
  });
  return Order;
}

bool scheduler::placeNext(mono_time Now, poll_outcome &Outcome) {
  for (const length_class Class : classOrder(Now))
    if (placeNextOf(Class, Now, Outcome))
      return true;
  return false;
}

bool scheduler::placeNextOf(length_class Class, mono_time Now, poll_outcome &Outcome) {
  for (const waiting_work *Work : Queue.candidates(Class, TriesPerAccount, TriesPerClass)) {
    const bool Deprioritized = isDeprioritized(*Work, Now);
    const work_kind Kind{Work->Item.Service, Work->Item.Model, Work->Group, Class, Deprioritized};
    const auto Previous = Unplaceable.find(Kind);
    if (Previous != Unplaceable.end() && Previous->second <= Work->Item.Prompt)
      continue;
    const std::optional<server_choice> Choice = choose(*Work, Now);
    if (!Choice) {
      if (Work->Item.Avoid.empty())
        Unplaceable[Kind] = Work->Item.Prompt;
      const double Waited = secondsBetween(Work->Item.Arrived, Now);
      if (Class == length_class::Long &&
          Waited >
              ReserveEngineAfter * Settings.Tuning.ReferenceWait[static_cast<std::size_t>(Class)])
        reserveEngineFor(*Work, Now);
      continue;
    }
    const std::uint32_t Priority = priorityOf(*Work, Now);
    const std::optional<waiting_work> PlacedWork = Queue.place(Work->Item.Request, Now);
    const placement_id PlacementId = openPlacement(*PlacedWork, *Choice, Now);
    Unstarted[PlacedWork->Item.Request] = PlacementId;
    PlacedCosts.add(Class, PlacedWork->Cost, Now);
    const mono_duration Expected = OpenPlacements.at(PlacementId).Expected;
    Outcome.Placements.push_back(
        {PlacedWork->Item.Request, Choice->Record->key(), Priority, Expected});
    return true;
  }
  return false;
}

scheduler_builder &scheduler_builder::seed(std::uint64_t Seed) {
  Settings.Seed = Seed;
  return *this;
}

scheduler_builder &scheduler_builder::host(host_name Name) {
  Settings.Host = std::move(Name);
  return *this;
}

scheduler_builder &scheduler_builder::tuning(const scheduler_tuning &Tuning) {
  Settings.Tuning = Tuning;
  return *this;
}

} // namespace pollenstall

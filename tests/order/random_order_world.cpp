/** @file random_order_world.cpp Events of the randomised run. */
#include "random_order_world.h"

#include "order_sample.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t LeaderCount = 3;
constexpr seconds FaultPhase{20};
constexpr seconds QuietPhase{10};
constexpr milliseconds Tick{20};
constexpr milliseconds LeaseDuration{1000};
constexpr milliseconds ReadInterval{60};
constexpr milliseconds NetworkDelay{15};
/// Longer than a lease, so that the check before the write can happen at any point of a lease.
constexpr milliseconds SlowConnect{1200};
constexpr milliseconds LongFreeze{4000};

order_planner_options plannerOptions() {
  order_planner_options PlannerOptions;
  PlannerOptions.Loads = {4, 1200};
  PlannerOptions.LoadTimeout = seconds(1);
  PlannerOptions.RetryDelay = milliseconds(200);
  PlannerOptions.MaxStateAge = milliseconds(500);
  PlannerOptions.StateReadTimeout = milliseconds(800);
  return PlannerOptions;
}

} // namespace

order_world_counts &order_world_counts::operator+=(const order_world_counts &Other) {
  Steps += Other.Steps;
  Terms += Other.Terms;
  OrdersApplied += Other.OrdersApplied;
  EngineFenceRefusals += Other.EngineFenceRefusals;
  GateRefusalsAtWrite += Other.GateRefusalsAtWrite;
  Unanswered += Other.Unanswered;
  return *this;
}

random_order_world::random_order_world(std::uint64_t Seed, const order_world_options &WorldOptions)
    : Random(Seed), Options(WorldOptions), FaultsEnd(Now + FaultPhase), LeaseEnd(Now) {
  order_gate_options GateOptions;
  GateOptions.LeaseMargin = Options.LeaseMargin ? DefaultGateOptions.LeaseMargin : mono_duration{};
  GateOptions.NewLeaderDelay =
      Options.NewLeaderDelay ? DefaultGateOptions.NewLeaderDelay : mono_duration{};
  const std::vector<std::string> Domains{"accra-a", "accra-a", "accra-b", "accra-b", "accra-c"};
  for (std::size_t Index = 0; Index < Domains.size(); ++Index) {
    const order_check Orders = Index % 2 == 0 ? order_check::Unfenced : order_check::Fenced;
    const engine_state State = sampleEngine(Index, Domains[Index], Orders);
    Engines[State.Key] = {State, fencing_token()};
  }
  changeDeclaration();
  for (std::size_t Index = 0; Index < LeaderCount; ++Index) {
    Leaders.push_back(std::make_unique<leader>(plannerOptions(), GateOptions));
    at(Now + randomUpTo(Tick), [this, Index] { tick(Index); });
  }
  at(Now, [this] { injectFault(); });
}

std::vector<std::string> random_order_world::run() {
  const mono_time End = FaultsEnd + QuietPhase;
  while (!Events.empty() && Events.begin()->first <= End && Violations.empty()) {
    const auto Next = Events.extract(Events.begin());
    Now = std::max(Now, Next.key());
    ++Counts.Steps;
    Next.mapped()();
  }
  if (Violations.empty())
    checkDeclared();
  return Violations;
}

mono_duration random_order_world::randomUpTo(mono_duration Bound) {
  return mono_duration(
      static_cast<mono_duration::rep>(Random.below(static_cast<std::uint64_t>(Bound.count()))));
}

mono_duration random_order_world::nearBound(mono_duration Bound) {
  return Random.chance(0.5) ? randomUpTo(Bound) : Bound - randomUpTo(Bound / 10) - milliseconds(1);
}

void random_order_world::runInProcess(std::size_t LeaderIndex, mono_duration Delay, step Step) {
  at(Now + Delay, [this, LeaderIndex, Step = std::move(Step)] {
    if (Now < Leaders[LeaderIndex]->FrozenUntil)
      return runInProcess(
          LeaderIndex, Leaders[LeaderIndex]->FrozenUntil - Now + randomUpTo(milliseconds(1)), Step);
    Step();
  });
}

void random_order_world::injectFault() {
  if (Now >= FaultsEnd)
    return;
  // Mostly hits the leader, since faults of a follower have no effect.
  leader &Target = *Leaders[Random.chance(0.7) ? LeaseHolder : Random.below(LeaderCount)];
  if (Random.chance(0.35))
    Target.FrozenUntil = std::min(Now + randomUpTo(LongFreeze), FaultsEnd);
  if (Random.chance(0.35))
    Target.PartitionedUntil = std::min(Now + randomUpTo(LongFreeze), FaultsEnd);
  if (Random.chance(0.6))
    changeDeclaration();
  at(Now + randomUpTo(milliseconds(1500)), [this] { injectFault(); });
}

void random_order_world::changeDeclaration() {
  const std::string Version = std::to_string(Random.below(3));
  placement NewPlacement =
      samplePlacement(Version, 1 + static_cast<std::uint32_t>(Random.below(4)));
  NewPlacement.Spread = Random.chance(0.5) ? copy_spread::Domains : copy_spread::None;
  Declared = {NewPlacement};
}

void random_order_world::renewLease(std::size_t LeaderIndex) {
  leader &Leader = *Leaders[LeaderIndex];
  if (reachesLog(Leader) && LeaderIndex != LeaseHolder)
    Leader.Lease.Valid = false;
  const bool CanBeElected = Now > LeaseEnd && Now >= Leader.CandidateFrom;
  if (!reachesLog(Leader) || (LeaderIndex != LeaseHolder && !CanBeElected))
    return;
  if (LeaderIndex != LeaseHolder || Now >= LeaseEnd) {
    LeaseHolder = LeaderIndex;
    Term = Term.next();
    ++Counts.Terms;
  }
  Leader.CandidateFrom = Now + randomUpTo(milliseconds(300));
  LeaseEnd = Now + LeaseDuration;
  Leader.Lease = {Term, Now, LeaseEnd, true};
}

void random_order_world::refreshLease(leader &Leader) {
  Leader.Lease.Valid = Leader.Lease.Valid && Now < Leader.Lease.End;
  Leader.Gate.updateLease(Leader.Lease, Now);
}

void random_order_world::tick(std::size_t LeaderIndex) {
  leader &Leader = *Leaders[LeaderIndex];
  renewLease(LeaderIndex);
  refreshLease(Leader);
  if (Leader.Lease.Valid && Leader.PlannerTerm != Leader.Lease.Term) {
    Leader.PlannerTerm = Leader.Lease.Term;
    LastFence = LastFence.next();
    Leader.Planner.beginTerm(LastFence, Now);
  }
  if (Leader.Lease.Valid) {
    if (reachesLog(Leader))
      Leader.Planner.setPlacements(Declared);
    readStates(LeaderIndex);
    sendOrders(LeaderIndex);
  }
  runInProcess(LeaderIndex, Tick, [this, LeaderIndex] { tick(LeaderIndex); });
}

void random_order_world::readStates(std::size_t LeaderIndex) {
  leader &Leader = *Leaders[LeaderIndex];
  for (auto &[Key, Engine] : Engines) {
    engine_state Announced = Engine.State;
    Announced.Loaded.clear();
    Leader.Planner.updateAnnouncement(Announced, Now);
    if (Now < Leader.NextRead[Key])
      continue;
    Leader.NextRead[Key] = Now + ReadInterval;
    const mono_time RequestedAt = Now;
    at(Now + randomUpTo(NetworkDelay),
       [this, LeaderIndex, RequestedAt, Key = Key, PlannerTerm = Leader.PlannerTerm] {
         const engine_state State = Engines[Key].State;
         runInProcess(LeaderIndex, randomUpTo(NetworkDelay),
                      [this, LeaderIndex, RequestedAt, Key, PlannerTerm, State] {
                        leader &Reader = *Leaders[LeaderIndex];
                        if (Reader.PlannerTerm != PlannerTerm)
                          return;
                        refreshLease(Reader);
                        if (Reader.Gate.recordStateRead(Key, RequestedAt))
                          Reader.Planner.updateState(Key, State.Loaded, State.Fence, RequestedAt);
                      });
       });
  }
}

void random_order_world::sendOrders(std::size_t LeaderIndex) {
  leader &Leader = *Leaders[LeaderIndex];
  if (!reachesLog(Leader))
    return;
  for (const planned_order &Order : Leader.Planner.plan(Now)) {
    if (Leader.Gate.refusal(Order.Engine, Leader.PlannerTerm) ||
        Leader.OrdersInFlight.count(Order.Engine) > 0)
      continue;
    LastFence = LastFence.next();
    Leader.OrdersInFlight[Order.Engine] = LastFence;
    Leader.Planner.startOrder(Order, Now);
    const bool Slow = Random.chance(0.3);
    const mono_duration Connect = Slow ? randomUpTo(SlowConnect) : randomUpTo(NetworkDelay);
    // Partitions the leader while an order waits for its write, so that a successor is elected.
    if (Slow && Now < FaultsEnd && Random.chance(0.3))
      Leader.PartitionedUntil = std::min(Now + LongFreeze, FaultsEnd);
    runInProcess(LeaderIndex, Connect,
                 [this, LeaderIndex, Order, Fence = LastFence, PlannedTerm = Leader.PlannerTerm] {
                   onConnected(LeaderIndex, Order, Fence, PlannedTerm);
                 });
  }
}

void random_order_world::onConnected(std::size_t LeaderIndex, const planned_order &Order,
                                     fencing_token Fence, leader_term PlannedTerm) {
  leader &Leader = *Leaders[LeaderIndex];
  refreshLease(Leader);
  if (Leader.Gate.refusal(Order.Engine, PlannedTerm)) {
    ++Counts.GateRefusalsAtWrite;
    Leader.Planner.finishOrder(Order, order_outcome::NotSent, Now);
    Leader.OrdersInFlight.erase(Order.Engine);
    return;
  }
  Leader.Gate.beginWrite(Order.Engine, PlannedTerm);
  const bool ChecksFences = Engines[Order.Engine].State.OrderCheck == order_check::Fenced;
  const bool FrozenBriefly = Random.chance(0.3);
  const bool FrozenLong = ChecksFences && Now < FaultsEnd && Random.chance(0.1);
  const mono_duration Pause =
      FrozenLong ? randomUpTo(LongFreeze)
                 : (FrozenBriefly ? nearBound(DefaultGateOptions.LeaseMargin) : mono_duration{});
  Leader.FrozenUntil = std::max(Leader.FrozenUntil, Now + Pause);
  const mono_duration Transit =
      Random.chance(0.4) ? nearBound(DefaultGateOptions.MaxTimeInFlight) : randomUpTo(NetworkDelay);
  at(Now + Pause + Transit,
     [this, LeaderIndex, Order, Fence] { onOrderArrival(LeaderIndex, Order, Fence); });
  runInProcess(LeaderIndex, Pause + DefaultGateOptions.MaxTimeInFlight / 2,
               [this, LeaderIndex, Order, Fence] {
                 onAnswer(LeaderIndex, Order, Fence, order_outcome::Unknown);
               });
}

void random_order_world::onOrderArrival(std::size_t LeaderIndex, const planned_order &Order,
                                        fencing_token Fence) {
  fake_engine &Engine = Engines[Order.Engine];
  order_outcome Outcome = order_outcome::Done;
  const bool ChecksFences =
      Options.EnginesCheckFencing && Engine.State.OrderCheck == order_check::Fenced;
  if (ChecksFences && Fence < Engine.State.Fence) {
    ++Counts.EngineFenceRefusals;
    Outcome = order_outcome::Refused;
  } else {
    apply(Engine, Order, Fence);
  }
  if (Now < FaultsEnd && Random.chance(0.2))
    return;
  runInProcess(LeaderIndex, randomUpTo(NetworkDelay), [this, LeaderIndex, Order, Outcome, Fence] {
    onAnswer(LeaderIndex, Order, Fence, Outcome);
  });
}

void random_order_world::onAnswer(std::size_t LeaderIndex, const planned_order &Order,
                                  fencing_token Fence, order_outcome Outcome) {
  leader &Leader = *Leaders[LeaderIndex];
  const auto InFlight = Leader.OrdersInFlight.find(Order.Engine);
  if (InFlight == Leader.OrdersInFlight.end() || InFlight->second != Fence)
    return;
  Leader.OrdersInFlight.erase(InFlight);
  Counts.Unanswered += Outcome == order_outcome::Unknown ? 1 : 0;
  refreshLease(Leader);
  Leader.Gate.endWrite(Order.Engine, Outcome);
  Leader.Planner.finishOrder(Order, Outcome, Now);
}

void random_order_world::apply(fake_engine &Engine, const planned_order &Order,
                               fencing_token Fence) {
  if (Fence < Engine.NewestFence)
    Violations.push_back("order " + std::to_string(Fence.value()) + " took effect after " +
                         std::to_string(Engine.NewestFence.value()) + " on " +
                         Order.Engine.Address.str());
  Engine.NewestFence = std::max(Engine.NewestFence, Fence);
  Engine.State.Fence = Engine.NewestFence;
  ++Counts.OrdersApplied;
  if (Order.Kind == order_kind::Unload)
    Engine.State.Loaded.erase(Order.Copy);
  else
    Engine.State.Loaded.insert(Order.Copy);
  checkServing();
}

void random_order_world::checkServing() {
  const bool IsServing = std::any_of(Engines.begin(), Engines.end(), [](const auto &KeyAndEngine) {
    return !KeyAndEngine.second.State.Loaded.empty();
  });
  if (HasServed && !IsServing)
    Violations.emplace_back("the last serving copy was unloaded");
  HasServed = HasServed || IsServing;
}

void random_order_world::checkDeclared() {
  const placement &Placement = Declared.front();
  std::uint32_t Copies = 0;
  for (const auto &[Key, Engine] : Engines)
    for (const versioned_model &Copy : Engine.State.Loaded) {
      Copies += Copy == Placement.Copy ? 1 : 0;
      if (Copy != Placement.Copy)
        Violations.push_back(Key.Address.str() + " still holds version " + Copy.Version.str());
    }
  if (Copies != Placement.Copies)
    Violations.push_back(std::to_string(Copies) + " copies instead of " +
                         std::to_string(Placement.Copies));
}

} // namespace pollenstall

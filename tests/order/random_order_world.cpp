/** @file random_order_world.cpp The events of the randomised run. */
#include "random_order_world.h"

#include "order_sample.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t LeaderCount = 3;
constexpr seconds FaultTime{20};
constexpr seconds QuietTime{10};
constexpr milliseconds Tick{20};
constexpr milliseconds LeaseSpan{1000};
constexpr milliseconds ReadInterval{60};
constexpr milliseconds NetworkDelay{15};
/// Longer than a lease, so that the check before the write falls on every moment of it.
constexpr milliseconds SlowConnect{1200};
constexpr milliseconds LongFreeze{4000};

order_planner_limits worldLimits() {
  order_planner_limits Limits;
  Limits.Loads = {4, 1200};
  Limits.LoadTimeout = seconds(1);
  Limits.RetryAfter = milliseconds(200);
  Limits.MaxStateAge = milliseconds(500);
  Limits.ReadPatience = milliseconds(800);
  return Limits;
}

} // namespace

order_world_counts &order_world_counts::operator+=(const order_world_counts &Other) {
  Steps += Other.Steps;
  Offices += Other.Offices;
  Effects += Other.Effects;
  FenceRefusals += Other.FenceRefusals;
  HeldAtWrite += Other.HeldAtWrite;
  Unanswered += Other.Unanswered;
  return *this;
}

random_order_world::random_order_world(std::uint64_t Seed, const order_world_options &Given)
    : Random(Seed), Options(Given), FaultsEnd(Now + FaultTime), LeaseEnd(Now) {
  order_gate_times Kept;
  Kept.LeaseMargin = Options.LeaseMargin ? Times.LeaseMargin : mono_duration{};
  Kept.SuccessorWait = Options.SuccessorWait ? Times.SuccessorWait : mono_duration{};
  const std::vector<std::string> Domains{"accra-a", "accra-a", "accra-b", "accra-b", "accra-c"};
  for (std::size_t I = 0; I < Domains.size(); ++I) {
    const order_check Orders = I % 2 == 0 ? order_check::Unfenced : order_check::Fenced;
    const engine_state State = sampleEngine(I, Domains[I], Orders);
    Engines[State.Key] = {State, fencing_token()};
  }
  change();
  for (std::size_t I = 0; I < LeaderCount; ++I) {
    Leaders.push_back(std::make_unique<leader>(worldLimits(), Kept));
    at(Now + upTo(Tick), [this, I] { tick(I); });
  }
  at(Now, [this] { disturb(); });
}

std::vector<std::string> random_order_world::run() {
  const mono_time End = FaultsEnd + QuietTime;
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

mono_duration random_order_world::upTo(mono_duration Bound) {
  return mono_duration(
      static_cast<mono_duration::rep>(Random.below(static_cast<std::uint64_t>(Bound.count()))));
}

mono_duration random_order_world::mostOf(mono_duration Bound) {
  return Random.chance(0.5) ? upTo(Bound) : Bound - upTo(Bound / 10) - milliseconds(1);
}

void random_order_world::inProcess(std::size_t Who, mono_duration Delay, step Do) {
  at(Now + Delay, [this, Who, Do = std::move(Do)] {
    if (Now < Leaders[Who]->FrozenUntil)
      return inProcess(Who, Leaders[Who]->FrozenUntil - Now + upTo(milliseconds(1)), Do);
    Do();
  });
}

void random_order_world::disturb() {
  if (Now >= FaultsEnd)
    return;
  // Whoever leads is hit most often: nothing is learnt from stopping a follower.
  leader &Hit = *Leaders[Random.chance(0.7) ? Holder : Random.below(LeaderCount)];
  if (Random.chance(0.35))
    Hit.FrozenUntil = std::min(Now + upTo(LongFreeze), FaultsEnd);
  if (Random.chance(0.35))
    Hit.CutUntil = std::min(Now + upTo(LongFreeze), FaultsEnd);
  if (Random.chance(0.6))
    change();
  at(Now + upTo(milliseconds(1500)), [this] { disturb(); });
}

void random_order_world::change() {
  const std::string Version = std::to_string(Random.below(3));
  placement All = samplePlacement(Version, 1 + static_cast<std::uint32_t>(Random.below(4)));
  All.Spread = Random.chance(0.5) ? copy_spread::Domains : copy_spread::None;
  Declared = {All};
}

void random_order_world::renewLease(std::size_t Who) {
  leader &Leader = *Leaders[Who];
  if (reachesLog(Leader) && Who != Holder)
    Leader.Lease.Valid = false;
  const bool Vacant = Now > LeaseEnd && Now >= Leader.CanStandFrom;
  if (!reachesLog(Leader) || (Who != Holder && !Vacant))
    return;
  if (Who != Holder || Now >= LeaseEnd) {
    Holder = Who;
    Term = Term.next();
    ++Counts.Offices;
  }
  Leader.CanStandFrom = Now + upTo(milliseconds(300));
  LeaseEnd = Now + LeaseSpan;
  Leader.Lease = {Term, Now, LeaseEnd, true};
}

void random_order_world::look(leader &Leader) {
  Leader.Lease.Valid = Leader.Lease.Valid && Now < Leader.Lease.End;
  Leader.Gate.see(Leader.Lease, Now);
}

void random_order_world::tick(std::size_t Who) {
  leader &Leader = *Leaders[Who];
  renewLease(Who);
  look(Leader);
  if (Leader.Lease.Valid && Leader.Office != Leader.Lease.Term) {
    Leader.Office = Leader.Lease.Term;
    LastFence = LastFence.next();
    Leader.Planner.takeOffice(LastFence, Now);
  }
  if (Leader.Lease.Valid) {
    if (reachesLog(Leader))
      Leader.Planner.declare(Declared);
    readStates(Who);
    sendNext(Who);
  }
  inProcess(Who, Tick, [this, Who] { tick(Who); });
}

void random_order_world::readStates(std::size_t Who) {
  leader &Leader = *Leaders[Who];
  for (auto &[Key, Engine] : Engines) {
    engine_state Announced = Engine.State;
    Announced.Loaded.clear();
    Leader.Planner.announced(Announced, Now);
    if (Now < Leader.NextRead[Key])
      continue;
    Leader.NextRead[Key] = Now + ReadInterval;
    const mono_time Asked = Now;
    at(Now + upTo(NetworkDelay), [this, Who, Asked, Key = Key, Office = Leader.Office] {
      const engine_state State = Engines[Key].State;
      inProcess(Who, upTo(NetworkDelay), [this, Who, Asked, Key, Office, State] {
        leader &Reader = *Leaders[Who];
        if (Reader.Office != Office)
          return;
        look(Reader);
        if (Reader.Gate.stateRead(Key, Asked))
          Reader.Planner.observed(Key, State.Loaded, State.Fence, Asked);
      });
    });
  }
}

void random_order_world::sendNext(std::size_t Who) {
  leader &Leader = *Leaders[Who];
  if (!reachesLog(Leader))
    return;
  for (const planned_order &Order : Leader.Planner.plan(Now)) {
    if (Leader.Gate.refusal(Order.Engine, Leader.Office) || Leader.Sending.count(Order.Engine) > 0)
      continue;
    LastFence = LastFence.next();
    Leader.Sending[Order.Engine] = LastFence;
    Leader.Planner.started(Order, Now);
    const bool Slow = Random.chance(0.3);
    const mono_duration Connect = Slow ? upTo(SlowConnect) : upTo(NetworkDelay);
    // The worst moment to be cut off: an order stands before its write, and a successor comes.
    if (Slow && Now < FaultsEnd && Random.chance(0.3))
      Leader.CutUntil = std::min(Now + LongFreeze, FaultsEnd);
    inProcess(Who, Connect, [this, Who, Order, Fence = LastFence, Planned = Leader.Office] {
      connected(Who, Order, Fence, Planned);
    });
  }
}

void random_order_world::connected(std::size_t Who, const planned_order &Order, fencing_token Fence,
                                   leader_term Planned) {
  leader &Leader = *Leaders[Who];
  look(Leader);
  if (Leader.Gate.refusal(Order.Engine, Planned)) {
    ++Counts.HeldAtWrite;
    Leader.Planner.ended(Order, order_outcome::NotSent, Now);
    Leader.Sending.erase(Order.Engine);
    return;
  }
  Leader.Gate.writing(Order.Engine, Planned);
  const bool Checks = Engines[Order.Engine].State.Orders == order_check::Fenced;
  const bool Stopped = Random.chance(0.3);
  const bool ForLong = Checks && Now < FaultsEnd && Random.chance(0.1);
  const mono_duration Pause =
      ForLong ? upTo(LongFreeze) : (Stopped ? mostOf(Times.LeaseMargin) : mono_duration{});
  Leader.FrozenUntil = std::max(Leader.FrozenUntil, Now + Pause);
  const mono_duration Transit =
      Random.chance(0.4) ? mostOf(Times.LongestUnderWay) : upTo(NetworkDelay);
  at(Now + Pause + Transit, [this, Who, Order, Fence] { arrive(Who, Order, Fence); });
  inProcess(Who, Pause + Times.LongestUnderWay / 2,
            [this, Who, Order, Fence] { answered(Who, Order, Fence, order_outcome::Unknown); });
}

void random_order_world::arrive(std::size_t Who, const planned_order &Order, fencing_token Fence) {
  fake_engine &Engine = Engines[Order.Engine];
  order_outcome Outcome = order_outcome::Done;
  const bool Checks = Options.EnginesCheckFences && Engine.State.Orders == order_check::Fenced;
  if (Checks && Fence < Engine.State.Fence) {
    ++Counts.FenceRefusals;
    Outcome = order_outcome::Refused;
  } else {
    apply(Engine, Order, Fence);
  }
  if (Now < FaultsEnd && Random.chance(0.2))
    return;
  inProcess(Who, upTo(NetworkDelay),
            [this, Who, Order, Outcome, Fence] { answered(Who, Order, Fence, Outcome); });
}

void random_order_world::answered(std::size_t Who, const planned_order &Order, fencing_token Fence,
                                  order_outcome Outcome) {
  leader &Leader = *Leaders[Who];
  const auto Sending = Leader.Sending.find(Order.Engine);
  if (Sending == Leader.Sending.end() || Sending->second != Fence)
    return;
  Leader.Sending.erase(Sending);
  Counts.Unanswered += Outcome == order_outcome::Unknown ? 1 : 0;
  look(Leader);
  Leader.Gate.ended(Order.Engine, Outcome);
  Leader.Planner.ended(Order, Outcome, Now);
}

void random_order_world::apply(fake_engine &Engine, const planned_order &Order,
                               fencing_token Fence) {
  if (Fence < Engine.Newest)
    Violations.push_back("order " + std::to_string(Fence.value()) + " took effect after " +
                         std::to_string(Engine.Newest.value()) + " on " +
                         Order.Engine.Address.str());
  Engine.Newest = std::max(Engine.Newest, Fence);
  Engine.State.Fence = Engine.Newest;
  ++Counts.Effects;
  if (Order.Kind == order_kind::Unload)
    Engine.State.Loaded.erase(Order.Copy);
  else
    Engine.State.Loaded.insert(Order.Copy);
  checkServing();
}

void random_order_world::checkServing() {
  const bool Serves = std::any_of(Engines.begin(), Engines.end(), [](const auto &Item) {
    return !Item.second.State.Loaded.empty();
  });
  if (Served && !Serves)
    Violations.emplace_back("the last serving copy was unloaded");
  Served = Served || Serves;
}

void random_order_world::checkDeclared() {
  const placement &Wanted = Declared.front();
  std::uint32_t Copies = 0;
  for (const auto &[Key, Engine] : Engines)
    for (const model_copy &Copy : Engine.State.Loaded) {
      Copies += Copy == Wanted.Copy ? 1 : 0;
      if (Copy != Wanted.Copy)
        Violations.push_back(Key.Address.str() + " still holds version " + Copy.Version.str());
    }
  if (Copies != Wanted.Copies)
    Violations.push_back(std::to_string(Copies) + " copies instead of " +
                         std::to_string(Wanted.Copies));
}

} // namespace pollenstall

/** @file order_planner.cpp Choice of engines for declared copies, and the orders that follow. */
#include "order/order_planner_base.h"

#include <algorithm>
#include <tuple>

namespace pollenstall {

namespace {

bool inGroup(const engine_state &Engine, const placement &Placement) {
  if (Engine.Service != Placement.Service)
    return false;
  return std::all_of(Placement.Labels.begin(), Placement.Labels.end(), [&](const auto &Label) {
    const auto Found = Engine.Labels.find(Label.first);
    return Found != Engine.Labels.end() && Found->second == Label.second;
  });
}

bool holds(const engine_state &Engine, const model_copy &Copy) {
  return Engine.Loaded.count(Copy) > 0;
}

/// Rendezvous hashing: an engine that comes or goes moves only its own copies.
std::uint64_t rank(const engine_state &Engine, const model_copy &Copy) {
  return combineHashes(stableHash(Engine.Key.Address.str()), stableHash(Copy.Model.str()));
}

bool isNarrower(const placement &A, const placement &B) {
  const auto Labels = [](const placement &One) { return ~One.Labels.size(); };
  return std::forward_as_tuple(Labels(A), A.Group) < std::forward_as_tuple(Labels(B), B.Group);
}

} // namespace

void order_planner::takeOffice(fencing_token First, mono_time Now) {
  OfficeFence = First;
  Engines.clear();
  Counts = {};
  Budget.reset(Now);
}

void order_planner::declare(std::vector<placement> Declared) {
  Placements = std::move(Declared);
  std::stable_sort(Placements.begin(), Placements.end(), isNarrower);
}

void order_planner::announced(const engine_state &Engine, mono_time Now) {
  const auto [Place, New] = Engines.try_emplace(Engine.Key);
  known_engine &Known = Place->second;
  if (New)
    Known.Since = Now;
  const std::set<model_copy> Loaded = std::move(Known.State.Loaded);
  const fencing_token Fence = Known.State.Fence;
  Known.State = Engine;
  Known.State.Loaded = Loaded;
  Known.State.Fence = Fence;
}

void order_planner::observed(const backend_key &Engine, std::set<model_copy> Loaded,
                             fencing_token Fence, mono_time Asked) {
  const auto Found = Engines.find(Engine);
  if (Found == Engines.end() || Found->second.Busy)
    return; // An answer that crossed an order shows neither the state before nor that after it.
  Found->second.Read = Asked;
  Found->second.State.Loaded = std::move(Loaded);
  Found->second.State.Fence = Fence;
  for (const model_copy &Copy : Found->second.State.Loaded)
    Budget.end({Engine, order_kind::Load, Copy});
}

void order_planner::forget(const backend_key &Engine) {
  Engines.erase(Engine);
  Budget.endAll(Engine);
}

const placement *order_planner::governing(const engine_state &Engine,
                                          const model_name &Model) const {
  const auto Found = std::find_if(Placements.begin(), Placements.end(), [&](const placement &One) {
    return One.Copy.Model == Model && inGroup(Engine, One);
  });
  return Found == Placements.end() ? nullptr : &*Found;
}

order_planner::engine_list order_planner::members(const placement &Placement) const {
  engine_list Members;
  for (const auto &[Key, Engine] : Engines)
    if (governing(Engine.State, Placement.Copy.Model) == &Placement)
      Members.push_back(&Engine);
  return Members;
}

bool order_planner::allRead(const engine_list &Members, mono_time Now) const {
  // Without this a new leader that has read one engine would load what the others already hold.
  return std::all_of(Members.begin(), Members.end(), [&](const known_engine *Engine) {
    return Engine->Read || Now - Engine->Since > Limits.ReadPatience;
  });
}

bool order_planner::isFresh(const known_engine &Engine, mono_time Now) const {
  return Engine.Read && Now - *Engine.Read <= Limits.MaxStateAge;
}

order_planner::engine_list order_planner::choose(const placement &Placement,
                                                 const engine_list &Members, mono_time Now) const {
  const model_copy &Copy = Placement.Copy;
  engine_list Left;
  for (const known_engine *Engine : Members) {
    const bool Takes = Engine->State.Orders != order_check::None || holds(Engine->State, Copy);
    if (Engine->Read && Takes && !Engine->State.Leaving)
      Left.push_back(Engine);
  }
  std::map<failure_domain_name, std::uint32_t> InDomain;
  const auto Preference = [&](const known_engine *Engine) {
    const engine_state &State = Engine->State;
    const std::uint32_t Crowd =
        Placement.Spread == copy_spread::Domains ? InDomain[State.Domain] : 0;
    const bool Loading = Budget.underWay({State.Key, order_kind::Load, Copy}, Now);
    return std::tuple(Crowd, !holds(State, Copy), !Loading, rank(State, Copy), State.Key);
  };
  engine_list Chosen;
  while (Chosen.size() < Placement.Copies && !Left.empty()) {
    const auto Best = std::min_element(Left.begin(), Left.end(),
                                       [&](const known_engine *A, const known_engine *B) {
                                         return Preference(A) < Preference(B);
                                       });
    ++InDomain[(*Best)->State.Domain];
    Chosen.push_back(*Best);
    Left.erase(Best);
  }
  return Chosen;
}

bool order_planner::mayBeOverruled(const known_engine &Engine) const {
  // A leader that was stopped right before a write goes on after any time. An engine that has seen
  // no number of this office yet would still unload its copy then, perhaps the last one left.
  return Engine.State.Orders == order_check::Fenced && Engine.State.Fence < OfficeFence;
}

order_planner::choice_state order_planner::judge(const placement &Placement,
                                                 const engine_list &Chosen, mono_time Now) const {
  choice_state State;
  for (const known_engine *Engine : Chosen) {
    if (!isFresh(*Engine, Now) || Engine->Busy || !holds(Engine->State, Placement.Copy))
      return {};
    if (mayBeOverruled(*Engine))
      State.Confirm.push_back({Engine->State.Key, order_kind::Confirm, Placement.Copy});
  }
  State.Ready = !Chosen.empty() && State.Confirm.empty();
  return State;
}

order_planner::choice_state order_planner::judgeSuccessors(const placement &Placement,
                                                           const engine_list &Chosen,
                                                           mono_time Now) const {
  if (Placement.Copies > 0)
    return judge(Placement, Chosen, Now);
  // The model moves to another group or goes for good: its copies there have to be ready first.
  choice_state All{true, {}};
  for (const placement &Other : Placements) {
    if (Other.Service != Placement.Service || Other.Copy.Model != Placement.Copy.Model ||
        Other.Copies == 0)
      continue;
    const choice_state One = judge(Other, choose(Other, members(Other), Now), Now);
    All.Ready = All.Ready && One.Ready;
    All.Confirm.insert(All.Confirm.end(), One.Confirm.begin(), One.Confirm.end());
  }
  return All;
}

std::vector<planned_order> order_planner::needed(const placement &Placement, mono_time Now) const {
  std::vector<planned_order> Orders;
  const engine_list Members = members(Placement);
  if (!allRead(Members, Now))
    return Orders;
  const engine_list Chosen = choose(Placement, Members, Now);
  for (const known_engine *Engine : Chosen)
    if (!holds(Engine->State, Placement.Copy))
      Orders.push_back({Engine->State.Key, order_kind::Load, Placement.Copy});
  std::vector<planned_order> Unloads;
  for (const known_engine *Engine : Members) {
    const bool Keeps = std::find(Chosen.begin(), Chosen.end(), Engine) != Chosen.end();
    const bool Orderable = Engine->State.Orders != order_check::None && !Engine->State.Leaving;
    for (const model_copy &Copy : Engine->State.Loaded)
      if (Orderable && Copy.Model == Placement.Copy.Model && !(Keeps && Copy == Placement.Copy))
        Unloads.push_back({Engine->State.Key, order_kind::Unload, Copy});
  }
  if (Unloads.empty())
    return Orders;
  const choice_state Successors = judgeSuccessors(Placement, Chosen, Now);
  const std::vector<planned_order> &Next = Successors.Ready ? Unloads : Successors.Confirm;
  Orders.insert(Orders.end(), Next.begin(), Next.end());
  return Orders;
}

std::vector<planned_order> order_planner::allNeeded(mono_time Now) const {
  std::vector<planned_order> Orders;
  for (const placement &Placement : Placements) {
    const std::vector<planned_order> Part = needed(Placement, Now);
    Orders.insert(Orders.end(), Part.begin(), Part.end());
  }
  return Orders;
}

std::vector<planned_order> order_planner::plan(mono_time Now) const {
  std::uint32_t Loads = Budget.room(Now);
  std::set<backend_key> Taken;
  std::vector<planned_order> Orders;
  for (const planned_order &Order : allNeeded(Now)) {
    const known_engine &Engine = Engines.at(Order.Engine);
    const auto Held = Engine.HeldUntil.find(Order);
    const bool Waits = Held != Engine.HeldUntil.end() && Now < Held->second;
    const bool IsLoad = Order.Kind == order_kind::Load;
    if (Engine.Busy || Waits || !isFresh(Engine, Now) || Taken.count(Order.Engine) > 0)
      continue;
    if (IsLoad && (Loads == 0 || Budget.underWay(Order, Now)))
      continue;
    Loads -= IsLoad ? 1 : 0;
    Taken.insert(Order.Engine);
    Orders.push_back(Order);
  }
  return Orders;
}

void order_planner::started(const planned_order &Order, mono_time Now) {
  const auto Engine = Engines.find(Order.Engine);
  if (Engine != Engines.end())
    Engine->second.Busy = true;
  if (Order.Kind == order_kind::Load)
    Budget.begin(Order, Now + Limits.LoadTimeout, Now);
}

void order_planner::ended(const planned_order &Order, order_outcome Outcome, mono_time Now) {
  Counts.Done += Outcome == order_outcome::Done ? 1 : 0;
  Counts.Refused += Outcome == order_outcome::Refused ? 1 : 0;
  Counts.Unknown += Outcome == order_outcome::Unknown ? 1 : 0;
  if (Outcome == order_outcome::NotSent)
    Budget.giveBack(Order);
  if (Outcome == order_outcome::Refused)
    Budget.end(Order);
  if (Outcome == order_outcome::Unknown)
    Budget.extend(Order, Now + Limits.RetryAfter);
  const auto Engine = Engines.find(Order.Engine);
  if (Engine == Engines.end())
    return;
  Engine->second.Busy = false;
  if (Outcome == order_outcome::Refused || Outcome == order_outcome::Unknown)
    Engine->second.HeldUntil[Order] = Now + Limits.RetryAfter;
  if (Outcome == order_outcome::NotSent)
    return;
  // What the order did is known only from a state that is asked for later. Until then the engine
  // is waited for; passed over, it would be replaced by another one for a moment.
  Engine->second.Read.reset();
  Engine->second.Since = Now;
}

order_counts order_planner::counts(mono_time Now) const {
  order_counts Result = Counts;
  Result.Pending = allNeeded(Now).size();
  return Result;
}

} // namespace pollenstall

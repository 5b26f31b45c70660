/** @file order_planner.cpp Chooses engines for declared copies and derives the required orders. */
#include "order/order_planner_base.h"

#include <algorithm>
#include <tuple>

namespace pollenstall {

namespace {

bool matchesPlacement(const engine_state &Engine, const placement &Placement) {
  if (Engine.Service != Placement.Service)
    return false;
  return std::all_of(Placement.Labels.begin(), Placement.Labels.end(), [&](const auto &Label) {
    const auto Found = Engine.Labels.find(Label.first);
    return Found != Engine.Labels.end() && Found->second == Label.second;
  });
}

bool holds(const engine_state &Engine, const versioned_model &Copy) {
  return Engine.Loaded.count(Copy) > 0;
}

/// Rendezvous hashing: adding or removing an engine moves only the copies of that engine.
std::uint64_t rank(const engine_state &Engine, const versioned_model &Copy) {
  return combineHashes(stableHash(Engine.Key.Address.str()), stableHash(Copy.Model.str()));
}

bool isMoreSpecific(const placement &A, const placement &B) {
  const auto SortKey = [](const placement &Sorted) { return ~Sorted.Labels.size(); };
  return std::forward_as_tuple(SortKey(A), A.Group) < std::forward_as_tuple(SortKey(B), B.Group);
}

} // namespace

void order_planner::beginTerm(fencing_token TermToken, mono_time Now) {
  TermFence = TermToken;
  Engines.clear();
  Counts = {};
  Budget.reset(Now);
}

void order_planner::setPlacements(std::vector<placement> Declared) {
  Placements = std::move(Declared);
  std::stable_sort(Placements.begin(), Placements.end(), isMoreSpecific);
}

void order_planner::updateAnnouncement(const engine_state &Engine, mono_time Now) {
  const auto [Slot, IsNew] = Engines.try_emplace(Engine.Key);
  tracked_engine &Tracked = Slot->second;
  if (IsNew)
    Tracked.WaitingSince = Now;
  const std::set<versioned_model> OldLoaded = std::move(Tracked.State.Loaded);
  const fencing_token OldFence = Tracked.State.Fence;
  Tracked.State = Engine;
  Tracked.State.Loaded = OldLoaded;
  Tracked.State.Fence = OldFence;
}

void order_planner::updateState(const backend_key &Engine, std::set<versioned_model> Loaded,
                                fencing_token Fence, mono_time RequestedAt) {
  const auto Found = Engines.find(Engine);
  if (Found == Engines.end() || Found->second.OrderInFlight)
    return; // The state may be from before or after the order that is in flight.
  Found->second.StateRequestedAt = RequestedAt;
  Found->second.State.Loaded = std::move(Loaded);
  Found->second.State.Fence = Fence;
  for (const versioned_model &Copy : Found->second.State.Loaded)
    Budget.end({Engine, order_kind::Load, Copy});
}

void order_planner::removeEngine(const backend_key &Engine) {
  Engines.erase(Engine);
  Budget.endLoadsOn(Engine);
}

const placement *order_planner::effectivePlacement(const engine_state &Engine,
                                                   const model_name &Model) const {
  const auto Found =
      std::find_if(Placements.begin(), Placements.end(), [&](const placement &Candidate) {
        return Candidate.Copy.Model == Model && matchesPlacement(Engine, Candidate);
      });
  return Found == Placements.end() ? nullptr : &*Found;
}

order_planner::engine_list order_planner::matchingEngines(const placement &Placement) const {
  engine_list Members;
  for (const auto &[Key, Engine] : Engines)
    if (effectivePlacement(Engine.State, Placement.Copy.Model) == &Placement)
      Members.push_back(&Engine);
  return Members;
}

bool order_planner::allStatesKnown(const engine_list &Members, mono_time Now) const {
  // Without this check a new leader that has read only one engine would load copies that the other
  // engines already hold.
  return std::all_of(Members.begin(), Members.end(), [&](const tracked_engine *Engine) {
    return Engine->StateRequestedAt || Now - Engine->WaitingSince > Options.StateReadTimeout;
  });
}

bool order_planner::isFresh(const tracked_engine &Engine, mono_time Now) const {
  return Engine.StateRequestedAt && Now - *Engine.StateRequestedAt <= Options.MaxStateAge;
}

order_planner::engine_list order_planner::chooseEngines(const placement &Placement,
                                                        const engine_list &Members,
                                                        mono_time Now) const {
  const versioned_model &Copy = Placement.Copy;
  engine_list Candidates;
  for (const tracked_engine *Engine : Members) {
    const bool CanHold =
        Engine->State.OrderCheck != order_check::None || holds(Engine->State, Copy);
    if (Engine->StateRequestedAt && CanHold && !Engine->State.Leaving)
      Candidates.push_back(Engine);
  }
  std::map<failure_domain_name, std::uint32_t> InDomain;
  const auto Preference = [&](const tracked_engine *Engine) {
    const engine_state &State = Engine->State;
    const std::uint32_t ChosenInSameDomain =
        Placement.Spread == copy_spread::Domains ? InDomain[State.Domain] : 0;
    const bool Loading = Budget.isInFlight({State.Key, order_kind::Load, Copy}, Now);
    return std::tuple(ChosenInSameDomain, !holds(State, Copy), !Loading, rank(State, Copy),
                      State.Key);
  };
  engine_list Chosen;
  while (Chosen.size() < Placement.Copies && !Candidates.empty()) {
    const auto Best = std::min_element(Candidates.begin(), Candidates.end(),
                                       [&](const tracked_engine *A, const tracked_engine *B) {
                                         return Preference(A) < Preference(B);
                                       });
    ++InDomain[(*Best)->State.Domain];
    Chosen.push_back(*Best);
    Candidates.erase(Best);
  }
  return Chosen;
}

bool order_planner::needsRaisedFence(const tracked_engine &Engine) const {
  // A former leader that was stopped right before a write may resume at any time. An engine that
  // has not seen a token of this term would then still unload its copy, which may be the last one.
  return Engine.State.OrderCheck == order_check::Fenced && Engine.State.Fence < TermFence;
}

order_planner::placement_readiness order_planner::checkReadiness(const placement &Placement,
                                                                 const engine_list &Chosen,
                                                                 mono_time Now) const {
  placement_readiness Readiness;
  for (const tracked_engine *Engine : Chosen) {
    if (!isFresh(*Engine, Now) || Engine->OrderInFlight || !holds(Engine->State, Placement.Copy))
      return {};
    if (needsRaisedFence(*Engine))
      Readiness.FenceOrders.push_back({Engine->State.Key, order_kind::RaiseFence, Placement.Copy});
  }
  Readiness.Ready = !Chosen.empty() && Readiness.FenceOrders.empty();
  return Readiness;
}

order_planner::placement_readiness order_planner::checkReplacements(const placement &Placement,
                                                                    const engine_list &Chosen,
                                                                    mono_time Now) const {
  if (Placement.Copies > 0)
    return checkReadiness(Placement, Chosen, Now);
  // The model moves to other groups or is removed. The copies that other groups declare, if any,
  // must be ready before this group's copies are unloaded.
  placement_readiness Combined{true, {}};
  for (const placement &Other : Placements) {
    if (Other.Service != Placement.Service || Other.Copy.Model != Placement.Copy.Model ||
        Other.Copies == 0)
      continue;
    const placement_readiness Single =
        checkReadiness(Other, chooseEngines(Other, matchingEngines(Other), Now), Now);
    Combined.Ready = Combined.Ready && Single.Ready;
    Combined.FenceOrders.insert(Combined.FenceOrders.end(), Single.FenceOrders.begin(),
                                Single.FenceOrders.end());
  }
  return Combined;
}

std::vector<planned_order> order_planner::requiredOrders(const placement &Placement,
                                                         mono_time Now) const {
  std::vector<planned_order> Orders;
  const engine_list Members = matchingEngines(Placement);
  if (!allStatesKnown(Members, Now))
    return Orders;
  const engine_list Chosen = chooseEngines(Placement, Members, Now);
  for (const tracked_engine *Engine : Chosen)
    if (!holds(Engine->State, Placement.Copy))
      Orders.push_back({Engine->State.Key, order_kind::Load, Placement.Copy});
  std::vector<planned_order> Unloads;
  for (const tracked_engine *Engine : Members) {
    const bool IsChosen = std::find(Chosen.begin(), Chosen.end(), Engine) != Chosen.end();
    const bool Orderable = Engine->State.OrderCheck != order_check::None && !Engine->State.Leaving;
    for (const versioned_model &Copy : Engine->State.Loaded)
      if (Orderable && Copy.Model == Placement.Copy.Model && !(IsChosen && Copy == Placement.Copy))
        Unloads.push_back({Engine->State.Key, order_kind::Unload, Copy});
  }
  if (Unloads.empty())
    return Orders;
  const placement_readiness Replacements = checkReplacements(Placement, Chosen, Now);
  const std::vector<planned_order> &UnloadsOrFences =
      Replacements.Ready ? Unloads : Replacements.FenceOrders;
  Orders.insert(Orders.end(), UnloadsOrFences.begin(), UnloadsOrFences.end());
  return Orders;
}

std::vector<planned_order> order_planner::allRequiredOrders(mono_time Now) const {
  std::vector<planned_order> Orders;
  for (const placement &Placement : Placements) {
    const std::vector<planned_order> PlacementOrders = requiredOrders(Placement, Now);
    Orders.insert(Orders.end(), PlacementOrders.begin(), PlacementOrders.end());
  }
  return Orders;
}

std::vector<planned_order> order_planner::plan(mono_time Now) const {
  std::uint32_t Loads = Budget.availableLoads(Now);
  std::set<backend_key> EnginesWithOrder;
  std::vector<planned_order> Orders;
  for (const planned_order &Order : allRequiredOrders(Now)) {
    const tracked_engine &Engine = Engines.at(Order.Engine);
    const auto RetryTime = Engine.RetryNotBefore.find(Order);
    const bool InRetryDelay = RetryTime != Engine.RetryNotBefore.end() && Now < RetryTime->second;
    const bool IsLoad = Order.Kind == order_kind::Load;
    if (Engine.OrderInFlight || InRetryDelay || !isFresh(Engine, Now) ||
        EnginesWithOrder.count(Order.Engine) > 0)
      continue;
    if (IsLoad && (Loads == 0 || Budget.isInFlight(Order, Now)))
      continue;
    Loads -= IsLoad ? 1 : 0;
    EnginesWithOrder.insert(Order.Engine);
    Orders.push_back(Order);
  }
  return Orders;
}

void order_planner::startOrder(const planned_order &Order, mono_time Now) {
  const auto Engine = Engines.find(Order.Engine);
  if (Engine != Engines.end())
    Engine->second.OrderInFlight = true;
  if (Order.Kind == order_kind::Load)
    Budget.begin(Order, Now + Options.LoadTimeout, Now);
}

void order_planner::finishOrder(const planned_order &Order, order_outcome Outcome, mono_time Now) {
  Counts.Done += Outcome == order_outcome::Done ? 1 : 0;
  Counts.Refused += Outcome == order_outcome::Refused ? 1 : 0;
  Counts.Unknown += Outcome == order_outcome::Unknown ? 1 : 0;
  if (Outcome == order_outcome::NotSent)
    Budget.refund(Order);
  if (Outcome == order_outcome::Refused)
    Budget.end(Order);
  if (Outcome == order_outcome::Unknown)
    Budget.setEnd(Order, Now + Options.RetryDelay);
  const auto Engine = Engines.find(Order.Engine);
  if (Engine == Engines.end())
    return;
  Engine->second.OrderInFlight = false;
  if (Outcome == order_outcome::Refused || Outcome == order_outcome::Unknown)
    Engine->second.RetryNotBefore[Order] = Now + Options.RetryDelay;
  if (Outcome == order_outcome::NotSent)
    return;
  // Only a state that is requested after the order shows its effect. Until that state is read, or
  // StateReadTimeout has passed, the placement is not planned, so that no other engine is chosen in
  // place of this one.
  Engine->second.StateRequestedAt.reset();
  Engine->second.WaitingSince = Now;
}

order_counts order_planner::counts(mono_time Now) const {
  order_counts Result = Counts;
  Result.Pending = allRequiredOrders(Now).size();
  return Result;
}

} // namespace pollenstall

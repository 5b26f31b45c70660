/** @file order_planner_base.h Plans the orders that bring engines from the observed to the declared
 * state. */
#ifndef POLLENSTALL_ORDER_ORDER_PLANNER_BASE_H
#define POLLENSTALL_ORDER_ORDER_PLANNER_BASE_H

#include "order/load_budget_base.h"
#include "order/order_type.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// Options of the planner.
struct order_planner_options {
  load_budget_limits Loads;
  /// A load whose copy has not appeared in the engine's state after this time is ordered again.
  mono_duration LoadTimeout{std::chrono::minutes(10)};
  mono_duration RetryDelay{std::chrono::seconds(5)}; ///< After a refusal or a lost answer.
  /// An older state is not relied on: its engine gets no orders and its copies do not count as
  /// ready.
  mono_duration MaxStateAge{std::chrono::seconds(10)};
  /// An engine whose state cannot be read delays its group's placements for this long; after that
  /// they are planned without it.
  mono_duration StateReadTimeout{std::chrono::seconds(10)};
};

/// Counters for status pages.
struct order_counts {
  std::uint64_t Pending{0}; ///< Orders that the declared state still requires.
  std::uint64_t Done{0};    ///< Orders that engines executed in this term.
  std::uint64_t Refused{0};
  std::uint64_t Unknown{0};
};

/**
 * Compares the declared with the observed state anew for each plan. Earlier orders matter only for
 * the weight store's rate and for the delay after a refusal.
 *
 * For each model an engine belongs to one placement only: the one whose group has the most labels,
 * and among these the first by group name. Two placements thus never undo each other's orders, and
 * engines that carry the label of a canary group count only for that group. Models that no
 * placement names are ignored.
 */
class order_planner {
public:
  explicit order_planner(const order_planner_options &PlannerOptions)
      : Options(PlannerOptions), Budget(PlannerOptions.Loads) {}

  /// Discards all engines and counters at the start of a term.
  /// @param TermToken A fencing token of this term; orders of earlier leaders have lower tokens.
  void beginTerm(fencing_token TermToken, mono_time Now);

  /// Replaces the declared placements.
  void setPlacements(std::vector<placement> Placements);

  /// Adds or updates an engine from its announcement. The announced copies are ignored, since
  /// announcements lag behind the engine's state.
  void updateAnnouncement(const engine_state &Engine, mono_time Now);

  /// Records an engine's state that was read from it and accepted by the gate.
  /// @param RequestedAt Time of the request.
  void updateState(const backend_key &Engine, std::set<versioned_model> Loaded, fencing_token Fence,
                   mono_time RequestedAt);

  void removeEngine(const backend_key &Engine);

  /// Returns the orders that may be sent now, at most one for each engine.
  [[nodiscard]] std::vector<planned_order> plan(mono_time Now) const;

  /// Records that an order is being sent. A call of finishOrder() must follow.
  void startOrder(const planned_order &Order, mono_time Now);
  void finishOrder(const planned_order &Order, order_outcome Outcome, mono_time Now);

  [[nodiscard]] order_counts counts(mono_time Now) const;

private:
  struct tracked_engine {
    engine_state State;
    mono_time WaitingSince{};                          ///< Start of the wait for its state.
    std::optional<mono_time> StateRequestedAt;         ///< Of the last state that was read.
    bool OrderInFlight{false};                         ///< An order is being sent.
    std::map<planned_order, mono_time> RetryNotBefore; ///< Orders that wait for a retry.
  };
  /// Readiness of the engines that were chosen for a placement.
  struct placement_readiness {
    bool Ready{false}; ///< All hold the copy, and no stale order can unload it.
    std::vector<planned_order> FenceOrders; ///< Protect the copies from stale orders.
  };
  using engine_list = std::vector<const tracked_engine *>;

  [[nodiscard]] const placement *effectivePlacement(const engine_state &Engine,
                                                    const model_name &Model) const;
  [[nodiscard]] engine_list matchingEngines(const placement &Placement) const;
  [[nodiscard]] bool allStatesKnown(const engine_list &Members, mono_time Now) const;
  [[nodiscard]] engine_list chooseEngines(const placement &Placement, const engine_list &Members,
                                          mono_time Now) const;
  [[nodiscard]] placement_readiness checkReadiness(const placement &Placement,
                                                   const engine_list &Chosen, mono_time Now) const;
  [[nodiscard]] placement_readiness
  checkReplacements(const placement &Placement, const engine_list &Chosen, mono_time Now) const;
  /// @return Whether the engine checks fencing tokens but has seen none of this term, so that it
  /// would still accept an order of an earlier leader.
  [[nodiscard]] bool needsRaisedFence(const tracked_engine &Engine) const;
  [[nodiscard]] bool isFresh(const tracked_engine &Engine, mono_time Now) const;
  [[nodiscard]] std::vector<planned_order> requiredOrders(const placement &Placement,
                                                          mono_time Now) const;
  [[nodiscard]] std::vector<planned_order> allRequiredOrders(mono_time Now) const;

  order_planner_options Options;
  load_budget Budget;
  std::vector<placement> Placements;
  std::map<backend_key, tracked_engine> Engines;
  fencing_token TermFence; ///< Below the tokens of this term's orders, above all earlier ones.
  order_counts Counts;
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_ORDER_PLANNER_BASE_H

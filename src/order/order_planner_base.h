/** @file order_planner_base.h Which orders bring engines from their observed to the declared state.
 */
#ifndef POLLENSTALL_ORDER_ORDER_PLANNER_BASE_H
#define POLLENSTALL_ORDER_ORDER_PLANNER_BASE_H

#include "order/load_budget_base.h"
#include "order/order_type.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// Bounds of the planner.
struct order_planner_limits {
  load_budget_limits Loads;
  mono_duration LoadTimeout{
      std::chrono::minutes(10)};                     ///< A load not seen done by then is repeated.
  mono_duration RetryAfter{std::chrono::seconds(5)}; ///< After a refusal or a lost answer.
  mono_duration MaxStateAge{std::chrono::seconds(10)}; ///< An older state proves no copy ready.
  /// An engine whose state cannot be read holds up its group's placement for so long.
  mono_duration ReadPatience{std::chrono::seconds(10)};
};

/// For status pages.
struct order_counts {
  std::uint64_t Pending{0}; ///< Loads and unloads that the declared state still needs.
  std::uint64_t Done{0};    ///< Answered as carried out, in this office.
  std::uint64_t Refused{0};
  std::uint64_t Unknown{0};
};

/**
 * Compares declared with observed state, each time from scratch: what was ordered before matters
 * only for the weight store's rate and for the pause after a refusal.
 *
 * An engine takes part, for one model, in one placement only: the one whose group has most labels,
 * then the first by name. Two placements thus never undo each other's orders, and a canary group
 * is cut out of the wider group by its label. Models that no placement names are left alone.
 */
class order_planner {
public:
  explicit order_planner(const order_planner_limits &Bounds)
      : Limits(Bounds), Budget(Bounds.Loads) {}

  /// A new office: everything has to be observed anew.
  /// @param First A number taken in this office, above all of earlier leaders' orders.
  void takeOffice(fencing_token First, mono_time Now);

  void declare(std::vector<placement> Placements);

  /// An engine announces itself; its state may not have been read yet. What it announces as loaded
  /// is ignored, since announcements lag.
  void announced(const engine_state &Engine, mono_time Now);

  /// An engine's real state was read, and the gate counts it. @param Asked When it was asked for.
  void observed(const backend_key &Engine, std::set<model_copy> Loaded, fencing_token Fence,
                mono_time Asked);

  void forget(const backend_key &Engine);

  /// @return What may be ordered now, one order for an engine at most. Calling it changes nothing.
  [[nodiscard]] std::vector<planned_order> plan(mono_time Now) const;

  /// The order is being sent. Each call is followed by one of ended().
  void started(const planned_order &Order, mono_time Now);
  void ended(const planned_order &Order, order_outcome Outcome, mono_time Now);

  [[nodiscard]] order_counts counts(mono_time Now) const;

private:
  struct known_engine {
    engine_state State;
    mono_time Since{};             ///< Waited for its state since then.
    std::optional<mono_time> Read; ///< When its state was asked for last.
    bool Busy{false};              ///< An order is being sent.
    std::map<planned_order, mono_time> HeldUntil;
  };
  /// Engines chosen for a placement, as far as they are ready.
  struct choice_state {
    bool Ready{false};                  ///< All hold the copy, and nobody can take it from them.
    std::vector<planned_order> Confirm; ///< Orders that would make it so.
  };
  using engine_list = std::vector<const known_engine *>;

  [[nodiscard]] const placement *governing(const engine_state &Engine,
                                           const model_name &Model) const;
  [[nodiscard]] engine_list members(const placement &Placement) const;
  [[nodiscard]] bool allRead(const engine_list &Members, mono_time Now) const;
  [[nodiscard]] engine_list choose(const placement &Placement, const engine_list &Members,
                                   mono_time Now) const;
  [[nodiscard]] choice_state judge(const placement &Placement, const engine_list &Chosen,
                                   mono_time Now) const;
  [[nodiscard]] choice_state judgeSuccessors(const placement &Placement, const engine_list &Chosen,
                                             mono_time Now) const;
  [[nodiscard]] bool mayBeOverruled(const known_engine &Engine) const;
  [[nodiscard]] bool isFresh(const known_engine &Engine, mono_time Now) const;
  [[nodiscard]] std::vector<planned_order> needed(const placement &Placement, mono_time Now) const;
  [[nodiscard]] std::vector<planned_order> allNeeded(mono_time Now) const;

  order_planner_limits Limits;
  load_budget Budget;
  std::vector<placement> Placements;
  std::map<backend_key, known_engine> Engines;
  fencing_token OfficeFence;
  order_counts Counts;
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_ORDER_PLANNER_BASE_H

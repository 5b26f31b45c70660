/** @file random_order_world.h Simulation of three leaders, five engines and a faulty network. */
#ifndef POLLENSTALL_TESTS_ORDER_RANDOM_ORDER_WORLD_H
#define POLLENSTALL_TESTS_ORDER_RANDOM_ORDER_WORLD_H

#include "order/order.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// Safeguards that are active in a run; the tests disable each of them once.
struct order_world_options {
  bool LeaseMargin{true};
  bool NewLeaderDelay{true};
  bool EnginesCheckFencing{true};
};

struct order_world_counts {
  std::uint64_t Steps{0};
  std::uint64_t Terms{0};
  std::uint64_t OrdersApplied{0};       ///< Orders that took effect on an engine.
  std::uint64_t EngineFenceRefusals{0}; ///< Orders that an engine refused for their token.
  std::uint64_t GateRefusalsAtWrite{0}; ///< Permitted when planned, refused right before the write.
  std::uint64_t Unanswered{0};

  order_world_counts &operator+=(const order_world_counts &Other);
};

/**
 * Leaders drive the planner and the gate as order_executor does. A simulated lease service replaces
 * the log and grants a lease and fencing tokens to one leader at a time. Processes are stopped at
 * any step, control hosts are partitioned while they hold a lease, and answers are lost.
 *
 * Between the check and the write, an order to an engine that does not check fencing tokens is
 * delayed by less than the lease margin, and an order to an engine that checks them by any time.
 * Orders are in flight for less than MaxTimeInFlight.
 */
class random_order_world {
public:
  random_order_world(std::uint64_t Seed, const order_world_options &Options);

  /// Runs the simulation. @return The violations; empty if there were none.
  std::vector<std::string> run();
  [[nodiscard]] const order_world_counts &counts() const { return Counts; }

private:
  struct fake_engine {
    engine_state State;
    fencing_token NewestFence; ///< Highest that took effect, even if the engine checks none.
  };
  struct leader {
    leader(const order_planner_options &PlannerOptions, const order_gate_options &GateOptions)
        : Planner(PlannerOptions), Gate(GateOptions) {}
    order_planner Planner;
    leader_order_gate Gate;
    leader_lease Lease;
    leader_term PlannerTerm; ///< Term for which the planner was initialised.
    mono_time FrozenUntil{};
    mono_time PartitionedUntil{};
    mono_time CandidateFrom{};
    std::map<backend_key, mono_time> NextRead;
    std::map<backend_key, fencing_token> OrdersInFlight;
  };
  using step = std::function<void()>;

  void at(mono_time When, step Step) { Events.emplace(When, std::move(Step)); }
  void runInProcess(std::size_t LeaderIndex, mono_duration Delay, step Step);
  mono_duration randomUpTo(mono_duration Bound);
  /// Returns a duration just under the bound in half of the cases, else any duration up to it.
  mono_duration nearBound(mono_duration Bound);
  void injectFault();
  void changeDeclaration();
  void tick(std::size_t LeaderIndex);
  void renewLease(std::size_t LeaderIndex);
  void refreshLease(leader &Leader);
  void readStates(std::size_t LeaderIndex);
  void sendOrders(std::size_t LeaderIndex);
  void onConnected(std::size_t LeaderIndex, const planned_order &Order, fencing_token Fence,
                   leader_term PlannedTerm);
  void onOrderArrival(std::size_t LeaderIndex, const planned_order &Order, fencing_token Fence);
  void onAnswer(std::size_t LeaderIndex, const planned_order &Order, fencing_token Fence,
                order_outcome Outcome);
  void apply(fake_engine &Engine, const planned_order &Order, fencing_token Fence);
  void checkServing();
  void checkDeclared();
  [[nodiscard]] bool reachesLog(const leader &Leader) const {
    return Now >= Leader.PartitionedUntil;
  }

  random_source Random;
  order_world_options Options;
  order_gate_options DefaultGateOptions; ///< With all safeguards; also bounds the delays.
  mono_time Now{std::chrono::hours(1)};
  mono_time FaultsEnd{};
  std::multimap<mono_time, step> Events;
  std::map<backend_key, fake_engine> Engines;
  std::vector<std::unique_ptr<leader>> Leaders;
  std::vector<placement> Declared;
  std::size_t LeaseHolder{0};
  leader_term Term;
  mono_time LeaseEnd{}; ///< End of the lease by true time.
  fencing_token LastFence;
  bool HasServed{false};
  std::vector<std::string> Violations;
  order_world_counts Counts;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_ORDER_RANDOM_ORDER_WORLD_H

/** @file random_order_world.h Three leaders, five engines and a network that delays and cuts. */
#ifndef POLLENSTALL_TESTS_ORDER_RANDOM_ORDER_WORLD_H
#define POLLENSTALL_TESTS_ORDER_RANDOM_ORDER_WORLD_H

#include "order/order.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

/// What a run leaves in place; the tests take each safeguard out once.
struct order_world_options {
  bool LeaseMargin{true};
  bool SuccessorWait{true};
  bool EnginesCheckFences{true};
};

struct order_world_counts {
  std::uint64_t Steps{0};
  std::uint64_t Offices{0};
  std::uint64_t Effects{0};
  std::uint64_t FenceRefusals{0};
  std::uint64_t HeldAtWrite{0}; ///< Permitted when planned, refused right before the write.
  std::uint64_t Unanswered{0};

  order_world_counts &operator+=(const order_world_counts &Other);
};

/**
 * Leaders drive planner and gate the way the order duty does; a lease service in place of the log
 * gives one of them at a time a lease and a fencing number. Processes are stopped at any step,
 * control hosts are cut off while believing in their lease, answers are lost.
 *
 * Between the check and the write an order to an engine without fences waits less than the lease
 * margin; one to an engine with fences waits for any time. Under way it spends less than the bound.
 */
class random_order_world {
public:
  random_order_world(std::uint64_t Seed, const order_world_options &Options);

  /// @return What went wrong; empty where every promise held.
  std::vector<std::string> run();
  [[nodiscard]] const order_world_counts &counts() const { return Counts; }

private:
  struct fake_engine {
    engine_state State;
    fencing_token Newest; ///< Highest that took effect, whether the engine checks or not.
  };
  struct leader {
    leader(const order_planner_limits &Limits, const order_gate_times &Times)
        : Planner(Limits), Gate(Times) {}
    order_planner Planner;
    leader_order_gate Gate;
    leader_lease Lease;
    leader_term Office; ///< The planner was told of.
    mono_time FrozenUntil{};
    mono_time CutUntil{};
    mono_time CanStandFrom{};
    std::map<backend_key, mono_time> NextRead;
    std::map<backend_key, fencing_token> Sending;
  };
  using step = std::function<void()>;

  void at(mono_time When, step Do) { Events.emplace(When, std::move(Do)); }
  void inProcess(std::size_t Who, mono_duration Delay, step Do);
  mono_duration upTo(mono_duration Bound);
  /// Just under the bound in half of the cases.
  mono_duration mostOf(mono_duration Bound);
  void disturb();
  void change();
  void tick(std::size_t Who);
  void renewLease(std::size_t Who);
  void look(leader &Leader);
  void readStates(std::size_t Who);
  void sendNext(std::size_t Who);
  void connected(std::size_t Who, const planned_order &Order, fencing_token Fence,
                 leader_term Planned);
  void arrive(std::size_t Who, const planned_order &Order, fencing_token Fence);
  void answered(std::size_t Who, const planned_order &Order, fencing_token Fence,
                order_outcome Outcome);
  void apply(fake_engine &Engine, const planned_order &Order, fencing_token Fence);
  void checkServing();
  void checkDeclared();
  [[nodiscard]] bool reachesLog(const leader &Leader) const { return Now >= Leader.CutUntil; }

  random_source Random;
  order_world_options Options;
  order_gate_times Times;
  mono_time Now{std::chrono::hours(1)};
  mono_time FaultsEnd{};
  std::multimap<mono_time, step> Events;
  std::map<backend_key, fake_engine> Engines;
  std::vector<std::unique_ptr<leader>> Leaders;
  std::vector<placement> Declared;
  std::size_t Holder{0};
  leader_term Term;
  mono_time LeaseEnd{}; ///< True end of the holder's lease.
  fencing_token LastFence;
  bool Served{false};
  std::vector<std::string> Violations;
  order_world_counts Counts;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_ORDER_RANDOM_ORDER_WORLD_H

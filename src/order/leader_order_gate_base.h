/** @file leader_order_gate_base.h When a leader may send an order to an engine. */
#ifndef POLLENSTALL_ORDER_LEADER_ORDER_GATE_BASE_H
#define POLLENSTALL_ORDER_LEADER_ORDER_GATE_BASE_H

#include "order/order_type.h"

#include <map>
#include <optional>
#include <set>

namespace pollenstall {

/// Bounds that the gate counts with; the same on every control host.
struct order_gate_times {
  /// From the check to the order's effect: connect, write, and what TCP_USER_TIMEOUT lets a
  /// kernel hold back.
  mono_duration LongestUnderWay{std::chrono::milliseconds(400)};
  /// What the lease must outlast an order by; at least LongestUnderWay.
  mono_duration LeaseMargin{std::chrono::milliseconds(400)};
  /// How long a new leader sends nothing; at least LongestUnderWay.
  mono_duration SuccessorWait{std::chrono::milliseconds(400)};
  /// A larger step between two looks at the clock is a jump.
  mono_duration MaxClockStep{std::chrono::milliseconds(500)};
};

/**
 * Keeps an older order from taking effect after a newer one on engines that ignore fencing numbers.
 *
 * A leader sends only while its lease outlasts the margin, and its successor, whose lease begins
 * after that one's end, waits once more. An order may thus spend the margin between the check and
 * the write (a busy or stopped process) and the wait between the write and its effect (bytes in a
 * send buffer) and still arrive before its successor's first order. A process stopped for longer
 * between the check and the write is caught by the fencing number alone.
 */
class leader_order_gate {
public:
  explicit leader_order_gate(const order_gate_times &Bounds) : Times(Bounds) {}

  /// To be called with the lease at every look at the clock, and right before each write.
  void see(const leader_lease &Lease, mono_time Now);

  /// @param Planned Term in which the order was planned.
  /// @return Why the order may not be written to the engine now; nothing where it may.
  [[nodiscard]] std::optional<gate_refusal> refusal(const backend_key &Engine,
                                                    leader_term Planned) const;

  /// @return Why no order may be written to any engine now; nothing where one may.
  [[nodiscard]] std::optional<gate_refusal> officeRefusal() const;

  /// The engine's state arrived. @param Asked When it was asked for, not when it came.
  /// @return Whether it counts; one that was asked for too early may not show an earlier order.
  bool stateRead(const backend_key &Engine, mono_time Asked);

  /// The next step is the write. Calls without a permission are a broken invariant.
  void writing(const backend_key &Engine, leader_term Planned);

  /// The outcome of what writing() announced; the engine's state has to be asked for anew.
  void ended(const backend_key &Engine, order_outcome Outcome);

  void forget(const backend_key &Engine);

private:
  [[nodiscard]] bool isClockJump(mono_time Now) const;

  order_gate_times Times;
  leader_lease Lease;
  mono_time LastLook{};
  std::optional<mono_time> JumpedAt;
  mono_time IssueFrom{}; ///< Nothing of an earlier leader is under way from here on.
  std::set<backend_key> Read;
  std::map<backend_key, mono_time> UnderWayUntil;
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LEADER_ORDER_GATE_BASE_H

/** @file leader_order_gate_base.h Decides when a leader may send an order to an engine. */
#ifndef POLLENSTALL_ORDER_LEADER_ORDER_GATE_BASE_H
#define POLLENSTALL_ORDER_LEADER_ORDER_GATE_BASE_H

#include "order/order_type.h"

#include <map>
#include <optional>
#include <set>

namespace pollenstall {

/// Time bounds of the gate; the same on every control host.
struct order_gate_options {
  /// Longest time from the write to the order's effect: writing, and the time for which
  /// TCP_USER_TIMEOUT lets the kernel keep bytes in its buffers. Connecting comes before the check.
  mono_duration MaxTimeInFlight{std::chrono::milliseconds(400)};
  /// An order is sent only if the lease has more than this time left; at least MaxTimeInFlight.
  mono_duration LeaseMargin{std::chrono::milliseconds(400)};
  /// Time for which a new leader sends no order; at least MaxTimeInFlight.
  mono_duration NewLeaderDelay{std::chrono::milliseconds(400)};
  /// A larger step between two readings of the clock counts as a clock jump.
  mono_duration MaxClockStep{std::chrono::milliseconds(500)};
};

/**
 * Keeps an older order from taking effect after a newer one on engines that ignore fencing tokens.
 *
 * A leader sends only while its lease has more than LeaseMargin left. Its successor's lease begins
 * after that lease ends, and the successor first waits for NewLeaderDelay. An order may thus take
 * up to LeaseMargin from the check to the write (a busy or stopped process) and up to
 * NewLeaderDelay from the write to its effect (bytes in a send buffer) and still arrive before the
 * successor's first order. If the process is stopped for longer between the check and the write,
 * only the fencing token protects the engine.
 */
class leader_order_gate {
public:
  explicit leader_order_gate(const order_gate_options &GateOptions) : Options(GateOptions) {}

  /// Records the lease and the time. Must be called at each reading of the clock and right before
  /// each write.
  void updateLease(const leader_lease &Lease, mono_time Now);

  /// @param PlannedTerm Term in which the order was planned.
  /// @return The reason why the order must not be written to the engine now; nothing if it may.
  [[nodiscard]] std::optional<gate_refusal> refusal(const backend_key &Engine,
                                                    leader_term PlannedTerm) const;

  /// @return The reason why no order to any engine may be written now; nothing if orders may be
  /// written.
  [[nodiscard]] std::optional<gate_refusal> leaderRefusal() const;

  /// Records that the engine's state was read.
  /// @param RequestedAt Time of the request, not of the response.
  /// @return Whether the state is valid. A state that was requested too early may not show the
  /// effect of an earlier order.
  bool recordStateRead(const backend_key &Engine, mono_time RequestedAt);

  /// Must be called right before an order is written. Aborts if the gate refuses the order.
  void beginWrite(const backend_key &Engine, leader_term PlannedTerm);

  /// Records the outcome of the write. The engine's state must be read again after it.
  void endWrite(const backend_key &Engine, order_outcome Outcome);

  void removeEngine(const backend_key &Engine);

private:
  [[nodiscard]] bool isClockJump(mono_time Now) const;

  order_gate_options Options;
  leader_lease Lease;
  mono_time LastChecked{};
  std::optional<mono_time> ClockJumpAt;
  mono_time SendAllowedFrom{}; ///< No order of a previous leader is in flight after this time.
  /// Engines whose state was read since the term began, their last order and the last clock jump.
  std::set<backend_key> EnginesRead;
  /// Time until which an order of this leader may still reach the engine.
  std::map<backend_key, mono_time> InFlightUntil;
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LEADER_ORDER_GATE_BASE_H

/** @file order_link_type.h Times, reports and hooks of the order duty. */
#ifndef POLLENSTALL_ORDER_LINK_ORDER_LINK_TYPE_H
#define POLLENSTALL_ORDER_LINK_ORDER_LINK_TYPE_H

#include "gossip/gossip.h"
#include "order/order.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/// Time limits of one call to an engine.
struct engine_call_times {
  std::chrono::milliseconds Connect{200};
  std::chrono::milliseconds Answer{200}; ///< From the write on; also TCP_USER_TIMEOUT.
};

/// What GET /v1/state says.
struct engine_report {
  std::set<model_copy> Loaded;
  fencing_token Fence;
  incarnation Incarnation;
};

/// Why an engine's state is not known.
enum class engine_call_error : std::uint8_t {
  Unreachable, ///< Not connected, or no whole answer in time.
  Malformed,   ///< An answer that is not as the protocol says.
};

/// For status pages.
struct order_status {
  order_counts Counts;
  std::size_t Engines{0};           ///< Backend servers that announce themselves.
  std::optional<gate_refusal> Held; ///< Why this host sends no orders now.
};

/// Where the duty leaves its status for other threads; outlives both.
class order_board {
public:
  void publish(const order_status &Newest) {
    const std::lock_guard Lock(Mutex);
    Status = Newest;
  }
  [[nodiscard]] order_status read() const {
    const std::lock_guard Lock(Mutex);
    return Status;
  }

private:
  mutable std::mutex Mutex;
  order_status Status;
};

/// What the duty asks of the process around it; called on the duty's thread.
struct order_duty_hooks {
  std::function<leader_lease()> Lease; ///< As of this moment.
  /// Takes a number through the log; waits. Nothing where this host does not lead.
  std::function<std::optional<fencing_token>()> TakeFence;
  /// The declared placements; nothing where the declaration cannot be read.
  std::function<std::optional<std::vector<placement>>()> Placements;
  std::shared_ptr<order_board> Board;
};

struct order_duty_options {
  engine_call_times Calls;
  order_gate_times Gate;
  order_planner_limits Planner;
  std::chrono::milliseconds ReadInterval{1000}; ///< Between two reads of an engine's state.
};

/// @return A word for status pages.
std::string_view toText(gate_refusal Refusal);

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LINK_ORDER_LINK_TYPE_H

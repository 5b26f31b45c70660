/** @file order_link_type.h Timeouts, reports, status and callbacks of the order executor. */
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

/// Timeouts of one call to an engine, which is a backend server as the receiver of orders.
struct engine_call_timeouts {
  std::chrono::milliseconds Connect{200};
  /// From the start of the write to the complete response; also used as TCP_USER_TIMEOUT.
  std::chrono::milliseconds Response{200};
};

/// Content of the response to GET /v1/state.
struct engine_state_response {
  std::set<versioned_model> Loaded;
  fencing_token Fence;
  incarnation Incarnation;
};

/// Reason why an engine's state could not be read.
enum class engine_call_error : std::uint8_t {
  Unreachable, ///< No connection, or no complete response in time.
  Malformed,   ///< The response has a status other than 200 or an invalid body.
};

/// Status of the order executor, for status pages.
struct order_status {
  order_counts Counts;
  std::size_t Engines{0};                  ///< Known backend servers.
  std::optional<gate_refusal> SendRefusal; ///< Reason why this host sends no orders.
};

/// Status that the executor publishes for other threads; shared, so that it exists as long as the
/// executor and each reader.
class order_status_view {
public:
  void publish(const order_status &NewStatus) {
    const std::lock_guard Lock(Mutex);
    Status = NewStatus;
  }
  [[nodiscard]] order_status read() const {
    const std::lock_guard Lock(Mutex);
    return Status;
  }

private:
  mutable std::mutex Mutex;
  order_status Status;
};

/// Functions that the executor calls on its own thread, and the view to which it publishes.
struct order_executor_callbacks {
  std::function<leader_lease()> Lease; ///< Returns the current lease.
  /// Obtains a new fencing token from the replicated log; blocks until the entry is committed.
  /// Returns nothing if this host does not lead.
  std::function<std::optional<fencing_token>()> TakeFencingToken;
  /// Returns the declared placements, or nothing if the declaration cannot be read.
  std::function<std::optional<std::vector<placement>>()> Placements;
  std::shared_ptr<order_status_view> StatusView;
};

struct order_executor_options {
  engine_call_timeouts Calls;
  order_gate_options Gate;
  order_planner_options Planner;
  std::chrono::milliseconds ReadInterval{1000}; ///< Between two reads of an engine's state.
};

/// Returns the name of a refusal for status pages.
std::string_view toText(gate_refusal Refusal);

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LINK_ORDER_LINK_TYPE_H

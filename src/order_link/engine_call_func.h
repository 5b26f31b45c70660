/** @file engine_call_func.h HTTP calls to engines, each on a new connection. */
#ifndef POLLENSTALL_ORDER_LINK_ENGINE_CALL_FUNC_H
#define POLLENSTALL_ORDER_LINK_ENGINE_CALL_FUNC_H

#include "order_link/order_link_type.h"

#include <functional>
#include <string_view>

namespace pollenstall {

/// Reads the state of an engine; blocks until the response or a timeout.
result<engine_state_response, engine_call_error>
readEngineState(const backend_address &Engine, const engine_call_timeouts &Timeouts);

/// Parses the body of a response to GET /v1/state.
result<engine_state_response, engine_call_error> parseEngineStateResponse(std::string_view Body);

/// Returns the body of the request POST /v1/orders for an order.
std::string encodeOrder(const planned_order &Order, fencing_token Fence);

/**
 * Sends an order; blocks until the response or a timeout.
 * @param MayWrite Called after connecting, right before the write; if it returns false, nothing is
 * sent.
 */
order_outcome sendOrder(const planned_order &Order, fencing_token Fence,
                        const engine_call_timeouts &Timeouts,
                        const std::function<bool()> &MayWrite);

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LINK_ENGINE_CALL_FUNC_H

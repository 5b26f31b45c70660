/** @file engine_call_func.h One HTTP call to an engine on a connection of its own. */
#ifndef POLLENSTALL_ORDER_LINK_ENGINE_CALL_FUNC_H
#define POLLENSTALL_ORDER_LINK_ENGINE_CALL_FUNC_H

#include "order_link/order_link_type.h"

#include <functional>
#include <string_view>

namespace pollenstall {

/// @return The real state of an engine; waits.
result<engine_report, engine_call_error> readEngineState(const backend_address &Engine,
                                                         const engine_call_times &Times);

/// @return What the body of GET /v1/state says.
result<engine_report, engine_call_error> engineReportFrom(std::string_view Body);

/// @return The body of POST /v1/orders.
std::string orderBody(const planned_order &Order, fencing_token Fence);

/**
 * Sends one order; waits.
 * @param MayWrite Asked once connected, right before the write; false sends nothing.
 */
order_outcome sendOrder(const planned_order &Order, fencing_token Fence,
                        const engine_call_times &Times, const std::function<bool()> &MayWrite);

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LINK_ENGINE_CALL_FUNC_H

/** @file attempt_list_func.h Lists the attempts that an engine holds. */
#ifndef POLLENSTALL_RELAY_ATTEMPT_LIST_FUNC_H
#define POLLENSTALL_RELAY_ATTEMPT_LIST_FUNC_H

#include "relay/backend_connection_pool_base.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace pollenstall {

/// Returns the attempts in the body of GET /v1/attempts that still hold memory. Malformed elements
/// are skipped.
std::vector<attempt_id> parseAttempts(std::string_view Body);

/// Returns the attempts, or nothing if the engine did not answer.
boost::asio::awaitable<std::optional<std::vector<attempt_id>>>
listAttempts(backend_connection_pool &Pool, const relay_limits &Limits, backend_key Backend);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ATTEMPT_LIST_FUNC_H

/** @file attempt_list_func.h Asks an engine which attempts it holds. */
#ifndef POLLENSTALL_RELAY_ATTEMPT_LIST_FUNC_H
#define POLLENSTALL_RELAY_ATTEMPT_LIST_FUNC_H

#include "relay/backend_links_base.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace pollenstall {

/// @return The attempts in the body of GET /v1/attempts that still hold memory; what has another
/// form is left out.
std::vector<attempt_id> attemptsIn(std::string_view Body);

/// @return The attempts, or nothing where the engine did not answer.
boost::asio::awaitable<std::optional<std::vector<attempt_id>>>
listAttempts(backend_links &Links, const relay_limits &Limits, backend_key Backend);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ATTEMPT_LIST_FUNC_H

/** @file short_call_func.h A request of the entry's own to a backend server, with a small answer.
 */
#ifndef POLLENSTALL_RELAY_SHORT_CALL_FUNC_H
#define POLLENSTALL_RELAY_SHORT_CALL_FUNC_H

#include "relay/backend_links_base.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace pollenstall {

/// The answer of a short call.
struct short_answer {
  unsigned Status{0};
  std::string Body;
};

/// Sends a head without a body within relay_limits::CancelTimeout. @return Nothing where no whole
/// answer came.
boost::asio::awaitable<std::optional<short_answer>> callShortly(backend_links &Links,
                                                                const relay_limits &Limits,
                                                                backend_key Backend,
                                                                std::string Head);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_SHORT_CALL_FUNC_H

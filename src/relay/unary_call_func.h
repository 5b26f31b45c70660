/** @file unary_call_func.h Sends a small request of the entry itself to a backend server. */
#ifndef POLLENSTALL_RELAY_UNARY_CALL_FUNC_H
#define POLLENSTALL_RELAY_UNARY_CALL_FUNC_H

#include "relay/backend_connection_pool_base.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace pollenstall {

/// The answer to a unary call.
struct unary_answer {
  unsigned Status{0};
  std::string Body;
};

/// Sends a request and reads the answer within relay_limits::CancelTimeout. @return Nothing if no
/// complete answer arrived.
/// @param MaySend Checked right before the first byte is sent; not set: it is sent.
boost::asio::awaitable<std::optional<unary_answer>>
unaryCall(backend_connection_pool &Pool, const relay_limits &Limits, backend_key Backend,
          std::string Request, std::function<bool()> MaySend = {});

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_UNARY_CALL_FUNC_H

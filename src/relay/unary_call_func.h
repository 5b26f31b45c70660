/** @file unary_call_func.h Sends a small request of the entry itself to a backend server. */
#ifndef POLLENSTALL_RELAY_UNARY_CALL_FUNC_H
#define POLLENSTALL_RELAY_UNARY_CALL_FUNC_H

#include "relay/backend_connection_pool_base.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace pollenstall {

/// The answer to a unary call.
struct unary_answer {
  unsigned Status{0};
  std::string Body;
};

/// Maximum size of the answer to an order, of which only the status and a few fields are read.
inline constexpr std::size_t MaxOrderAnswerBytes = 64U << 10U;

/// Sends a request and reads the answer within relay_limits::CancelTimeout. @return Nothing if no
/// complete answer arrived.
/// @param MaySend Checked right before the first byte is sent; not set: it is sent.
/// @param MaxAnswerBytes Larger answers are given up; the server may send without end.
boost::asio::awaitable<std::optional<unary_answer>>
unaryCall(backend_connection_pool &Pool, const relay_limits &Limits, backend_key Backend,
          std::string Request, std::function<bool()> MaySend = {},
          std::size_t MaxAnswerBytes = MaxOrderAnswerBytes);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_UNARY_CALL_FUNC_H

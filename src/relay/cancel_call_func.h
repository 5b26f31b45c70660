/** @file cancel_call_func.h Asks a backend server to cancel an attempt. */
#ifndef POLLENSTALL_RELAY_CANCEL_CALL_FUNC_H
#define POLLENSTALL_RELAY_CANCEL_CALL_FUNC_H

#include "relay/backend_connection_pool_base.h"

#include <boost/asio/awaitable.hpp>

namespace pollenstall {

/// The result of one cancel request.
enum class cancel_result : std::uint8_t {
  Confirmed,   ///< The backend server holds nothing for the attempt.
  NeverSeen,   ///< The server does not know the attempt; its start may still be in flight.
  Unconfirmed, ///< No answer, or one without a confirmation; the cancel must be repeated.
};

/// Returns what the answer to a cancel says; Unconfirmed if the answer is malformed.
cancel_result parseCancelResult(unsigned Status, std::string_view Body);

/// Sends one cancel request. The decision thread repeats it until it is confirmed.
boost::asio::awaitable<cancel_result> sendCancel(backend_connection_pool &Pool,
                                                 const relay_limits &Limits, cancel_attempt Order);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CANCEL_CALL_FUNC_H

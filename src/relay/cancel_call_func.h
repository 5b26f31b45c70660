/** @file cancel_call_func.h Asks a backend server to end an attempt. */
#ifndef POLLENSTALL_RELAY_CANCEL_CALL_FUNC_H
#define POLLENSTALL_RELAY_CANCEL_CALL_FUNC_H

#include "relay/backend_links_base.h"

#include <boost/asio/awaitable.hpp>

namespace pollenstall {

/// What came of one request that an attempt be ended.
enum class cancel_result : std::uint8_t {
  Confirmed,   ///< The backend server holds nothing of the attempt.
  NeverSeen,   ///< It does not know the attempt; the start may still be under way to it.
  Unconfirmed, ///< No answer, or one that confirms nothing: to be asked again.
};

/// @return What the answer to a cancel says; Unconfirmed where it has another form.
cancel_result cancelResultFrom(unsigned Status, std::string_view Body);

/// Asks once. The decision thread repeats it until it is confirmed.
boost::asio::awaitable<cancel_result> askToCancel(backend_links &Links, const relay_limits &Limits,
                                                  cancel_attempt Order);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CANCEL_CALL_FUNC_H

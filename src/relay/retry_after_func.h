/** @file retry_after_func.h Reads the Retry-After header of backend servers' answers. */
#ifndef POLLENSTALL_RELAY_RETRY_AFTER_FUNC_H
#define POLLENSTALL_RELAY_RETRY_AFTER_FUNC_H

#include "server_notice/server_notice.h"

#include <boost/beast/http/message.hpp>

namespace pollenstall {

/// @return The pause that the header asks for; unreadable if there are several.
pause_statement readRetryAfter(const boost::beast::http::response_header<> &Head);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_RETRY_AFTER_FUNC_H

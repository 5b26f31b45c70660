/** @file request_head_func.h Reads a request's head so that nobody behind can read it otherwise. */
#ifndef POLLENSTALL_RELAY_REQUEST_HEAD_FUNC_H
#define POLLENSTALL_RELAY_REQUEST_HEAD_FUNC_H

#include "core/core.h"
#include "relay/call_error_type.h"
#include "relay/request_head_type.h"

#include <string_view>

namespace pollenstall {

/**
 * Reads a head up to and with its blank line.
 * Refused, because two readers could take them for two different messages: Content-Length beside
 * Transfer-Encoding, either of them twice, another coding than "chunked", folded lines, bare line
 * ends, NUL, space before a colon, no or two Host headers, another version than HTTP/1.1.
 * @return The head, or the error that names the header.
 */
result<request_head, call_error> readRequestHead(std::string_view Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_HEAD_FUNC_H

/** @file request_head_func.h Parses a request's head strictly, so that no server behind the entry
 * can interpret it differently. */
#ifndef POLLENSTALL_RELAY_REQUEST_HEAD_FUNC_H
#define POLLENSTALL_RELAY_REQUEST_HEAD_FUNC_H

#include "core/core.h"
#include "relay/call_error_type.h"
#include "relay/request_head_type.h"

#include <string_view>

namespace pollenstall {

/**
 * Parses a head including its blank line.
 * Refuses what two parsers could interpret as two different messages: Content-Length together with
 * Transfer-Encoding, either of them twice, a coding other than "chunked", folded lines, bare line
 * ends, NUL, space before a colon, no or two Host headers, and a version other than HTTP/1.1.
 * @return The head, or the error that names the header.
 */
result<request_head, call_error> readRequestHead(std::string_view Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_REQUEST_HEAD_FUNC_H

/** @file pause_statement_func.h Reads pauses from header values. */
#ifndef POLLENSTALL_SERVER_NOTICE_PAUSE_STATEMENT_FUNC_H
#define POLLENSTALL_SERVER_NOTICE_PAUSE_STATEMENT_FUNC_H

#include "server_notice/server_notice_type.h"

#include <string_view>

namespace pollenstall {

/// A longer pause counts as this one.
constexpr std::chrono::minutes MaxPause{5};

/**
 * Reads a decimal number of seconds, as in Retry-After (RFC 9110, 10.2.3). Zero asks for no pause;
 * a date is unreadable, since the clocks of the hosts may differ by more than the pause.
 */
pause_statement parsePause(std::string_view Text);

} // namespace pollenstall

#endif // POLLENSTALL_SERVER_NOTICE_PAUSE_STATEMENT_FUNC_H

/** @file stall_log_func.h Logs that a thread stood still. */
#ifndef POLLENSTALL_ENTRY_STALL_LOG_FUNC_H
#define POLLENSTALL_ENTRY_STALL_LOG_FUNC_H

#include "core/core.h"

#include <string_view>

namespace pollenstall {

/// Writes the log event thread_stalled. @param Thread "relay" or "decisions".
void logStall(std::string_view Thread, mono_duration Stall);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_STALL_LOG_FUNC_H

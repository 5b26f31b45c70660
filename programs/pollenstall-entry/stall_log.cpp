/** @file stall_log.cpp The log event of a thread that stood still. */
#include "stall_log_func.h"

#include "program/program.h"

#include <string>

namespace pollenstall {

void logStall(std::string_view Thread, mono_duration Stall) {
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Stall);
  logEvent(log_level::Warning, "thread_stalled",
           {{"thread", std::string(Thread)}, {"ms", static_cast<std::int64_t>(Millis.count())}});
}

} // namespace pollenstall

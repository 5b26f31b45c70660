/** @file crash_report_func.h Logs the signal that ends a process because of a fault. */
#ifndef POLLENSTALL_PROGRAM_CRASH_REPORT_FUNC_H
#define POLLENSTALL_PROGRAM_CRASH_REPORT_FUNC_H

#include <string_view>

namespace pollenstall {

/**
 * Makes the process write the log event process_crashed to standard error when a fault such as an
 * invalid memory access or a failed invariant ends it. The signal then ends the process as it would
 * without the report. Signals that already have a handler, such as a sanitizer's, are left alone.
 * @param Program Name of the program, part of the line.
 */
void reportCrashes(std::string_view Program);

} // namespace pollenstall

#endif // POLLENSTALL_PROGRAM_CRASH_REPORT_FUNC_H

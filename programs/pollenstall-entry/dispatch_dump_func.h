/** @file dispatch_dump_func.h Converts the dispatcher state to JSON. */
#ifndef POLLENSTALL_ENTRY_DISPATCH_DUMP_FUNC_H
#define POLLENSTALL_ENTRY_DISPATCH_DUMP_FUNC_H

#include "dispatch/dispatch.h"

#include <string>

namespace pollenstall {

/// @return The state as one JSON object.
std::string dumpText(const dispatch_dump &Dump);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_DISPATCH_DUMP_FUNC_H

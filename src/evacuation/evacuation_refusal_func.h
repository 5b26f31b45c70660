/** @file evacuation_refusal_func.h When callers may retry if all servers of a service are out. */
#ifndef POLLENSTALL_EVACUATION_EVACUATION_REFUSAL_FUNC_H
#define POLLENSTALL_EVACUATION_EVACUATION_REFUSAL_FUNC_H

#include "core/core.h"

#include <chrono>

namespace pollenstall {

/**
 * Returns when the caller of a request for a service whose servers are all out should retry. When
 * the domain is restored is unknown, and callers retry once, so the retry should come as late as
 * they honour: after a third of their remaining time. At least 1 s.
 * @param Remaining Time until the deadline of the request.
 */
std::chrono::seconds evacuationRetryAfter(mono_duration Remaining);

} // namespace pollenstall

#endif // POLLENSTALL_EVACUATION_EVACUATION_REFUSAL_FUNC_H

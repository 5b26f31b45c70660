/** @file attempt_head_func.h The heads of requests to backend servers. */
#ifndef POLLENSTALL_RELAY_ATTEMPT_HEAD_FUNC_H
#define POLLENSTALL_RELAY_ATTEMPT_HEAD_FUNC_H

#include "dispatch/dispatch_type.h"
#include "relay/relayed_call_base.h"

#include <string>

namespace pollenstall {

/// @return The head of an attempt, up to its blank line; the body follows as it came.
std::string attemptHead(const relayed_call &Call, const start_attempt &Order, mono_time Now);

/// @return The request for the events behind the last one that the caller has.
std::string resumeHead(const relayed_call &Call, const resume_attempt &Order);

/// @return The request that an attempt be ended.
std::string cancelHead(const cancel_attempt &Order);

/// @return The request for the attempts that an engine holds.
std::string listHead(const backend_key &Backend);

/// @return The caller's traceparent where it has the published form, otherwise a new one.
std::string traceParentFrom(std::string_view Given, random_source &Random);

/// @return The name under which memory is set aside for an attempt; no two attempts share one.
std::string holdName(const attempt_id &Attempt, const backend_key &Backend);

/// @return The whole request of a small call.
std::string backendCallText(const backend_call &Call, const backend_key &Backend);

/// @return The request of a call of a declared route; behind its last event where it has begun.
std::string headedAttemptHead(const relayed_call &Call, const start_attempt &Order,
                              const call_interface &Interface, mono_time Now);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ATTEMPT_HEAD_FUNC_H

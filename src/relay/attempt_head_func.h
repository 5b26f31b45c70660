/** @file attempt_head_func.h Builds the request heads sent to backend servers. */
#ifndef POLLENSTALL_RELAY_ATTEMPT_HEAD_FUNC_H
#define POLLENSTALL_RELAY_ATTEMPT_HEAD_FUNC_H

#include "dispatch/dispatch_type.h"
#include "relay/relayed_call_base.h"

#include <string>

namespace pollenstall {

/// Returns the request head of an attempt up to its blank line; the body follows unchanged.
std::string attemptHead(const relayed_call &Call, const start_attempt &Order, mono_time Now);

/// Returns the request for the events after the last one that the caller has received.
std::string resumeHead(const relayed_call &Call, const resume_attempt &Order);

/// Returns the request that cancels an attempt.
std::string cancelHead(const cancel_attempt &Order);

/// Returns the request that lists the attempts an engine holds.
std::string listHead(const backend_key &Backend);

/// Returns the caller's traceparent if it is well formed, otherwise a new one.
std::string traceParentFrom(std::string_view Header, random_source &Random);

/// Returns the name of an attempt's memory hold at an engine; it is unique per attempt and engine.
std::string holdName(const attempt_id &Attempt, const backend_key &Backend);

/// Returns the whole request of a small backend call, head and body.
std::string backendCallText(const backend_call &Call, const backend_key &Backend);

/// Returns the request of a call of a declared route. If its stream has started, the request asks
/// for the events after the last relayed one.
std::string headerRoutedAttemptHead(const relayed_call &Call, const start_attempt &Order,
                                    const call_interface &Interface, mono_time Now);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ATTEMPT_HEAD_FUNC_H

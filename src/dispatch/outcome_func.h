/** @file outcome_func.h What the failure of an attempt proves, and whether a resume may follow. */
#ifndef POLLENSTALL_DISPATCH_OUTCOME_FUNC_H
#define POLLENSTALL_DISPATCH_OUTCOME_FUNC_H

#include "dispatch/attempt_type.h"
#include "dispatch/dispatch_type.h"

namespace pollenstall {

/**
 * Returns what a reported failure means in the attempt's state.
 * A proof of "not run" is valid in some states only. Once bytes may have been sent, neither a
 * refused connection nor a report that nothing was sent proves it. Once an answer has begun, no
 * failure proves it.
 */
attempt_failure failureInState(attempt_failure Reported, attempt_state State);

/// @return Whether the backend server may still run the attempt, so that it must be cancelled.
bool mayHoldMemory(attempt_failure Failure);

/// @return Whether the same backend server may be asked to continue at the exact offset.
bool mayResume(attempt_failure Failure);

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_OUTCOME_FUNC_H

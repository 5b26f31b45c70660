/** @file outcome_func.h What the end of an attempt proves, and what may follow it. */
#ifndef POLLENSTALL_DISPATCH_OUTCOME_FUNC_H
#define POLLENSTALL_DISPATCH_OUTCOME_FUNC_H

#include "dispatch/attempt_type.h"
#include "dispatch/dispatch_type.h"

namespace pollenstall {

/**
 * What a reported failure means in the state that the attempt is in.
 * A proof of "not run" counts only where it fits: once bytes may be out, a refused connection or an
 * unsent request proves nothing, and once an answer began, nothing does.
 */
attempt_failure failureInState(attempt_failure Reported, attempt_state State);

/// @return Whether the backend server may still work on the attempt, so that it must be cancelled.
bool mayHoldMemory(attempt_failure Failure);

/// @return Whether the same server may be asked to go on at the exact offset.
bool mayResume(attempt_failure Failure);

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_OUTCOME_FUNC_H

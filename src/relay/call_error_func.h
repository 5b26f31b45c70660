/** @file call_error_func.h Builds the errors returned to callers. */
#ifndef POLLENSTALL_RELAY_CALL_ERROR_FUNC_H
#define POLLENSTALL_RELAY_CALL_ERROR_FUNC_H

#include "relay/call_error_type.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// Returns a 400 error that names the field; the call was not run.
call_error invalidField(std::string Field, std::string Message);

/// Returns a refusal with the given status; the call was not run.
call_error refusal(unsigned Status, std::string Type, std::string Code, std::string Field,
                   std::string Message);

/// Returns a 503 refusal with a time to come back; the call was not run.
call_error unavailableError(std::string Code, std::string Message);

/// Returns the refusal of a call for which this entry has no memory.
call_error overloadedError();

/// Returns the same refusal, marked as one that a newer declaration may lift.
call_error undeclared(call_error Refusal);

/**
 * Returns the error that reports the end of a request; docs/design/relay.md has the table.
 * @param Idempotent Whether the request may run again if it may have run before.
 */
call_error errorFor(const finish_request &Finish, bool Idempotent);

/// Returns {"error":{...}} for the body of an answer or the data of an error event.
std::string errorBody(const call_error &Error);

/// Returns "complete", "not-run" or "unknown", as used in headers, bodies, logs and metrics.
std::string_view outcomeText(final_outcome Outcome);
/// Returns the failure's name in logs and metrics.
std::string_view attemptFailureText(attempt_failure Failure);

/// Returns the reason in lower snake case, as used in error codes, logs and metrics.
std::string_view reasonText(failure_reason Reason);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_ERROR_FUNC_H

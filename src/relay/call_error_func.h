/** @file call_error_func.h Builds the errors that callers see. */
#ifndef POLLENSTALL_RELAY_CALL_ERROR_FUNC_H
#define POLLENSTALL_RELAY_CALL_ERROR_FUNC_H

#include "relay/call_error_type.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// @return A 400 that names the field; nothing was run.
call_error invalidField(std::string Field, std::string Message);

/// @return A refusal with the given status; nothing was run.
call_error refusal(unsigned Status, std::string Type, std::string Code, std::string Field,
                   std::string Message);

/// @return The same refusal, marked as one that a newer declaration may take back.
call_error undeclared(call_error Refusal);

/**
 * @param Idempotent Of the request: whether work that may have run may run again.
 * @return The error that a request's end is told as; see docs/design/relay.md for the table.
 */
call_error errorFor(const finish_request &Finish, bool Idempotent);

/// @return {"error":{...}} as the body of an answer or the data of an error event.
std::string errorBody(const call_error &Error);

/// @return "complete", "not-run" or "unknown", as headers, bodies, logs and metrics write it.
std::string_view outcomeText(final_outcome Outcome);
/// @return Name of the failure in logs and metrics.
std::string_view attemptFailureText(attempt_failure Failure);

/// @return The reason in lower snake case, as codes, logs and metrics write it.
std::string_view reasonText(failure_reason Reason);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_ERROR_FUNC_H

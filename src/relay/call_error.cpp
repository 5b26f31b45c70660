/** @file call_error.cpp The table that maps outcomes to HTTP statuses, and the error body. */
#include "relay/call_error_func.h"

#include <boost/json.hpp>

#include <array>

namespace pollenstall {

namespace {

/// How one reason is reported. A caller's client library decides by the status whether to retry, so
/// a status that every library retries (429, 503) is used only if nothing was run.
struct reason_row {
  failure_reason Reason;
  std::string_view Code;
  unsigned NotRunStatus;
  unsigned UnknownStatus;
  std::string_view Message;
};

constexpr unsigned Conflict = 409;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned ClientClosed = 499;

constexpr std::array ReasonTable{
    reason_row{failure_reason::None, "none", Unavailable, BadGateway, "The call did not complete."},
    reason_row{failure_reason::QueueFull, "queue_full", TooManyRequests, BadGateway,
               "Too many requests are waiting."},
    reason_row{failure_reason::AccountLimit, "account_limit", TooManyRequests, BadGateway,
               "Too many requests of this client account are waiting."},
    reason_row{failure_reason::DeadlineUnmeetable, "deadline_unmeetable", Unavailable,
               GatewayTimeout, "The request could not finish before its deadline."},
    reason_row{failure_reason::DeadlineExceeded, "deadline_exceeded", GatewayTimeout,
               GatewayTimeout, "The request's deadline passed."},
    reason_row{failure_reason::NoBackend, "no_backend", Unavailable, BadGateway,
               "No backend server can take the request now."},
    reason_row{failure_reason::TooLargeForFleet, "too_large_for_fleet", Unavailable, BadGateway,
               "No engine of this fleet has the memory for the prompt."},
    reason_row{failure_reason::NotReady, "not_ready", Unavailable, BadGateway,
               "This entry has no configuration in force."},
    reason_row{failure_reason::ClaimUnavailable, "claim_unavailable", Unavailable, BadGateway,
               "The idempotency key could not be recorded durably."},
    reason_row{failure_reason::AlreadyRunning, "already_running", Conflict, Conflict,
               "An earlier send with this idempotency key was started; its result is unknown."},
    reason_row{failure_reason::AlreadyComplete, "already_complete", Conflict, Conflict,
               "An earlier send with this idempotency key has completed."},
    reason_row{failure_reason::BackendFailed, "backend_failed", Unavailable, BadGateway,
               "The backend server failed."},
    reason_row{failure_reason::RetriesExhausted, "retries_exhausted", Unavailable, BadGateway,
               "Every attempt failed."},
    reason_row{failure_reason::CallerLeft, "caller_left", ClientClosed, ClientClosed,
               "The caller closed the connection."},
    reason_row{failure_reason::ShuttingDown, "shutting_down", Unavailable, BadGateway,
               "This entry is stopping."},
};

const reason_row &rowOf(failure_reason Reason) {
  for (const reason_row &Row : ReasonTable)
    if (Row.Reason == Reason)
      return Row;
  return ReasonTable.front();
}

std::string_view typeOf(unsigned Status) {
  switch (Status) {
  case Conflict:
    return "conflict_error";
  case TooManyRequests:
    return "rate_limit_error";
  case Unavailable:
    return "unavailable_error";
  case GatewayTimeout:
    return "timeout_error";
  default:
    return "server_error";
  }
}

std::string_view outcomeSentence(final_outcome Outcome) {
  switch (Outcome) {
  case final_outcome::NotRun:
    return " It was not run.";
  case final_outcome::Unknown:
    return " It may have been run.";
  default:
    return "";
  }
}

/// Libraries retry 409 and 502 too. Without an idempotency key a repeated request is a new request,
/// and non-idempotent work whose first run broke off would run twice.
bool isRepeatable(const finish_request &Finish, unsigned Status, bool Idempotent) {
  // An unknown outcome with a retry time belongs to an idempotency key whose claim the
  // control hosts have not decided yet: the claim prevents the repeated request from running again.
  const bool RunsTwice =
      Finish.Outcome == final_outcome::Unknown && !Idempotent && !Finish.RetryAfter;
  return !RunsTwice && Status != Conflict && Finish.Reason != failure_reason::TooLargeForFleet;
}

} // namespace

call_error refusal(unsigned Status, std::string Type, std::string Code, std::string Field,
                   std::string Message) {
  return {Status,
          std::move(Type),
          std::move(Code),
          std::move(Field),
          std::move(Message),
          final_outcome::NotRun,
          {}};
}

call_error unavailableError(std::string Code, std::string Message) {
  constexpr unsigned Unavailable = 503;
  constexpr std::chrono::seconds RetryDelay{1};
  call_error Error = refusal(Unavailable, "unavailable_error", std::move(Code), "",
                             std::move(Message) + " It was not run.");
  Error.RetryAfter = RetryDelay;
  return Error;
}

call_error overloadedError() {
  return unavailableError("overloaded", "This entry has no capacity for the request now.");
}

call_error undeclared(call_error Refusal) {
  Refusal.Undeclared = true;
  return Refusal;
}

call_error invalidField(std::string Field, std::string Message) {
  constexpr unsigned BadRequest = 400;
  return refusal(BadRequest, "invalid_request_error", "invalid_value", std::move(Field),
                 std::move(Message));
}

call_error errorFor(const finish_request &Finish, bool Idempotent) {
  const reason_row &Row = rowOf(Finish.Reason);
  const unsigned Status =
      Finish.Outcome == final_outcome::NotRun ? Row.NotRunStatus : Row.UnknownStatus;
  call_error Error;
  Error.Status = Status;
  Error.Type = typeOf(Status);
  Error.Code = Row.Code;
  Error.Message = std::string(Row.Message) + std::string(outcomeSentence(Finish.Outcome));
  Error.Outcome = Finish.Outcome;
  Error.RetryAfter = Finish.RetryAfter;
  Error.Repeatable = isRepeatable(Finish, Status, Idempotent);
  return Error;
}

std::string errorBody(const call_error &Error) {
  boost::json::object Inner;
  Inner["message"] = Error.Message;
  Inner["type"] = Error.Type;
  Inner["code"] = Error.Code;
  Inner["param"] =
      Error.Field.empty() ? boost::json::value(nullptr) : boost::json::value(Error.Field);
  Inner["outcome"] = outcomeText(Error.Outcome);
  boost::json::object Body;
  Body["error"] = std::move(Inner);
  return boost::json::serialize(Body);
}

std::string_view attemptFailureText(attempt_failure Failure) {
  switch (Failure) {
  case attempt_failure::NotConnected:
    return "not_connected";
  case attempt_failure::Declined:
    return "declined";
  case attempt_failure::BrokenUnsent:
    return "broken_unsent";
  case attempt_failure::BrokenSent:
    return "broken_sent";
  case attempt_failure::BrokenMidway:
    return "broken_midway";
  case attempt_failure::ErrorAnswer:
    return "error_answer";
  case attempt_failure::BadAnswer:
    return "bad_answer";
  case attempt_failure::PathBroken:
    return "path_broken";
  case attempt_failure::NotWanted:
    return "not_wanted";
  default:
    return "timed_out";
  }
}

std::string_view outcomeText(final_outcome Outcome) {
  switch (Outcome) {
  case final_outcome::Complete:
    return "complete";
  case final_outcome::NotRun:
    return "not-run";
  default:
    return "unknown";
  }
}

std::string_view reasonText(failure_reason Reason) { return rowOf(Reason).Code; }

} // namespace pollenstall

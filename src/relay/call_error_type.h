/** @file call_error_type.h The error that a caller receives for a call that did not complete. */
#ifndef POLLENSTALL_RELAY_CALL_ERROR_TYPE_H
#define POLLENSTALL_RELAY_CALL_ERROR_TYPE_H

#include "dispatch/dispatch_type.h"

#include <chrono>
#include <optional>
#include <string>

namespace pollenstall {

/// One error answer, in the format that chat/completions clients expect.
struct call_error {
  unsigned Status{500};
  std::string Type;    ///< For example "invalid_request_error" or "rate_limit_error".
  std::string Code;    ///< Machine-readable lower_snake code.
  std::string Field;   ///< The invalid field, header or path; empty if there is none.
  std::string Message; ///< Human-readable; names the limit if one was exceeded.
  final_outcome Outcome{final_outcome::NotRun};
  std::optional<std::chrono::seconds> RetryAfter;
  bool Repeatable{true};  ///< False: a client library must not retry the call automatically.
  bool Undeclared{false}; ///< The declaration in force does not know the route, key or model.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_ERROR_TYPE_H

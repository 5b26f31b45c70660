/** @file call_error_type.h What a caller is told of a call that did not complete. */
#ifndef POLLENSTALL_RELAY_CALL_ERROR_TYPE_H
#define POLLENSTALL_RELAY_CALL_ERROR_TYPE_H

#include "dispatch/dispatch_type.h"

#include <chrono>
#include <optional>
#include <string>

namespace pollenstall {

/// One error answer, in the shape that chat/completions clients expect.
struct call_error {
  unsigned Status{500};
  std::string Type;    ///< "invalid_request_error", "rate_limit_error" and the like.
  std::string Code;    ///< Fixed lower_snake word for programs.
  std::string Field;   ///< The field, header or path that is wrong; empty where none is.
  std::string Message; ///< For people; names the limit where one was passed.
  final_outcome Outcome{final_outcome::NotRun};
  std::optional<std::chrono::seconds> RetryAfter;
  bool Repeatable{true};  ///< False: a client library must not send the call again by itself.
  bool Undeclared{false}; ///< For want of a declaration that knows the route, key or model.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_CALL_ERROR_TYPE_H

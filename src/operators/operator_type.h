/** @file operator_type.h Calls to an operator server and their replies. */
#ifndef POLLENSTALL_OPERATORS_OPERATOR_TYPE_H
#define POLLENSTALL_OPERATORS_OPERATOR_TYPE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace pollenstall {

/// A call, authorised if its route needs the key.
struct operator_call {
  std::string Method;
  std::string Path; ///< Without the query.
  std::string Query;
  std::string Body;
};

/// The reply of a handler.
struct operator_reply {
  unsigned Status{200};
  std::string ContentType{"application/json"};
  std::string Body;
  std::string Location{};             ///< URL to retry the call at; empty: no Location header.
  std::chrono::seconds RetryAfter{0}; ///< Delay before a retry; 0: no Retry-After header.
};

/// Answers a call. It may block up to the time limit of a call, unless its route is
/// operator_access::Open.
using operator_handler = std::function<operator_reply(const operator_call &)>;

/// Whether a route needs the operators' key, and whether its handler may block.
enum class operator_access : std::uint8_t {
  Open, ///< No key, and the handler must not block; for load balancer and metrics collector.
  OpenBlocking, ///< No key, but the handler may block.
  KeyNeeded,    ///< Answers 401 without the key; the handler may block.
};

/// Pool of handler threads. Each pool has its own limit, so that a burst of one kind of call cannot
/// starve the other.
enum class call_pool : std::uint8_t {
  Operators, ///< Changes and reads by operators.
  Notices,   ///< Announcements of backend servers, about one a second from each.
};

/// The reason why the server could not start.
struct operator_server_error {
  std::string Text;
};

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_OPERATOR_TYPE_H

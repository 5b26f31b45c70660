/** @file operator_type.h Calls that arrive at the operators' address, and their answers. */
#ifndef POLLENSTALL_OPERATORS_OPERATOR_TYPE_H
#define POLLENSTALL_OPERATORS_OPERATOR_TYPE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace pollenstall {

/// One call; already authorised where the route asks for the key.
struct operator_call {
  std::string Method;
  std::string Path; ///< Without the query.
  std::string Query;
  std::string Body;
};

/// The answer of a handler.
struct operator_reply {
  unsigned Status{200};
  std::string ContentType{"application/json"};
  std::string Body;
  std::string Location{};             ///< Where to ask instead, as a URL; empty where nowhere.
  std::chrono::seconds RetryAfter{0}; ///< When to ask again; 0: nothing is said of it.
};

/// It may block for as long as the call may take, but for one of operator_access::Open.
using operator_handler = std::function<operator_reply(const operator_call &)>;

/// Whether a route asks for the operators' key.
enum class operator_access : std::uint8_t {
  Open,      ///< For the platform's balancer and the metrics collector; answers at once.
  OpenWaits, ///< Without a key as well, but its handler may block.
  KeyNeeded, ///< 401 without the key; its handler may block.
};

/// Calls that wait apart from each other, so that a crowd of one sort cannot shut out the other.
enum class call_lane : std::uint8_t {
  Operators, ///< Changes and reads.
  Notices,   ///< What backend servers say of themselves, each of them every second or so.
};

/// Why the server could not start.
struct operator_server_error {
  std::string Text;
};

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_OPERATOR_TYPE_H

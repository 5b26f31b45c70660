/** @file http_client_func.h One HTTP/1.1 request on a connection of its own, with a time limit. */
#ifndef POLLENSTALL_POLLENSTALLCTL_HTTP_CLIENT_FUNC_H
#define POLLENSTALL_POLLENSTALLCTL_HTTP_CLIENT_FUNC_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// Parts of "http://IP:port/path".
struct http_url {
  std::string Host; ///< Numeric, without brackets.
  std::uint16_t Port{0};
  std::string Path; ///< Without a trailing slash; empty for the root.
};

/// What is sent.
struct http_call {
  std::string Method;
  std::string Path; ///< Appended to the URL's path.
  std::string Body;
  std::string BearerKey; ///< Empty for none.
};

/// What came back.
struct http_answer {
  unsigned int Status{0};
  std::string Body;
};

/// How far a call without an answer got.
enum class http_failure_kind : std::uint8_t {
  NotConnected, ///< No byte was sent.
  Lost          ///< Something may have been sent and acted upon.
};

/// Why there is no answer.
struct http_failure {
  http_failure_kind Kind{http_failure_kind::NotConnected};
  std::string Message;
};

/// @return The parts, or nothing where the text is not an http URL with a numeric address.
std::optional<http_url> parseUrl(std::string_view Text);

/// Sends and waits for the whole answer. @param Limit For all of it, connecting included.
result<http_answer, http_failure> exchange(const http_url &Url, const http_call &Call,
                                           std::chrono::milliseconds Limit);

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_HTTP_CLIENT_FUNC_H

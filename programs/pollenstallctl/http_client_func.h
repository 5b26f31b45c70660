/** @file http_client_func.h Sends one HTTP/1.1 request per connection, with a timeout. */
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

/// A request to send.
struct http_request {
  std::string Method;
  std::string Path; ///< Appended to the URL's path.
  std::string Body;
  std::string BearerKey; ///< Empty for none.
};

/// A complete response.
struct http_response {
  unsigned int Status{0};
  std::string Body;
};

/// How far a request without a response got.
enum class http_failure_kind : std::uint8_t {
  NotConnected, ///< No byte was sent.
  ResponseLost  ///< The server may have received and processed the request.
};

/// Why a request has no response.
struct http_failure {
  http_failure_kind Kind{http_failure_kind::NotConnected};
  std::string Message;
};

/// @return The parts, or nothing if the text is not an http URL with a numeric address.
std::optional<http_url> parseUrl(std::string_view Text);

/// Sends a request and waits for the complete response. @param Limit Includes the connect time.
result<http_response, http_failure> sendRequest(const http_url &Url, const http_request &Request,
                                                std::chrono::milliseconds Limit);

} // namespace pollenstall

#endif // POLLENSTALL_POLLENSTALLCTL_HTTP_CLIENT_FUNC_H

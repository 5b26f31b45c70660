/** @file http_client_base.h A small blocking HTTP client with a time limit for each call. */
#ifndef POLLENSTALL_SUPPORT_HTTP_CLIENT_BASE_H
#define POLLENSTALL_SUPPORT_HTTP_CLIENT_BASE_H

#include "support/eventually_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A complete answer, or the error.
struct http_answer {
  std::string Error; ///< Empty if the answer is complete.
  int Status{0};     ///< 0 if no head was received.
  http_headers Headers;
  std::string Body;

  [[nodiscard]] bool ok() const { return Error.empty() && Status == 200; }
  /// @return The header with this case-insensitive name; empty if it is absent.
  [[nodiscard]] std::string header(const std::string &Name) const;
  /// @return The body as JSON; null if it is not valid JSON.
  [[nodiscard]] boost::json::value json() const;
};

/// One server-sent event.
struct sse_event {
  std::string Id;
  std::string Data;
};

/// Client of one address that opens a new connection for each request.
class http_client {
public:
  /// @param Address "ip:port".
  explicit http_client(std::string PeerAddress, std::chrono::milliseconds Limit = TestLimit)
      : Address(std::move(PeerAddress)), TimeLimit(Limit) {}

  http_answer get(const std::string &Target, const http_headers &Headers = {}) const {
    return request("GET", Target, {}, Headers);
  }
  http_answer post(const std::string &Target, const std::string &Body,
                   const http_headers &Headers = {}) const {
    return request("POST", Target, Body, Headers);
  }
  http_answer request(const std::string &Method, const std::string &Target, const std::string &Body,
                      const http_headers &Headers) const;

private:
  std::string Address;
  std::chrono::milliseconds TimeLimit;
};

/// Reads a streamed answer event by event.
class http_stream {
public:
  /// Connects, sends the request and reads the head; error() is empty on success.
  http_stream(const std::string &Address, const std::string &Method, const std::string &Target,
              const std::string &Body, const http_headers &Headers = {},
              std::chrono::milliseconds Limit = TestLimit);

  [[nodiscard]] int status() const { return Status; }
  [[nodiscard]] std::string header(const std::string &Name) const;
  /// @return Why the head or the last event could not be read; empty without an error.
  [[nodiscard]] const std::string &error() const { return Error; }

  /// @return The next event, or nothing at the end of the body, on an error or past the limit.
  std::optional<sse_event> next();
  /// @return All remaining events.
  std::vector<sse_event> remainingEvents();
  /// @return Whether the HTTP body was terminated correctly, with or without a [DONE] event.
  [[nodiscard]] bool endedCleanly() const;
  /// Closes the connection, as a caller that disconnects.
  void close();

private:
  bool runStep();
  void readMore();
  std::optional<sse_event> takeEvent();

  boost::asio::io_context Io;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  boost::beast::http::response_parser<boost::beast::http::string_body> Parser;
  std::chrono::milliseconds TimeLimit;
  std::string Error;
  std::string Text;
  int Status{0};
};

/// @return A chat/completions body with one user message. @param AnswerTokens 0: no limit
/// is sent.
std::string chatBody(const std::string &Model, const std::string &Prompt, bool Stream,
                     int AnswerTokens = 0);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_HTTP_CLIENT_BASE_H

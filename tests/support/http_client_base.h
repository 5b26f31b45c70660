/** @file http_client_base.h A small blocking HTTP client whose every call has a time limit. */
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

/// A whole answer, or what went wrong.
struct http_answer {
  std::string Error; ///< Empty where the answer is whole.
  int Status{0};     ///< 0 where not even a head came.
  http_headers Headers;
  std::string Body;

  [[nodiscard]] bool ok() const { return Error.empty() && Status == 200; }
  /// @return A header by its name in any case; empty where it is absent.
  [[nodiscard]] std::string header(const std::string &Name) const;
  /// @return The body as JSON; null where it is not.
  [[nodiscard]] boost::json::value json() const;
};

/// One event of a stream.
struct sse_event {
  std::string Id;
  std::string Data;
};

/// Client of one address; every request takes a connection of its own.
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

/// A streamed answer that is read event by event.
class http_stream {
public:
  /// Connects, sends and reads the head; error() says whether that went well.
  http_stream(const std::string &Address, const std::string &Method, const std::string &Target,
              const std::string &Body, const http_headers &Headers = {},
              std::chrono::milliseconds Limit = TestLimit);

  [[nodiscard]] int status() const { return Status; }
  [[nodiscard]] std::string header(const std::string &Name) const;
  /// @return Empty, or why the head or the last event could not be read.
  [[nodiscard]] const std::string &error() const { return Error; }

  /// @return The next event; nothing at the end of the body, a break or the limit.
  std::optional<sse_event> next();
  /// @return All further events.
  std::vector<sse_event> remainingEvents();
  /// @return Whether the body ended as HTTP says it must, which says nothing of [DONE].
  [[nodiscard]] bool endedCleanly() const;
  /// Leaves, as a caller that hangs up.
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

/// @return A chat/completions body with one user message. @param AnswerTokens 0: not given.
std::string chatBody(const std::string &Model, const std::string &Prompt, bool Stream,
                     int AnswerTokens = 0);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_HTTP_CLIENT_BASE_H

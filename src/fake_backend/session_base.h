/** @file session_base.h Server side of one HTTP connection: reads requests and writes responses and
 * event streams. */
#ifndef POLLENSTALL_FAKE_BACKEND_SESSION_BASE_H
#define POLLENSTALL_FAKE_BACKEND_SESSION_BASE_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pollenstall {

using backend_request = boost::beast::http::request<boost::beast::http::string_body>;
using backend_response = boost::beast::http::response<boost::beast::http::string_body>;

class session;
using session_ptr = std::shared_ptr<session>;

/// Reads one request at a time; the owner answers each with reply() or an event stream.
class session : public std::enable_shared_from_this<session> {
public:
  using request_handler = std::function<void(const session_ptr &, backend_request &&)>;
  using callback = std::function<void()>;

  session(boost::asio::ip::tcp::socket PeerSocket, request_handler RequestHandler);

  void start() { readRequest(); }

  /// Sends a complete response.
  /// @param OnComplete Called after the response is written and before the next request is read.
  void reply(backend_response &&Response, const callback &OnComplete = {});
  /// Sends a response with half of its body and closes the connection.
  void replyTruncated(backend_response &&Response);

  /// Starts an event stream with a chunked body. @param Attempt Attempt header; empty: none.
  void openStream(const std::string &Attempt);
  /// Sends events as one chunk. @param OnComplete Called after the events are written.
  void writeEvents(const std::string &Events, callback OnComplete);
  /// Sends events, ends the body and reads the next request.
  /// @param OnComplete Called after the body is written and before the next request is read.
  void finishStream(const std::string &Events, const callback &OnComplete);
  [[nodiscard]] bool writing() const { return Writing; }

  /// Sets the callback for a connection that closes before the response is complete.
  void setDisconnectHandler(callback Handler) { OnDisconnect = std::move(Handler); }
  /// Closes the connection and calls the disconnect handler.
  void close();
  [[nodiscard]] bool closed() const { return Closed; }

  /// Calls OnComplete after Delay unless the connection closes before.
  void runAfter(std::chrono::milliseconds Delay, const callback &OnComplete);

private:
  void readRequest();
  void watchPeer();
  bool peerDisconnected();
  void send(std::string &&Bytes, callback OnComplete);
  void finishRequest(bool KeepOpen);

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer DelayTimer;
  boost::beast::flat_buffer Buffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> Parser;
  std::string PendingHead; ///< Response header of a stream; sent together with the first events.
  std::string WriteBuffer; ///< Bytes of the write in progress.
  request_handler OnRequest;
  callback OnDisconnect;
  std::uint64_t RequestCount{0}; ///< Lets a stale peer watch detect a newer request.
  bool Writing{false};
  bool Closed{false};
  bool KeepAlive{true};
  bool Pipelined{false}; ///< The next request has arrived; its bytes hide a disconnect.
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_SESSION_BASE_H

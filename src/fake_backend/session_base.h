/** @file session_base.h One connection of an entry: requests in, answers and event streams out. */
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

/// Reads one request after the other; the owner answers each with reply() or an event stream.
class session : public std::enable_shared_from_this<session> {
public:
  using request_hook = std::function<void(const session_ptr &, backend_request &&)>;
  using plain_hook = std::function<void()>;

  session(boost::asio::ip::tcp::socket Peer, request_hook OnRequest);

  void start() { readRequest(); }

  /// Sends a whole answer. @param Then Called once it is written, before the next request is read.
  void reply(backend_response &&Response, const plain_hook &Then = {});
  /// Sends half of an answer and breaks the connection.
  void replyHalf(backend_response &&Response);

  /// Starts a stream of events with a chunked body. @param Attempt Echoed, unless it is empty.
  void openStream(const std::string &Attempt);
  /// Sends events as one chunk. @param Then Called once they are written.
  void writeEvents(const std::string &Events, plain_hook Then);
  /// Sends events, ends the body and reads the next request. @param Then As above.
  void finishStream(const std::string &Events, const plain_hook &Then);
  [[nodiscard]] bool writing() const { return Writing; }

  /// Sets what is called when the peer leaves before the answer is out.
  void onBroken(plain_hook Hook) { Broken = std::move(Hook); }
  /// Breaks the connection and calls the hook of onBroken().
  void close();
  [[nodiscard]] bool closed() const { return Closed; }

  /// Calls Then later, unless the connection breaks before.
  void after(std::chrono::milliseconds Delay, const plain_hook &Then);

private:
  void readRequest();
  void watchPeer();
  bool peerLeft();
  void send(std::string &&Bytes, plain_hook Then);
  void answered(bool Reuse);

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Delayed;
  boost::beast::flat_buffer Buffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> Parser;
  std::string Head; ///< Of a stream, until it goes out with the first events.
  std::string Out;  ///< What is being written.
  request_hook Request;
  plain_hook Broken;
  std::uint64_t Turn{0}; ///< Counts requests, so that an old watch does not end a later one.
  bool Writing{false};
  bool Closed{false};
  bool KeepAlive{true};
  bool Pipelined{false}; ///< The next request is there already; its bytes hide a break.
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_SESSION_BASE_H

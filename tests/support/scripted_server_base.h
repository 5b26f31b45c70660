/** @file scripted_server_base.h A server inside the test whose script writes the bytes of each
 * answer. */
#ifndef POLLENSTALL_SUPPORT_SCRIPTED_SERVER_BASE_H
#define POLLENSTALL_SUPPORT_SCRIPTED_SERVER_BASE_H

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// One request as the server received it.
struct received_request {
  std::string Head;
  std::string Body;
};

/// How much of a request a scripted server reads before it answers.
enum class request_reading : std::uint8_t {
  Whole,
  HeadOnly, ///< Its receive buffer is small, so that a large body can't be written.
};

/// Reads one request per connection and answers it by a script, one connection after another.
class scripted_server {
public:
  using tcp_socket = boost::asio::ip::tcp::socket;
  /// Writes the bytes of the answer. The connection is closed afterwards; resetConnection() sends a
  /// reset instead.
  using script = std::function<void(tcp_socket &, const received_request &)>;

  explicit scripted_server(script Answer, request_reading Reading = request_reading::Whole);
  ~scripted_server();
  scripted_server(const scripted_server &) = delete;
  scripted_server &operator=(const scripted_server &) = delete;

  [[nodiscard]] backend_key key() const;
  [[nodiscard]] std::vector<received_request> requests() const;
  /// @return Whether another connection waits to be served; for use by the script.
  [[nodiscard]] bool hasPendingConnection();

private:
  void serve();
  /// @return Nothing if the connection ended first.
  [[nodiscard]] std::optional<received_request> readRequest(tcp_socket &Socket) const;

  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  script Answer;
  request_reading Reading;
  mutable std::mutex Guard;
  std::vector<received_request> Requests;
  bool Stopping{false};
  std::thread Thread;
};

/// Writes text to a socket; errors are ignored, since the peer may have closed.
void sendText(scripted_server::tcp_socket &Socket, const std::string &Text);
/// Waits until the peer has sent as much as the receive buffer of the socket takes.
void waitUntilFull(scripted_server::tcp_socket &Socket);
/// Waits until the peer has closed the connection.
void waitForClose(scripted_server::tcp_socket &Socket);
/// Closes the connection with a reset.
void resetConnection(scripted_server::tcp_socket &Socket);
/// @return A server-sent event with this id and one line of data.
std::string eventText(int Id);
/// @return One chunk of a chunked body.
std::string chunkOf(const std::string &Part);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_SCRIPTED_SERVER_BASE_H

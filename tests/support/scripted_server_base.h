/** @file scripted_server_base.h A server in the test itself that answers byte by byte. */
#ifndef POLLENSTALL_SUPPORT_SCRIPTED_SERVER_BASE_H
#define POLLENSTALL_SUPPORT_SCRIPTED_SERVER_BASE_H

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// One request as a server has read it.
struct received_request {
  std::string Head;
  std::string Body;
};

/// Reads one request on each connection and answers by its script, one connection after another.
class scripted_server {
public:
  using tcp_socket = boost::asio::ip::tcp::socket;
  /// Writes the answer's bytes; the connection is closed behind it, by a reset where it says so.
  using script = std::function<void(tcp_socket &, const received_request &)>;

  explicit scripted_server(script Answer);
  ~scripted_server();
  scripted_server(const scripted_server &) = delete;
  scripted_server &operator=(const scripted_server &) = delete;

  [[nodiscard]] backend_key key() const;
  [[nodiscard]] std::vector<received_request> requests() const;
  /// For its script: whether another connection waits to be served.
  [[nodiscard]] bool hasPendingConnection();

private:
  void serve();

  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  script Answer;
  mutable std::mutex Guard;
  std::vector<received_request> Requests;
  bool Stopping{false};
  std::thread Thread;
};

/// Writes text to a socket; the peer may have gone.
void sendText(scripted_server::tcp_socket &Socket, const std::string &Text);
/// Returns once the peer has closed.
void waitForClose(scripted_server::tcp_socket &Socket);
/// Closes so that the peer sees a reset.
void resetConnection(scripted_server::tcp_socket &Socket);
/// @return An event with its id and a line of data.
std::string eventText(int Id);
/// @return One chunk of a body.
std::string chunkOf(const std::string &Part);

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_SCRIPTED_SERVER_BASE_H

/** @file framed_listener_base.h Accepts TCP connections and passes on their sockets. */
#ifndef POLLENSTALL_PEER_LINK_FRAMED_LISTENER_BASE_H
#define POLLENSTALL_PEER_LINK_FRAMED_LISTENER_BASE_H

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pollenstall {

/// Why listening on an address failed.
struct listen_error {
  std::string Text;
};

/// Listens on one address. All functions must be called on the io_context's only thread, or before
/// it runs.
class framed_listener {
public:
  using accept_callback = std::function<void(boost::asio::ip::tcp::socket)>;

  /// @param Address "IP:port"; with port 0 the kernel assigns a port.
  static result<std::unique_ptr<framed_listener>, listen_error>
  open(boost::asio::io_context &Io, const std::string &Address, accept_callback Accepted);

  /// @return The listening address, with the port that the kernel assigned.
  [[nodiscard]] std::string address() const;

private:
  framed_listener(boost::asio::io_context &Io, accept_callback Hook);
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer RetryTimer;
  accept_callback Accepted;
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_FRAMED_LISTENER_BASE_H

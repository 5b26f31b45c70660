/** @file framed_listener_base.h Accepts TCP connections and hands their sockets on. */
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

/// Why an address cannot be listened on.
struct listen_error {
  std::string Text;
};

/// Listens on one address; all calls are made on the io_context's one thread or before it runs.
class framed_listener {
public:
  using accepted_hook = std::function<void(boost::asio::ip::tcp::socket)>;

  /// @param Address "IP:port"; port 0 takes one from the kernel.
  static result<std::unique_ptr<framed_listener>, listen_error>
  open(boost::asio::io_context &Io, const std::string &Address, accepted_hook Accepted);

  /// @return Where it listens, with the port that the kernel gave.
  [[nodiscard]] std::string address() const;

private:
  framed_listener(boost::asio::io_context &Io, accepted_hook Hook);
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Pause;
  accepted_hook Accepted;
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_FRAMED_LISTENER_BASE_H

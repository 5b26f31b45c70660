/** @file framed_listener.cpp The accept loop. */
#include "peer_link/framed_listener_base.h"

#include "address/address.h"

namespace pollenstall {

using boost::asio::ip::tcp;

namespace {

/// Delay after a failed accept, such as when no file descriptor is free. An immediate retry would
/// spin.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

framed_listener::framed_listener(boost::asio::io_context &Io, accept_callback Hook)
    : Acceptor(Io), RetryTimer(Io), Accepted(std::move(Hook)) {}

result<std::unique_ptr<framed_listener>, listen_error>
framed_listener::open(boost::asio::io_context &Io, const std::string &Address,
                      accept_callback Accepted) {
  std::unique_ptr<framed_listener> Listener(new framed_listener(Io, std::move(Accepted)));
  const auto Listening = listenOn(Listener->Acceptor, Address);
  if (!succeeded(Listening))
    return listen_error{errorOf(Listening)};
  Listener->accept();
  return Listener;
}

std::string framed_listener::address() const {
  boost::system::error_code Ignored;
  return toText(Acceptor.local_endpoint(Ignored));
}

void framed_listener::accept() {
  Acceptor.async_accept([this](boost::system::error_code Error, tcp::socket Socket) {
    if (Error == boost::asio::error::operation_aborted)
      return;
    if (!Error) {
      Accepted(std::move(Socket));
      return accept();
    }
    RetryTimer.expires_after(AcceptRetryDelay);
    RetryTimer.async_wait([this](boost::system::error_code Cancelled) {
      if (!Cancelled)
        accept();
    });
  });
}

} // namespace pollenstall

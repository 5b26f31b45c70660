/** @file peer_sender_base.h The outgoing connection to one peer, reopened whenever it is lost. */
#ifndef POLLENSTALL_PEER_LINK_PEER_SENDER_BASE_H
#define POLLENSTALL_PEER_LINK_PEER_SENDER_BASE_H

#include "peer_link/framed_connection_base.h"
#include "peer_link/peer_link_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace pollenstall {

/// Keeps a connection to one peer open. Used on the link's thread only.
class peer_sender {
public:
  peer_sender(boost::asio::io_context &Io, const peer_link_options &Options, std::string Address);
  ~peer_sender();
  peer_sender(const peer_sender &) = delete;
  peer_sender &operator=(const peer_sender &) = delete;

  /// Changes the peer's address; an open connection is replaced.
  void changeAddress(const std::string &Address);

  /// Sets the first frame of each connection. If a connection is open, sends it immediately.
  void setHelloFrame(std::string Frame);

  /// Connects immediately, since the peer is known to be up, unless a connection is open or an
  /// attempt has just begun.
  void reconnectNow();

  /// @return False if there is no connection or its queue is full.
  bool send(std::string_view Frame);

private:
  void connect();
  void opened();
  void scheduleReconnect();

  boost::asio::io_context &Io;
  const peer_link_options &Options;
  std::string Address;
  std::string HelloFrame;
  boost::asio::steady_timer Timer;
  std::shared_ptr<framed_connection> Connection;
  std::chrono::milliseconds BackOff;
  mono_time LastAttemptAt{}; ///< Start of the last connection attempt.
  bool Open{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_PEER_SENDER_BASE_H

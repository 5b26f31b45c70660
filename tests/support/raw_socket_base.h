/** @file raw_socket_base.h A TCP connection for bytes that no HTTP client would send. */
#ifndef POLLENSTALL_SUPPORT_RAW_SOCKET_BASE_H
#define POLLENSTALL_SUPPORT_RAW_SOCKET_BASE_H

#include "support/eventually_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <string>

namespace pollenstall {

/// A blocking TCP connection with time limits.
class raw_socket {
public:
  /// @param ReceiveBytes Size of the receive buffer, small to simulate a peer that stops reading;
  /// 0: the default of the kernel.
  explicit raw_socket(const std::string &Address, int ReceiveBytes = 0,
                      std::chrono::milliseconds Limit = TestLimit);

  [[nodiscard]] bool connected() const { return Connected; }
  /// @return Whether all bytes were written within the limit.
  bool send(const std::string &Bytes);
  /// Reads until the marker, the close of the peer or the limit. @return All bytes read.
  std::string receiveUntil(const std::string &Marker);
  /// Reads until the peer closes or the limit passes. @return All bytes read.
  std::string receiveAll() { return receiveUntil({}); }
  /// @return Whether the last read ended by the close of the peer and not by the limit.
  [[nodiscard]] bool peerClosed() const { return PeerClosed; }
  void close();

private:
  boost::asio::io_context Io;
  boost::beast::tcp_stream Stream;
  std::chrono::milliseconds TimeLimit;
  bool Connected{false};
  bool PeerClosed{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_SUPPORT_RAW_SOCKET_BASE_H

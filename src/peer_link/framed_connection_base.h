/** @file framed_connection_base.h A TCP connection that carries frames, used on one thread. */
#ifndef POLLENSTALL_PEER_LINK_FRAMED_CONNECTION_BASE_H
#define POLLENSTALL_PEER_LINK_FRAMED_CONNECTION_BASE_H

#include "wire/wire.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace pollenstall {

/// Bounds of a connection.
struct framed_limits {
  std::size_t MaxFrame{MaxFrameBytes};      ///< Larger frames close the connection.
  std::size_t MaxQueued{2 * MaxFrameBytes}; ///< Bytes queued for writing.
  std::chrono::milliseconds SendTimeout{
      3000}; ///< Closes the connection if bytes stay unacknowledged.
};

/// Notifications to the owner of a connection, on the connection's thread.
struct framed_callbacks {
  std::function<void()> Opened; ///< Called only after connect().
  std::function<void(std::string &&Message)> Received;
  std::function<void()> Closed; ///< By the peer, by an error or by an oversized frame.
  std::function<void(std::size_t Bytes)> Arrived{}; ///< Bytes may be part of a message only.
};

/**
 * Reads and writes frames. All functions must be called on the io_context's only thread.
 * TCP_USER_TIMEOUT limits how long bytes stay unacknowledged. Without it, a healed partition would
 * deliver bytes that were written minutes ago.
 */
class framed_connection : public std::enable_shared_from_this<framed_connection> {
public:
  framed_connection(boost::asio::ip::tcp::socket Connected, const framed_limits &Bounds);

  /// Sets the owner's callbacks; must be called before connect() or start().
  void setCallbacks(framed_callbacks CurrentCallbacks);

  /// Opens the connection and starts to read.
  void connect(const boost::asio::ip::tcp::endpoint &To);

  /// Starts to read from an accepted socket.
  void start();

  /// @return False if the queue is full or the connection is closed; the frame is dropped then.
  bool send(std::string_view Frame);

  /// Closes immediately. No callback is called afterwards.
  void close();

  /// Closes after the queued bytes are written. No callback is called afterwards.
  void closeWhenWritten();

private:
  void prepareSocket();
  void read();
  void received(std::size_t Count);
  void write();
  void fail();
  void closeSocket();

  boost::asio::ip::tcp::socket Socket;
  framed_limits Limits;
  std::shared_ptr<framed_callbacks>
      Callbacks; ///< Shared, so that a callback may close the connection.
  frame_reader Reader;
  std::array<char, 64U << 10U> Input{};
  std::string QueuedBytes; ///< Collected during a write, then written together.
  std::string Writing;
  bool Open{false};
  bool ClosingWhenWritten{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_FRAMED_CONNECTION_BASE_H

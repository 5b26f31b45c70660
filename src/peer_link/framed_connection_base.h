/** @file framed_connection_base.h One TCP connection that carries frames, used on one thread. */
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
  std::size_t MaxFrame{MaxFrameBytes};         ///< Larger frames close the connection.
  std::size_t MaxQueued{2 * MaxFrameBytes};    ///< Bytes that wait to be written.
  std::chrono::milliseconds SendTimeout{3000}; ///< Unacknowledged bytes close the connection.
};

/// What the owner of a connection is told, on the connection's thread.
struct framed_hooks {
  std::function<void()> Opened; ///< Only after connect().
  std::function<void(std::string &&Message)> Received;
  std::function<void()> Closed; ///< By the other side, by an error or by a frame over the limit.
  std::function<void(std::size_t Bytes)> Arrived{}; ///< Bytes came, perhaps part of a message only.
};

/**
 * Reads and writes frames. All calls are made on the io_context's one thread.
 * Bytes that the other side does not acknowledge are bounded in time (TCP_USER_TIMEOUT): otherwise
 * a healed partition would deliver what was written minutes ago.
 */
class framed_connection : public std::enable_shared_from_this<framed_connection> {
public:
  framed_connection(boost::asio::ip::tcp::socket Connected, const framed_limits &Bounds);

  /// Sets what the owner is told; to be called before connect() or start().
  void tell(framed_hooks Told);

  /// Opens the connection, then reads.
  void connect(const boost::asio::ip::tcp::endpoint &To);

  /// Reads from a socket that was accepted.
  void start();

  /// @return False where too much waits already, or the connection is closed; nothing is written.
  bool send(std::string_view Frame);

  /// Closes at once; no hook is called after it.
  void close();

  /// Closes after what waits was written; no hook is called after it.
  void closeWhenWritten();

private:
  void prepareSocket();
  void read();
  void received(std::size_t Count);
  void write();
  void fail();
  void shut();

  boost::asio::ip::tcp::socket Socket;
  framed_limits Limits;
  std::shared_ptr<framed_hooks> Hooks; ///< Shared, so that a hook may close the connection.
  frame_reader Reader;
  std::array<char, 64U << 10U> Input{};
  std::string Waiting; ///< Collected while a write is under way, then written as one.
  std::string Writing;
  bool Open{false};
  bool Ending{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_FRAMED_CONNECTION_BASE_H

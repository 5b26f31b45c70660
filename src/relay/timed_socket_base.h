/** @file timed_socket_base.h TCP sockets with one deadline each, looked at together. */
#ifndef POLLENSTALL_RELAY_TIMED_SOCKET_BASE_H
#define POLLENSTALL_RELAY_TIMED_SOCKET_BASE_H

#include "core/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

class socket_sweeper;

using sweep_hook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/**
 * A socket whose operations end at a deadline. The deadline is a plain value that the sweeper
 * compares: moving it on every event of a stream costs a store, not a timer operation.
 */
class timed_socket : public sweep_hook {
public:
  timed_socket(socket_sweeper &Sweeper, boost::asio::ip::tcp::socket Open);
  timed_socket(const timed_socket &) = delete;
  timed_socket &operator=(const timed_socket &) = delete;

  /// Sets when reads and writes end unfinished.
  void expireAt(mono_time When) {
    Deadline = When;
    Expired = false;
  }
  void expireNever() { Deadline = mono_time::max(); }
  /// @return Whether the last deadline passed; the socket is still open.
  [[nodiscard]] bool expired() const { return Expired; }
  /// @return Whether the last read found that the peer has closed, without a reset.
  [[nodiscard]] bool closedCleanly() const { return ClosedCleanly; }

  /**
   * Waits for bytes and reads what is there.
   * @return A view of the thread's read buffer, valid until the next read of any socket; empty
   * where the connection ended or the deadline passed.
   */
  boost::asio::awaitable<std::string_view> readSome();
  /// Reads exactly so many bytes to the end of Into. @return False where the connection ended.
  boost::asio::awaitable<bool> readInto(std::string &Into, std::size_t Count);

  /// What a read that does not wait found.
  struct read_result {
    std::string_view Bytes; ///< As readSome().
    bool Ended{false};      ///< The connection ended, or broke, or the deadline passed.
  };
  /// Reads what is there without waiting.
  read_result readNow();
  /// Waits for bytes without a coroutine of its own, for the path of each token.
  auto waitRead(boost::system::error_code &Code) {
    return Socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                             boost::asio::redirect_error(boost::asio::use_awaitable, Code));
  }
  /// Writes what the kernel takes at once. @return How much; nothing where the connection broke.
  std::optional<std::size_t> writeNow(std::span<const boost::asio::const_buffer> Buffers);

  /**
   * Writes all of the buffers; tries at once, waits only where the peer is slow.
   * @return How many bytes the kernel took; fewer than asked means that the connection broke.
   */
  boost::asio::awaitable<std::size_t> writeAll(std::span<const boost::asio::const_buffer> Buffers);

  /// Waits until there is something to read. @return False where the wait was ended.
  boost::asio::awaitable<bool> waitReadable();
  /// @return Whether the peer has closed or broken the connection, as far as is known now.
  [[nodiscard]] bool peerClosed();
  /// @return Whether bytes wait to be read.
  [[nodiscard]] bool hasInput();

  void close();
  /**
   * Ends the sending side, then reads until the peer closes or a second has passed. Closing with
   * bytes unread would send a reset that can overtake the error answer.
   */
  boost::asio::awaitable<void> closeAfterDrain();
  /// Closes so that the peer sees a reset: a cut must never look like an end.
  void abort();
  [[nodiscard]] bool isOpen() const { return Socket.is_open(); }
  [[nodiscard]] boost::asio::ip::tcp::socket &raw() { return Socket; }

private:
  friend class socket_sweeper;
  void expire();

  socket_sweeper &Sweeper;
  boost::asio::ip::tcp::socket Socket;
  mono_time Deadline{mono_time::max()};
  bool Expired{false};
  bool ClosedCleanly{false};
};

/// Ends operations whose deadline has passed; also owns the thread's read buffer.
class socket_sweeper {
public:
  explicit socket_sweeper(boost::asio::io_context &Context);

  /// Starts the sweeps.
  void start();
  /// Ends the sweeps and closes every socket.
  void stop();
  [[nodiscard]] std::span<char> readBuffer() { return Buffer; }
  [[nodiscard]] boost::asio::io_context &io() { return Io; }

private:
  friend class timed_socket;
  using socket_list =
      boost::intrusive::list<timed_socket, boost::intrusive::constant_time_size<false>>;

  void sweep();

  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  socket_list Sockets;
  std::vector<char> Buffer;
  bool Stopped{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_TIMED_SOCKET_BASE_H

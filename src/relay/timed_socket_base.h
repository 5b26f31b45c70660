/** @file timed_socket_base.h TCP sockets with one deadline each; one timer checks all deadlines. */
#ifndef POLLENSTALL_RELAY_TIMED_SOCKET_BASE_H
#define POLLENSTALL_RELAY_TIMED_SOCKET_BASE_H

#include "core/core.h"
#include "relay/answer_end_type.h"
#include "relay/receiving_side_base.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/intrusive/list.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
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

  /// Sets when pending reads and writes are cancelled. Time in which this process stood still is
  /// added.
  void expireAt(mono_time When);
  /// Cancels pending reads and writes at once.
  void expireNow() { expire(); }
  void expireNever() { Deadline = mono_time::max(); }
  /// Returns whether the last deadline has passed; the socket is still open.
  [[nodiscard]] bool expired() const { return Expired; }
  /// Returns how the receiving side has ended, as far as the operations until now have shown.
  [[nodiscard]] connection_end receivingEnd() const {
    return Expired ? connection_end::TimedOut : Receiving.end();
  }

  /**
   * Waits for bytes and reads the available ones.
   * @return A view of the thread's read buffer, valid until the next read of any socket; empty if
   * the connection ended or the deadline passed.
   */
  boost::asio::awaitable<std::string_view> readSome();

  /// The result of a read that does not wait.
  struct read_result {
    std::string_view Bytes; ///< A view as returned by readSome().
    bool Ended{false};      ///< The connection ended or broke, or the deadline passed.
  };
  /// Reads the available bytes without waiting.
  read_result readNow();
  /// Waits for bytes without a coroutine frame of its own, for use once per token.
  auto waitRead(boost::system::error_code &Code) {
    return Socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                             boost::asio::redirect_error(boost::asio::use_awaitable, Code));
  }
  /// Writes the bytes that the kernel accepts without waiting. @return Their number; nothing if the
  /// connection broke.
  std::optional<std::size_t> writeNow(std::span<const boost::asio::const_buffer> Buffers);

  /**
   * Writes all buffers; waits only if the kernel does not accept everything at once.
   * @return The number of bytes that the kernel accepted; fewer than requested means that the
   * connection broke.
   */
  boost::asio::awaitable<std::size_t> writeAll(std::span<const boost::asio::const_buffer> Buffers);

  /// Waits until there is input. @return False if the wait was cancelled.
  boost::asio::awaitable<bool> waitReadable();
  /// Returns whether the peer is known to have closed or broken the connection.
  [[nodiscard]] bool peerClosed();
  /// Returns whether unread bytes are available.
  [[nodiscard]] bool hasInput();

  void close();
  /**
   * Shuts down the sending side, then reads until the peer closes or a second has passed. Closing
   * with unread bytes would send a reset that can overtake the error answer.
   */
  boost::asio::awaitable<void> closeAfterDrain();
  /// Closes with a reset, so that a truncated answer never looks complete.
  void abort();
  [[nodiscard]] bool isOpen() const { return Socket.is_open(); }
  [[nodiscard]] boost::asio::ip::tcp::socket &raw() { return Socket; }

  /// Sets where the time of each read with bytes is written; nullptr: nowhere.
  void noteBytesAt(mono_time *Target) { HeardAt = Target; }
  /// Returns after how much further silence it is to be called again.
  using silence_hook = std::function<mono_duration()>;
  /// Sets what watchSilence() calls.
  void onSilence(silence_hook Hook) { AtSilence = std::move(Hook); }
  /// Calls the hook if the next bytes do not arrive within this time, in which time that this
  /// process stood still does not count.
  void watchSilence(mono_duration Limit);
  /// Ends the watch and forgets the hook.
  void endSilenceWatch();
  /// Sets the address of the entry that carries this connection to its server.
  void setCarrier(std::string Address) { Carrier = std::move(Address); }
  /// Returns the entry that carries this connection; empty if it is direct.
  [[nodiscard]] const std::string &carrier() const { return Carrier; }

private:
  friend class socket_sweeper;

  /// The state of the input, found without consuming any byte.
  enum class input_state : std::uint8_t { Nothing, Bytes, Closed };

  input_state peek();
  void expire();
  void checkTimes(mono_time RunningNow);

  socket_sweeper &Sweeper;
  boost::asio::ip::tcp::socket Socket;
  mono_time Deadline{mono_time::max()}; ///< Of the sweeper's clock.
  mono_time SilentAt{mono_time::max()}; ///< Of the sweeper's clock.
  silence_hook AtSilence;
  bool Expired{false};
  mono_time *HeardAt{nullptr};
  std::string Carrier;
  receiving_side Receiving;
};

/// Cancels operations whose deadline has passed; also owns the thread's read buffer.
class socket_sweeper {
public:
  explicit socket_sweeper(boost::asio::io_context &Context);

  /// Starts the periodic checks.
  void start();
  /// Sets a hook for the time during which this thread stood still, each time that it did.
  void onStall(std::function<void(mono_duration)> Hook) { AtStall = std::move(Hook); }
  /// Stops the checks and closes every socket.
  void stop();
  [[nodiscard]] std::span<char> readBuffer() { return Buffer; }
  [[nodiscard]] boost::asio::io_context &io() { return Io; }
  [[nodiscard]] bool stopped() const { return Stopped; }
  /// The clock of all deadlines.
  [[nodiscard]] const running_clock &clock() const { return Clock; }

private:
  friend class timed_socket;
  using socket_list =
      boost::intrusive::list<timed_socket, boost::intrusive::constant_time_size<false>>;

  void sweep();

  std::function<void(mono_duration)> AtStall;
  running_clock Clock;
  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  socket_list Sockets;
  std::vector<char> Buffer;
  bool Stopped{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_TIMED_SOCKET_BASE_H

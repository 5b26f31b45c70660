/** @file backend_links_base.h Connections to backend servers, kept open between requests. */
#ifndef POLLENSTALL_RELAY_BACKEND_LINKS_BASE_H
#define POLLENSTALL_RELAY_BACKEND_LINKS_BASE_H

#include "relay/relay_type.h"
#include "relay/timed_socket_base.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace pollenstall {

/// A connection that nobody else uses.
using backend_link = std::unique_ptr<timed_socket>;

/// Whether a connection that was used before will do.
enum class link_age : std::uint8_t {
  Any,
  /// For work that may not be repeated: a kept connection can be closed by the backend server just
  /// when the request is on its way, and nobody could tell whether it ran.
  Fresh,
};

/**
 * Idle connections by backend server and incarnation. A connection comes back only behind a whole
 * answer; one with an abandoned answer on it would hand that answer to the next caller.
 */
class backend_links {
public:
  backend_links(socket_sweeper &Owner, const relay_limits &Bounds)
      : Sweeper(Owner), Limits(Bounds) {}

  /// @return A connection to send on, or null where none could be made in time.
  boost::asio::awaitable<backend_link> open(const backend_key &Backend, link_age Age);
  /// @return Whether nobody listens at its address: the server has ended.
  boost::asio::awaitable<bool> refusesConnections(const backend_key &Backend);
  /// Takes a connection back whose answer has been read to its end.
  /// @param IdleLimit How long the server keeps it open unused, where it said so.
  void giveBack(const backend_key &Backend, backend_link Link,
                std::optional<std::chrono::milliseconds> IdleLimit = std::nullopt);
  /// Closes what has been idle for too long.
  void closeIdle(mono_time Now);
  [[nodiscard]] std::size_t idle() const;

private:
  struct idle_link {
    backend_link Link;
    mono_time Until;
  };

  backend_link takeIdle(const backend_key &Backend);
  boost::asio::awaitable<backend_link> connect(const backend_key &Backend,
                                               boost::system::error_code &Code);

  socket_sweeper &Sweeper;
  const relay_limits &Limits;
  std::map<backend_key, std::deque<idle_link>> Idle; ///< Oldest first.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_BACKEND_LINKS_BASE_H

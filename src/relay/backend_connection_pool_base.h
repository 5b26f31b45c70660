/** @file backend_connection_pool_base.h Connection pool for backend servers. */
#ifndef POLLENSTALL_RELAY_BACKEND_CONNECTION_POOL_BASE_H
#define POLLENSTALL_RELAY_BACKEND_CONNECTION_POOL_BASE_H

#include "relay/backend_connector_base.h"
#include "relay/relay_type.h"
#include "relay/timed_socket_base.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace pollenstall {

/// Whether a pooled connection may be used.
enum class connection_reuse : std::uint8_t {
  Allowed,
  /// For work that must not be repeated: the backend server can close a pooled connection while the
  /// request is in flight, and then it is unknown whether the request ran.
  NewOnly,
};

/**
 * Keeps idle connections by backend server and incarnation. A connection returns to the pool only
 * after a complete answer; the rest of an abandoned answer would reach the next caller.
 */
class backend_connection_pool {
public:
  backend_connection_pool(socket_sweeper &Owner, const relay_limits &Bounds)
      : Limits(Bounds), Connector(Owner, Bounds) {}

  /// Returns a connection to send on, or null if none could be made in time.
  boost::asio::awaitable<backend_connection> open(const backend_key &Backend,
                                                  connection_reuse Reuse);
  /// Returns a connection to the pool after its answer has been read completely.
  /// @param IdleLimit The server's own idle timeout for the connection, if it named one.
  /// @param MaxIdle Further idle connections to the server are closed.
  void returnToPool(const backend_key &Backend, backend_connection Connection,
                    std::optional<std::chrono::milliseconds> IdleLimit = std::nullopt,
                    std::size_t MaxIdle = DefaultMaxIdleConnections);
  /// Closes connections whose idle timeout has passed.
  void closeIdle(mono_time Now);
  [[nodiscard]] std::size_t idle() const;
  [[nodiscard]] backend_connector &connector() { return Connector; }
  [[nodiscard]] const backend_connector &connector() const { return Connector; }

private:
  struct idle_connection {
    backend_connection Connection;
    mono_time Until;
  };

  backend_connection takeIdleConnection(const backend_key &Backend);
  void closeOldestIdle(const backend_key &Backend);

  const relay_limits &Limits;
  backend_connector Connector;
  std::map<backend_key, std::deque<idle_connection>> Idle; ///< Oldest first, and never empty.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_BACKEND_CONNECTION_POOL_BASE_H

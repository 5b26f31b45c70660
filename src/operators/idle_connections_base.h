/** @file idle_connections_base.h Tracks idle connections, ordered by idle time. */
#ifndef POLLENSTALL_OPERATORS_IDLE_CONNECTIONS_BASE_H
#define POLLENSTALL_OPERATORS_IDLE_CONNECTIONS_BASE_H

#include <list>
#include <memory>
#include <mutex>

namespace pollenstall {

/// Idle connections, the longest idle first. Safe for use from any thread.
template <typename Connection> class idle_connections {
public:
  using position = typename std::list<std::weak_ptr<Connection>>::iterator;

  /// Adds a connection that starts to wait for a call.
  position add(const std::shared_ptr<Connection> &Idle) {
    const std::lock_guard<std::mutex> Lock(Guard);
    return Connections.insert(Connections.end(), Idle);
  }
  /// Removes a connection that no longer waits for a call.
  void remove(position Position) {
    const std::lock_guard<std::mutex> Lock(Guard);
    Connections.erase(Position);
  }
  /// Claims the longest idle connection that nobody else is closing. It stays in the list.
  /// @return The connection, or null if there is none.
  std::shared_ptr<Connection> claimLongestIdle() {
    const std::lock_guard<std::mutex> Lock(Guard);
    for (const std::weak_ptr<Connection> &Idle : Connections)
      if (auto Locked = Idle.lock(); Locked && Locked->claimForClosing())
        return Locked;
    return nullptr;
  }

private:
  std::mutex Guard;
  std::list<std::weak_ptr<Connection>> Connections;
};

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_IDLE_CONNECTIONS_BASE_H

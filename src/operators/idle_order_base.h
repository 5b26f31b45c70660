/** @file idle_order_base.h Which connection has waited for its next call for longest. */
#ifndef POLLENSTALL_OPERATORS_IDLE_ORDER_BASE_H
#define POLLENSTALL_OPERATORS_IDLE_ORDER_BASE_H

#include <list>
#include <memory>
#include <mutex>

namespace pollenstall {

/// Idle connections in the order in which they became so; from any thread.
template <typename Connection> class idle_order {
public:
  using place = typename std::list<std::weak_ptr<Connection>>::iterator;

  /// It waits for a call from now on.
  place add(const std::shared_ptr<Connection> &Idle) {
    const std::lock_guard<std::mutex> Lock(Guard);
    return Order.insert(Order.end(), Idle);
  }
  /// It does not wait any more.
  void remove(place Place) {
    const std::lock_guard<std::mutex> Lock(Guard);
    Order.erase(Place);
  }
  /// @return The one that has waited for longest, which stays in the order; null where none waits.
  std::shared_ptr<Connection> longest() {
    const std::lock_guard<std::mutex> Lock(Guard);
    for (const std::weak_ptr<Connection> &Idle : Order)
      if (auto Held = Idle.lock(); Held && Held->claimForClosing())
        return Held;
    return nullptr;
  }

private:
  std::mutex Guard;
  std::list<std::weak_ptr<Connection>> Order;
};

} // namespace pollenstall

#endif // POLLENSTALL_OPERATORS_IDLE_ORDER_BASE_H

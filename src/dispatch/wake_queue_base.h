/** @file wake_queue_base.h One moment to wake at for each key, in order of time. */
#ifndef POLLENSTALL_DISPATCH_WAKE_QUEUE_BASE_H
#define POLLENSTALL_DISPATCH_WAKE_QUEUE_BASE_H

#include "core/clock_type.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace pollenstall {

/**
 * Timers of a pure state machine: the owner asks for the next moment and takes what is due.
 * @tparam Key Has a total order; due keys of one moment come in this order, so runs repeat exactly.
 */
template <typename Key> class wake_queue {
public:
  /// Sets or moves the key's moment.
  void set(const Key &Which, mono_time When) {
    erase(Which);
    Moments.emplace(Which, When);
    Order.emplace(When, Which);
  }

  void erase(const Key &Which) {
    const auto Found = Moments.find(Which);
    if (Found == Moments.end())
      return;
    Order.erase({Found->second, Which});
    Moments.erase(Found);
  }

  /// @return The earliest moment, or nothing where the queue is empty.
  [[nodiscard]] std::optional<mono_time> next() const {
    if (Order.empty())
      return std::nullopt;
    return Order.begin()->first;
  }

  /// @return The earliest key whose moment is not after Now; it is taken out.
  std::optional<Key> takeDue(mono_time Now) {
    if (Order.empty() || Order.begin()->first > Now)
      return std::nullopt;
    const Key Due = Order.begin()->second;
    erase(Due);
    return Due;
  }

private:
  std::map<Key, mono_time> Moments;
  std::set<std::pair<mono_time, Key>> Order;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_WAKE_QUEUE_BASE_H

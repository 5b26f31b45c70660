/** @file bounded_ring.h A bounded single-producer, single-consumer queue with a wake-up hook. */
#ifndef POLLENSTALL_CORE_BOUNDED_RING_H
#define POLLENSTALL_CORE_BOUNDED_RING_H

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace pollenstall {

/**
 * A bounded queue between exactly one producer thread and exactly one consumer thread.
 * push() calls the wake-up hook at most once between two drains, so a burst of items costs one
 * wake-up.
 */
template <typename Element> class bounded_ring {
public:
  /// @param Capacity Maximum number of queued items; push() fails when the queue is full.
  explicit bounded_ring(std::size_t Capacity) : Queue(Capacity) {}

  /// Sets the hook that wakes the consumer. Call this before either thread starts.
  void onWake(std::function<void()> Hook) { Wake = std::move(Hook); }

  /**
   * Appends an item; called by the producer only.
   * @return False if the queue is full; the item is then unchanged, and the producer must refuse
   * the work.
   */
  bool push(Element &&Value) {
    if (!Queue.push(std::move(Value)))
      return false;
    if (!Pending.exchange(true, std::memory_order_acq_rel) && Wake)
      Wake();
    return true;
  }

  /// Removes and handles all queued items; called by the consumer only. @return Number of items.
  template <typename Handler> std::size_t drain(Handler &&HandleElement) {
    // Pending is cleared before the pops, so that an item pushed after the last pop sets it again
    // and calls the hook. This must be an exchange. It acquires from the producer's exchange, so
    // the pops below see the item whose push set Pending; a plain store would not order the pops
    // after that push.
    Pending.exchange(false, std::memory_order_acq_rel);
    std::size_t Handled = 0;
    Element Value;
    while (Queue.pop(Value)) {
      HandleElement(std::move(Value));
      ++Handled;
    }
    return Handled;
  }

  /// @return Number of items that can be pushed now; called by the producer only.
  [[nodiscard]] std::size_t freeCapacity() const { return Queue.write_available(); }

private:
  boost::lockfree::spsc_queue<Element> Queue;
  std::atomic<bool> Pending{false};
  std::function<void()> Wake;
};

} // namespace pollenstall

#endif // POLLENSTALL_CORE_BOUNDED_RING_H

/** @file bounded_ring.h A bounded queue from one thread to one other thread, with a wake hook. */
#ifndef POLLENSTALL_CORE_BOUNDED_RING_H
#define POLLENSTALL_CORE_BOUNDED_RING_H

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace pollenstall {

/**
 * Joins exactly one producing thread to exactly one consuming thread.
 * The wake hook is called at most once between two drains, so a burst costs one wake-up.
 */
template <typename Item> class bounded_ring {
public:
  /// @param Capacity Items held at most; push() refuses beyond it.
  explicit bounded_ring(std::size_t Capacity) : Queue(Capacity) {}

  /// Sets what wakes the consumer; set before either side starts.
  void onWake(std::function<void()> Hook) { Wake = std::move(Hook); }

  /**
   * Producer's side.
   * @return False where the ring is full; the item is then untouched and the producer must refuse
   * work.
   */
  bool push(Item &&Value) {
    if (!Queue.push(std::move(Value)))
      return false;
    if (!Pending.exchange(true, std::memory_order_acq_rel) && Wake)
      Wake();
    return true;
  }

  /// Consumer's side: handles all that is there. @return How many items were handled.
  template <typename Handler> std::size_t drain(Handler &&Handle) {
    // Cleared before reading: an item pushed after the last pop sets it again and wakes once more.
    // An exchange, since a plain store orders nothing before it: the push whose wake-up it takes
    // back must be seen by the pops below.
    Pending.exchange(false, std::memory_order_acq_rel);
    std::size_t Handled = 0;
    Item Value;
    while (Queue.pop(Value)) {
      Handle(std::move(Value));
      ++Handled;
    }
    return Handled;
  }

  /// Producer's side. @return How many more items fit now.
  [[nodiscard]] std::size_t room() const { return Queue.write_available(); }

private:
  boost::lockfree::spsc_queue<Item> Queue;
  std::atomic<bool> Pending{false};
  std::function<void()> Wake;
};

} // namespace pollenstall

#endif // POLLENSTALL_CORE_BOUNDED_RING_H

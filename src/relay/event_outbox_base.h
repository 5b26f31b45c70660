/** @file event_outbox_base.h Hands events to another thread's ring and loses none when it is full.
 */
#ifndef POLLENSTALL_RELAY_EVENT_OUTBOX_BASE_H
#define POLLENSTALL_RELAY_EVENT_OUTBOX_BASE_H

#include "core/core.h"

#include <deque>
#include <utility>

namespace pollenstall {

/**
 * The producer's end of a ring. A lost "attempt failed" would leave a request without an end, so
 * that what does not fit waits here in order; new work is refused by looking at hasRoom() first,
 * which bounds what can wait by the work already admitted.
 */
template <typename Item> class event_outbox {
public:
  explicit event_outbox(bounded_ring<Item> &Target) : Ring(Target) {}

  void push(Item Value) {
    // Only this side pushes, so that room found here is still there.
    if (Waiting.empty() && Ring.room() > 0)
      Ring.push(std::move(Value));
    else
      Waiting.push_back(std::move(Value));
  }

  /// Hands over what waits, as far as there is room. @return Whether nothing waits any more.
  bool flush() {
    while (!Waiting.empty() && Ring.push(std::move(Waiting.front())))
      Waiting.pop_front();
    return Waiting.empty();
  }

  /// @return Whether new work may be pushed. @param Reserve Places kept for admitted work.
  [[nodiscard]] bool hasRoom(std::size_t Reserve) const {
    return Waiting.empty() && Ring.room() > Reserve;
  }
  [[nodiscard]] std::size_t waiting() const { return Waiting.size(); }

private:
  bounded_ring<Item> &Ring;
  std::deque<Item> Waiting;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_OUTBOX_BASE_H

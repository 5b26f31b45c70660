/** @file event_outbox_base.h Passes events to another thread's ring without losing any when it is
 * full. */
#ifndef POLLENSTALL_RELAY_EVENT_OUTBOX_BASE_H
#define POLLENSTALL_RELAY_EVENT_OUTBOX_BASE_H

#include "core/core.h"

#include <deque>
#include <utility>

namespace pollenstall {

/**
 * The producer's end of a ring. A lost "attempt failed" event would leave a request without an end,
 * so events that do not fit are queued here in order. New work is refused if hasRoom() is false, so
 * the work already admitted bounds the queue.
 */
template <typename Event> class event_outbox {
public:
  explicit event_outbox(bounded_ring<Event> &Target) : Ring(Target) {}

  void push(Event NewEvent) {
    // Only this side pushes, so the room found here cannot disappear.
    if (Queue.empty() && Ring.freeCapacity() > 0)
      Ring.push(std::move(NewEvent));
    else
      Queue.push_back(std::move(NewEvent));
  }

  /// Moves queued events to the ring while it has room. @return Whether the queue is empty.
  bool flush() {
    while (!Queue.empty() && Ring.push(std::move(Queue.front())))
      Queue.pop_front();
    return Queue.empty();
  }

  /// Returns whether new work may be pushed. @param Reserve Ring slots reserved for admitted work.
  [[nodiscard]] bool hasRoom(std::size_t Reserve) const {
    return Queue.empty() && Ring.freeCapacity() > Reserve;
  }
  [[nodiscard]] std::size_t queued() const { return Queue.size(); }

private:
  bounded_ring<Event> &Ring;
  std::deque<Event> Queue;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_OUTBOX_BASE_H

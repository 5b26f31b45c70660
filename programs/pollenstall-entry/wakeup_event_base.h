/** @file wakeup_event_base.h Event that wakes a thread after another one has written to a ring. */
#ifndef POLLENSTALL_ENTRY_WAKEUP_EVENT_BASE_H
#define POLLENSTALL_ENTRY_WAKEUP_EVENT_BASE_H

#include "core/core.h"

#include <condition_variable>
#include <mutex>

namespace pollenstall {

/// An auto-reset event; a wake-up before the wait is not lost.
class wakeup_event {
public:
  void wake() {
    {
      const std::lock_guard<std::mutex> Lock(Guard);
      Signaled = true;
    }
    Changed.notify_one();
  }

  /// Sleeps until woken or until the limit has passed.
  void sleepFor(mono_duration Limit) {
    std::unique_lock<std::mutex> Lock(Guard);
    Changed.wait_for(Lock, Limit, [this] { return Signaled; });
    Signaled = false;
  }

private:
  std::mutex Guard;
  std::condition_variable Changed;
  bool Signaled{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_WAKEUP_EVENT_BASE_H

/** @file wake_gate_base.h Where a thread sleeps until another one has put something into a ring. */
#ifndef POLLENSTALL_ENTRY_WAKE_GATE_BASE_H
#define POLLENSTALL_ENTRY_WAKE_GATE_BASE_H

#include "core/core.h"

#include <condition_variable>
#include <mutex>

namespace pollenstall {

/// A wake-up that comes before the wait is not lost.
class wake_gate {
public:
  void wake() {
    {
      const std::lock_guard<std::mutex> Lock(Guard);
      Woken = true;
    }
    Changed.notify_one();
  }

  /// Sleeps until woken, at most so long.
  void sleepFor(mono_duration Limit) {
    std::unique_lock<std::mutex> Lock(Guard);
    Changed.wait_for(Lock, Limit, [this] { return Woken; });
    Woken = false;
  }

private:
  std::mutex Guard;
  std::condition_variable Changed;
  bool Woken{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_WAKE_GATE_BASE_H

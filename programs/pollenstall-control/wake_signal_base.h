/** @file wake_signal_base.h Wakes a thread that waits for work from several rings. */
#ifndef POLLENSTALL_CONTROL_WAKE_SIGNAL_BASE_H
#define POLLENSTALL_CONTROL_WAKE_SIGNAL_BASE_H

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace pollenstall {

/// A notification that is kept until the next wait.
class wake_signal {
public:
  /// Wakes the waiting thread. May be called from any thread.
  void notify() {
    {
      const std::lock_guard Lock(Mutex);
      Notified = true;
    }
    Condition.notify_one();
  }

  /// Waits until notified, at most for Limit.
  void waitFor(std::chrono::milliseconds Limit) {
    std::unique_lock Lock(Mutex);
    Condition.wait_for(Lock, Limit, [this] { return Notified; });
    Notified = false;
  }

private:
  std::mutex Mutex;
  std::condition_variable Condition;
  bool Notified{false};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_WAKE_SIGNAL_BASE_H

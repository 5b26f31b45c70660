/** @file readiness_deadline_base.h The time until which a process reports itself as ready. */
#ifndef POLLENSTALL_CONTROL_LINK_READINESS_DEADLINE_BASE_H
#define POLLENSTALL_CONTROL_LINK_READINESS_DEADLINE_BASE_H

#include "core/core.h"

#include <atomic>

namespace pollenstall {

/**
 * Set by the decision thread, read by the thread that answers readiness checks. After the process
 * was frozen, a plain flag would still say "ready" until the decision thread runs, and requests
 * that the load balancer sends in that time would be refused. A deadline expires regardless of
 * which thread runs first.
 */
class readiness_deadline {
public:
  /// @param Until When the conditions of readiness expire; mono_time::min() if the process is not
  /// ready.
  void set(mono_time Until) {
    End.store(Until.time_since_epoch().count(), std::memory_order_relaxed);
  }

  /// @return Whether the process is ready. May be called from any thread.
  [[nodiscard]] bool isReady(mono_time Now) const {
    return Now.time_since_epoch().count() < End.load(std::memory_order_relaxed);
  }

private:
  std::atomic<mono_time::rep> End{mono_time::min().time_since_epoch().count()};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_READINESS_DEADLINE_BASE_H

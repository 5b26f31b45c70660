/** @file ready_span_base.h Until when a process may say that it is ready. */
#ifndef POLLENSTALL_CONTROL_LINK_READY_SPAN_BASE_H
#define POLLENSTALL_CONTROL_LINK_READY_SPAN_BASE_H

#include "core/core.h"

#include <atomic>

namespace pollenstall {

/**
 * Set by the thread that decides, read by the one that answers readiness checks. A plain flag would
 * still say "ready" after a freeze, until the deciding thread had its turn, and the caller that the
 * balancer then sends would be refused. An end in time is over by itself, whichever thread runs
 * first.
 */
class ready_span {
public:
  /// @param Until When what readiness rests on lapses; mono_time::min() where it does not hold.
  void set(mono_time Until) {
    End.store(Until.time_since_epoch().count(), std::memory_order_relaxed);
  }

  /// @return Whether the process is ready; from any thread.
  [[nodiscard]] bool holds(mono_time Now) const {
    return Now.time_since_epoch().count() < End.load(std::memory_order_relaxed);
  }

private:
  std::atomic<mono_time::rep> End{mono_time::min().time_since_epoch().count()};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_READY_SPAN_BASE_H

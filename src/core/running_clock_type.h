/** @file running_clock_type.h A clock that stands still while its process does. */
#ifndef POLLENSTALL_CORE_RUNNING_CLOCK_TYPE_H
#define POLLENSTALL_CORE_RUNNING_CLOCK_TYPE_H

#include "core/clock_type.h"

#include <optional>

namespace pollenstall {

/**
 * Counts the time during which a thread was able to run. A deadline for another process must not
 * count the time in which this one was stopped, suspended or given no processor: what the other
 * one sent meanwhile is still unread.
 */
class running_clock {
public:
  /// @param LongestStep A longer time between two calls of advance() counts as this time. A thread
  /// that is merely slow must not stop the clock.
  explicit running_clock(mono_duration LongestStep) : MaxStep(LongestStep) {}

  /// Must be called periodically. @return The time since the last call, if the thread stood still.
  std::optional<mono_duration> advance(mono_time Now) {
    const mono_duration Step = LastCall ? Now - *LastCall : mono_duration::zero();
    LastCall = Now;
    if (Step <= MaxStep)
      return std::nullopt;
    Stalled += Step - MaxStep;
    return Step;
  }

  /// @return A time of boot_clock as a time of this clock, as of the last advance().
  [[nodiscard]] mono_time toRunning(mono_time Time) const {
    return Time == mono_time::max() ? Time : Time - Stalled;
  }

private:
  mono_duration MaxStep;
  std::optional<mono_time> LastCall;
  mono_duration Stalled{0}; ///< Time that this clock left out.
};

} // namespace pollenstall

#endif // POLLENSTALL_CORE_RUNNING_CLOCK_TYPE_H

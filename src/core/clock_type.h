/** @file clock_type.h The monotonic clock for leases and timeouts, and the wall clock. */
#ifndef POLLENSTALL_CORE_CLOCK_TYPE_H
#define POLLENSTALL_CORE_CLOCK_TYPE_H

#include <chrono>
#include <ctime>

namespace pollenstall {

/**
 * A monotonic clock that also advances while the machine is suspended (CLOCK_BOOTTIME).
 * With a clock that stops during suspension, an expired lease would look valid after a resume.
 */
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  /// @return The current time.
  static time_point now() noexcept {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec));
  }
};

/// A point in time on the boot clock. Decision code gets it as a parameter and reads no clock.
using mono_time = boot_clock::time_point;
/// A duration on the boot clock.
using mono_duration = boot_clock::duration;

/// @return Milliseconds since 1970. For records that outlive the process, never for timeouts.
inline std::chrono::milliseconds wallClock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace pollenstall

#endif // POLLENSTALL_CORE_CLOCK_TYPE_H

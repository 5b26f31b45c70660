/** @file clock_type.h The monotonic clock that leases and timeouts are measured on, and the wall
 * clock. */
#ifndef POLLENSTALL_CORE_CLOCK_TYPE_H
#define POLLENSTALL_CORE_CLOCK_TYPE_H

#include <chrono>
#include <ctime>

namespace pollenstall {

/**
 * Monotonic time that goes on while the machine is suspended (CLOCK_BOOTTIME).
 * On a clock that stops during suspension a lease would look fresh after a night's sleep.
 */
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  /// @return The time now.
  static time_point now() noexcept {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec));
  }
};

/// A moment on the boot clock; decision code is handed it and never reads a clock itself.
using mono_time = boot_clock::time_point;
/// A span on the boot clock.
using mono_duration = boot_clock::duration;

/// @return Milliseconds since 1970; for records that outlive the process, never for timeouts.
inline std::chrono::milliseconds wallClock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace pollenstall

#endif // POLLENSTALL_CORE_CLOCK_TYPE_H

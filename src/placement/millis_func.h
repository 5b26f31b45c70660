/** @file millis_func.h Conversions between durations and fractional milliseconds. */
#ifndef POLLENSTALL_PLACEMENT_MILLIS_FUNC_H
#define POLLENSTALL_PLACEMENT_MILLIS_FUNC_H

#include "core/core.h"

#include <chrono>

namespace pollenstall {

/// Returns the milliseconds from Start until Time; less than 0 if Time is earlier.
inline double millisUntil(mono_time Time, mono_time Start) {
  return std::chrono::duration<double, std::milli>(Time - Start).count();
}

inline mono_duration durationFromMs(double Milliseconds) {
  return std::chrono::duration_cast<mono_duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_MILLIS_FUNC_H

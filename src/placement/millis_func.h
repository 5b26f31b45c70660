/** @file millis_func.h Spans as milliseconds with a fraction, in which engines' figures are. */
#ifndef POLLENSTALL_PLACEMENT_MILLIS_FUNC_H
#define POLLENSTALL_PLACEMENT_MILLIS_FUNC_H

#include "core/core.h"

#include <chrono>

namespace pollenstall {

/// @return Milliseconds; less than 0 where Then is over.
inline double millisUntil(mono_time Then, mono_time Now) {
  return std::chrono::duration<double, std::milli>(Then - Now).count();
}

inline mono_duration spanOf(double Millis) {
  return std::chrono::duration_cast<mono_duration>(
      std::chrono::duration<double, std::milli>(Millis));
}

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_MILLIS_FUNC_H

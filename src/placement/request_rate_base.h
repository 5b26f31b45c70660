/** @file request_rate_base.h How many requests come, averaged over the last seconds. */
#ifndef POLLENSTALL_PLACEMENT_REQUEST_RATE_BASE_H
#define POLLENSTALL_PLACEMENT_REQUEST_RATE_BASE_H

#include "core/core.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstall {

/// An average in which a request counts less the longer ago it came.
class request_rate {
public:
  explicit request_rate(mono_duration Averaged) : Span(Averaged) {}

  void add(double Requests, mono_time Now) {
    Sum = decayed(Now) + Requests;
    At = Now;
  }
  /// @return Requests in so much time.
  [[nodiscard]] double in(mono_duration Time, mono_time Now) const {
    return decayed(Now) * secondsOf(Time) / secondsOf(Span);
  }

private:
  static double secondsOf(mono_duration Time) {
    return std::chrono::duration<double>(Time).count();
  }
  [[nodiscard]] double decayed(mono_time Now) const {
    return Sum * std::exp(-secondsOf(std::max(Now - At, mono_duration::zero())) / secondsOf(Span));
  }

  mono_duration Span;
  double Sum{0};
  mono_time At{};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_REQUEST_RATE_BASE_H

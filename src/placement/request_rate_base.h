/** @file request_rate_base.h Request rate with exponential decay. */
#ifndef POLLENSTALL_PLACEMENT_REQUEST_RATE_BASE_H
#define POLLENSTALL_PLACEMENT_REQUEST_RATE_BASE_H

#include "core/core.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstall {

/// Average rate of requests, in which the weight of a request decays exponentially with its age.
class request_rate {
public:
  explicit request_rate(mono_duration AveragingWindow) : Window(AveragingWindow) {}

  void add(double Requests, mono_time Now) {
    DecayedRequests = decayedSum(Now) + Requests;
    Updated = Now;
  }
  /// Returns the number of requests expected in a period.
  [[nodiscard]] double expectedRequests(mono_duration Period, mono_time Now) const {
    return decayedSum(Now) * secondsOf(Period) / secondsOf(Window);
  }

private:
  static double secondsOf(mono_duration Period) {
    return std::chrono::duration<double>(Period).count();
  }
  [[nodiscard]] double decayedSum(mono_time Now) const {
    return DecayedRequests *
           std::exp(-secondsOf(std::max(Now - Updated, mono_duration::zero())) / secondsOf(Window));
  }

  mono_duration Window;
  double DecayedRequests{0};
  mono_time Updated{};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_REQUEST_RATE_BASE_H

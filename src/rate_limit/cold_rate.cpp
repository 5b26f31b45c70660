/** @file cold_rate.cpp Derives the rate of a cold server's permits from its bound. */
#include "rate_limit/cold_rate_func.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstall {

namespace {

/// The rate stays below a whole number of permits an interval, so that floor() rounds down.
constexpr double RateMargin = 0.999;
/// Permits are saved for at most this part of a second's rate, and MinSaved. More would only allow
/// larger bursts: waiting requests are queued at the issuer and use the rate without them.
constexpr double SavedFraction = 0.25;
constexpr double MinSaved = 2;
/// Most permits an interval that are counted; with more, late issues lower the rate very little.
constexpr double MaxCounted = 1'000;
/// Rates are sent in thousandths; a lower one would be 0.
constexpr double MinPerSecond = 1 / RateLimitUnits;

} // namespace

cold_rate coldRate(requests_per_second PerSecond, const permit_tuning &Tuning) {
  const mono_duration IntervalLength =
      Tuning.ColdWindow + Tuning.ColdPermitAge + Tuning.ColdSendDelay;
  const double Interval = std::chrono::duration<double>(IntervalLength).count();
  const double Declared = std::max(PerSecond.value(), MinPerSecond);
  const double Allowed =
      std::max(1.0, std::floor(Declared * Tuning.ColdOvershoot + Tuning.ColdTolerance));
  cold_rate Rate{Declared, 1, 0, IntervalLength};
  const double Unused = Allowed - std::floor(Declared * Interval);
  if (Unused < 1 && Allowed <= MaxCounted) {
    Rate.PerInterval = static_cast<std::size_t>(Allowed);
    return Rate;
  }
  Rate.PerSecond = std::min(Declared, Allowed / Interval * RateMargin);
  const double MaxSaved = std::max(MinSaved, std::floor(Declared * SavedFraction));
  Rate.Saved = std::clamp(Unused, 1.0, MaxSaved);
  return Rate;
}

} // namespace pollenstall

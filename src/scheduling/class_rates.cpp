/** @file class_rates.cpp Exponentially decaying rates of cost by length class. */
#include "scheduling/class_rates_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

/// Long enough that a single long prompt changes the rate little, short enough to follow the loss
/// of an engine.
constexpr double DecaySeconds = 40.0;
constexpr double RateFloor = 1e-3;
/// Share of long cost assumed before any request was added, with the weight of PriorCost.
constexpr double PriorLongShare = 0.4;
constexpr double PriorCost = 5.0;

} // namespace

double class_rates::recentCost(length_class Class, mono_time Now) const {
  const class_rate &Rate = Rates[static_cast<std::size_t>(Class)];
  const double Age = std::chrono::duration<double>(Now - Rate.Updated).count();
  return Rate.DecayedCost * std::exp(-std::max(0.0, Age) / DecaySeconds);
}

void class_rates::add(length_class Class, double Cost, mono_time Now) {
  class_rate &Rate = Rates[static_cast<std::size_t>(Class)];
  Rate.DecayedCost = recentCost(Class, Now) + Cost;
  Rate.Updated = Now;
}

double class_rates::expectedWaitSeconds(length_class Class, double CostBefore, double MinRate,
                                        mono_time Now) const {
  const double LearnedRate = recentCost(Class, Now) / DecaySeconds;
  return CostBefore / std::max({LearnedRate, MinRate, RateFloor});
}

double class_rates::longShare(mono_time Now) const {
  const double Long = recentCost(length_class::Long, Now);
  const double NotLong =
      recentCost(length_class::Short, Now) + recentCost(length_class::Medium, Now);
  return (Long + PriorLongShare * PriorCost) / (Long + NotLong + PriorCost);
}

} // namespace pollenstall

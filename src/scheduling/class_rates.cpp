/** @file class_rates.cpp Decaying rates of placed cost by length class. */
#include "scheduling/class_rates_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

/// Long enough that single long prompts do not swing it, short enough to follow a lost engine.
constexpr double DecaySeconds = 40.0;
constexpr double LeastRateBound = 1e-3;
/// Assumed long share before anything was placed.
constexpr double PriorLongShare = 0.4;
constexpr double PriorCost = 5.0;

} // namespace

double class_rates::recent(length_class Class, mono_time Now) const {
  const class_rate &Rate = Rates[static_cast<std::size_t>(Class)];
  const double Age = std::chrono::duration<double>(Now - Rate.Updated).count();
  return Rate.Recent * std::exp(-std::max(0.0, Age) / DecaySeconds);
}

void class_rates::add(length_class Class, double Cost, mono_time Now) {
  class_rate &Rate = Rates[static_cast<std::size_t>(Class)];
  Rate.Recent = recent(Class, Now) + Cost;
  Rate.Updated = Now;
}

double class_rates::wait(length_class Class, double CostAhead, double LeastRate,
                         mono_time Now) const {
  const double Learnt = recent(Class, Now) / DecaySeconds;
  return CostAhead / std::max({Learnt, LeastRate, LeastRateBound});
}

double class_rates::longShare(mono_time Now) const {
  const double Long = recent(length_class::Long, Now);
  const double Rest = recent(length_class::Short, Now) + recent(length_class::Medium, Now);
  return (Long + PriorLongShare * PriorCost) / (Long + Rest + PriorCost);
}

} // namespace pollenstall

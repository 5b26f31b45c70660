/** @file class_rates_base.h Rates of cost by length class, and the waiting times they imply. */
#ifndef POLLENSTALL_SCHEDULING_CLASS_RATES_BASE_H
#define POLLENSTALL_SCHEDULING_CLASS_RATES_BASE_H

#include "scheduling/account_queue_base.h"

namespace pollenstall {

/// Exponentially decaying rates of cost, in engine seconds per second, by length class. The
/// scheduler has one instance for arriving and one for placed requests.
class class_rates {
public:
  /// Adds the cost of a request that arrived or was placed.
  void add(length_class Class, double Cost, mono_time Now);
  /**
   * Returns the expected seconds until the cost ahead is placed.
   * @param CostBefore Engine seconds that are served first.
   * @param MinRate Lower bound of the rate, in engine seconds per second, while there are few
   * observations.
   */
  [[nodiscard]] double expectedWaitSeconds(length_class Class, double CostBefore, double MinRate,
                                           mono_time Now) const;
  /// Returns the share of the long class in the recent cost, from 0 to 1. While there is little
  /// cost, it stays near an assumed share.
  [[nodiscard]] double longShare(mono_time Now) const;

private:
  struct class_rate {
    double DecayedCost{0}; ///< Sum of cost with exponential decay, as of Updated.
    mono_time Updated;
  };

  [[nodiscard]] double recentCost(length_class Class, mono_time Now) const;

  std::array<class_rate, LengthClassCount> Rates;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_CLASS_RATES_BASE_H

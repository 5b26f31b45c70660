/** @file class_rates_base.h Engine seconds per second by length class, and the waits they imply. */
#ifndef POLLENSTALL_SCHEDULING_CLASS_RATES_BASE_H
#define POLLENSTALL_SCHEDULING_CLASS_RATES_BASE_H

#include "scheduling/account_queue_base.h"

namespace pollenstall {

/// Decaying rates of cost by length class; one instance for what arrives, one for what is placed.
class class_rates {
public:
  /// Work of that cost arrived, or was placed.
  void add(length_class Class, double Cost, mono_time Now);
  /**
   * @param CostAhead Engine seconds that go first.
   * @param LeastRate Engine seconds a second assumed where little was learnt.
   * @return Seconds until that is placed.
   */
  [[nodiscard]] double wait(length_class Class, double CostAhead, double LeastRate,
                            mono_time Now) const;
  /// @return Part of recent cost that was long work, from 0 to 1.
  [[nodiscard]] double longShare(mono_time Now) const;

private:
  struct class_rate {
    double Recent{0}; ///< Decaying sum of cost.
    mono_time Updated;
  };

  [[nodiscard]] double recent(length_class Class, mono_time Now) const;

  std::array<class_rate, LengthClasses> Rates;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_CLASS_RATES_BASE_H

/** @file work_feed_base.h What one receiver has been told, and so what it is to be told next. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_FEED_BASE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_FEED_BASE_H

#include "work_exchange/work_ledger_base.h"

#include <unordered_map>
#include <vector>

namespace pollenstall {

/**
 * Tells of each backend server when its work changed, and again after a while. The cost for the
 * receiver follows from what changes, not from how many backend servers or senders there are.
 */
class work_feed {
public:
  explicit work_feed(const work_share_tuning &Values) : Tuning(Values) {}

  /**
   * @param Counts Which sources the receiver is told of.
   * @param Again Whether what did not change is told again where that is due.
   * @return At most so many loads; what does not fit is told by the next call.
   */
  template <typename Filter>
  std::vector<work_load> next(const work_ledger &Ledger, mono_time Now, const Filter &Counts,
                              bool Again, std::size_t Most) {
    std::vector<work_load> Loads;
    forgetEnded(Ledger);
    const auto Tell = [&](incarnation Incarnation, const work_ledger::engine_work &Engine,
                          bool Due) {
      if (Loads.size() >= Most)
        return false;
      const work_load Load = Ledger.sum(Incarnation, Engine, Now, Counts);
      if (note(Load, Due, Now))
        Loads.push_back(Load);
      return true;
    };
    bool Fits = true;
    for (const auto &[Incarnation, Engine] : Ledger.engines())
      if (Engine.Changed >= LookedAt)
        Fits = Tell(Incarnation, Engine, false) && Fits;
    if (Fits)
      LookedAt = Now;
    if (Again)
      for (const auto &[Incarnation, Engine] : Ledger.engines())
        if (isDue(Incarnation, Now))
          Tell(Incarnation, Engine, true);
    return Loads;
  }

  /// The sources that count are others than before: each sum is to be looked at.
  void lookAgain() { LookedAt = mono_time::min(); }

private:
  struct told {
    work_load Load;
    mono_time At;
    std::uint32_t Nothing{0}; ///< Times in a row that it was told that there is no work.
  };

  [[nodiscard]] bool isDue(incarnation Incarnation, mono_time Now) const;
  void forgetEnded(const work_ledger &Ledger);
  /// @return Whether the receiver is to be told, which is noted.
  bool note(const work_load &Load, bool Due, mono_time Now);

  work_share_tuning Tuning;
  std::unordered_map<incarnation, told> Told;
  mono_time LookedAt{mono_time::min()}; ///< What changed before has been told.
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_FEED_BASE_H

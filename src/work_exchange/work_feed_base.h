/** @file work_feed_base.h Tracks which loads were sent and selects those to send next. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_FEED_BASE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_FEED_BASE_H

#include "work_exchange/work_tracker_base.h"

#include <unordered_map>
#include <vector>

namespace pollenstall {

/**
 * Selects the loads to send to one receiver, or to several that get the same reports. Sends the
 * load of a backend server when it changed, and refreshes it periodically. The receiver's cost
 * depends on the number of changes, not on the number of backend servers or senders.
 */
class work_feed {
public:
  explicit work_feed(const work_share_tuning &Values) : Tuning(Values) {}

  /**
   * Returns the loads to send now.
   * @param IncludesSource Returns whether a source's load is part of the sums for the receivers.
   * @param WithRefresh Whether to include unchanged loads whose refresh is due.
   * @return At most MaxLoads loads; the next call returns those that do not fit.
   */
  template <typename Filter>
  std::vector<work_load> nextLoads(const work_tracker &Tracker, mono_time Now,
                                   const Filter &IncludesSource, bool WithRefresh,
                                   std::size_t MaxLoads) {
    std::vector<work_load> Loads;
    forgetIdleEngines(Tracker);
    const auto Append = [&](incarnation Incarnation, const work_tracker::engine_work &Engine,
                            bool IsRefresh) {
      if (Loads.size() >= MaxLoads)
        return false;
      const work_load Load = Tracker.sum(Incarnation, Engine, Now, IncludesSource);
      if (recordIfDue(Load, IsRefresh, Now))
        Loads.push_back(Load);
      return true;
    };
    bool AllFit = true;
    for (const auto &[Incarnation, Engine] : Tracker.engines())
      if (Engine.ChangedAt >= CheckedUntil)
        AllFit = Append(Incarnation, Engine, false) && AllFit;
    if (AllFit)
      CheckedUntil = Now;
    if (WithRefresh)
      for (const auto &[Incarnation, Engine] : Tracker.engines())
        if (isRefreshDue(Incarnation, Now))
          Append(Incarnation, Engine, true);
    return Loads;
  }

  /// Must be called before nextLoads() is called with another IncludesSource: the next call
  /// rechecks all sums.
  void recheckAll() { CheckedUntil = mono_time::min(); }

private:
  struct sent_load {
    work_load Load;
    mono_time SentAt;
    std::uint32_t EmptyReports{0}; ///< How many times in a row an empty load was sent.
  };

  [[nodiscard]] bool isRefreshDue(incarnation Incarnation, mono_time Now) const;
  void forgetIdleEngines(const work_tracker &Tracker);
  /// Records the load as sent if the receiver needs it. @return Whether it does.
  bool recordIfDue(const work_load &Load, bool IsRefresh, mono_time Now);

  work_share_tuning Tuning;
  std::unordered_map<incarnation, sent_load> SentLoads;
  mono_time CheckedUntil{mono_time::min()}; ///< Earlier changes were sent.
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_FEED_BASE_H

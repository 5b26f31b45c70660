/** @file work_tracker_base.h Tracks the load of each sender at each backend server. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_TRACKER_BASE_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_TRACKER_BASE_H

#include "work_exchange/work_exchange_type.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// Identifies a sender of reports; assigned by the tracker's owner.
using work_source_id = std::uint32_t;

/// @return Whether Load differs from what a receiver of Reported estimates now.
bool needsUpdate(const work_load &Reported, mono_time ReportedAt, const work_load &Load,
                 mono_time Now, const work_share_tuning &Tuning);

/// Stores the latest load of each source at each backend server until it expires.
class work_tracker {
public:
  explicit work_tracker(const work_share_tuning &Values) : Tuning(Values) {}

  /// Replaces the source's load at a backend server. @return Whether it changed.
  bool update(work_source_id Source, const work_load &Load, mono_time Now);
  /// Removes all loads of the source. @return Whether there were any.
  bool removeSource(work_source_id Source, mono_time Now);
  /// Removes loads older than ReportLifetime, which counts as a change, and idle backend servers.
  void expire(mono_time Now);
  void clear() { Engines.clear(); }

  /// The loads at one backend server.
  struct engine_work {
    struct source_load {
      work_source_id Source{0};
      work_load Load;
      mono_time ReceivedAt;
    };
    std::vector<source_load> SourceLoads; ///< Only sources with work at the server.
    mono_time ChangedAt;                  ///< Last change by an update, a removal or an expiry.
  };
  [[nodiscard]] const std::unordered_map<incarnation, engine_work> &engines() const {
    return Engines;
  }

  /// @return The sum over the sources for which IncludesSource() returns true, extrapolated to Now.
  template <typename Filter>
  [[nodiscard]] work_load sum(incarnation Incarnation, const engine_work &Engine, mono_time Now,
                              const Filter &IncludesSource) const {
    work_load Sum;
    for (const engine_work::source_load &SourceLoad : Engine.SourceLoads)
      if (Now - SourceLoad.ReceivedAt <= Tuning.ReportLifetime && IncludesSource(SourceLoad.Source))
        Sum = Sum + loadAfter(SourceLoad.Load, Now - SourceLoad.ReceivedAt);
    Sum.Incarnation = Incarnation;
    return Sum;
  }

private:
  work_share_tuning Tuning;
  std::unordered_map<incarnation, engine_work> Engines;
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_TRACKER_BASE_H

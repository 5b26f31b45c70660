/** @file waiting_board_base.h Tracks the waiting requests of each sender, and what was sent on. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WAITING_BOARD_BASE_H
#define POLLENSTALL_WORK_EXCHANGE_WAITING_BOARD_BASE_H

#include "work_exchange/work_exchange_type.h"
#include "work_exchange/work_tracker_base.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// The latest counts of waiting requests of each source, until they expire.
class waiting_board {
public:
  explicit waiting_board(const work_share_tuning &Values) : Tuning(Values) {}

  /// Replaces all counts of the source. @return Whether they changed.
  bool update(work_source_id Source, const std::vector<waiting_load> &Loads, mono_time Now);
  void removeSource(work_source_id Source) { Sources.erase(Source); }
  void clear() { Sources.clear(); }

  /// @return The sums by service over the sources for which IncludesSource() returns true. Counts
  /// older than ReportLifetime are left out.
  template <typename Filter>
  [[nodiscard]] std::vector<waiting_load> sum(mono_time Now, const Filter &IncludesSource) const {
    std::map<std::uint64_t, waiting_load> Sums;
    for (const auto &[Source, Counted] : Sources)
      if (Now - Counted.ReceivedAt <= Tuning.ReportLifetime && IncludesSource(Source))
        for (const waiting_load &Load : Counted.Loads)
          addWaiting(Sums[Load.Service], Load);
    std::vector<waiting_load> Loads;
    Loads.reserve(Sums.size());
    for (const auto &[Service, Sum] : Sums)
      Loads.push_back(Sum);
    return Loads;
  }

private:
  struct source_counts {
    std::vector<waiting_load> Loads;
    mono_time ReceivedAt;
  };

  work_share_tuning Tuning;
  std::map<work_source_id, source_counts> Sources;
};

/// Decides when the counts are sent to a receiver, or to several that get the same.
class waiting_feed {
public:
  explicit waiting_feed(const work_share_tuning &Values) : Tuning(Values) {}

  /// @return Whether the receiver needs these counts now. They then count as sent. The end of all
  /// waiting is sent several times, since datagrams may be lost.
  bool recordIfDue(const std::vector<waiting_load> &Loads, mono_time Now);

private:
  work_share_tuning Tuning;
  std::vector<waiting_load> Sent;
  mono_time SentAt{mono_time::min()};
  std::uint32_t EmptyReports{0}; ///< How many times in a row no waiting was sent.
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WAITING_BOARD_BASE_H

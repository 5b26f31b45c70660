/** @file entry_census_base.h How many entries may share the reserve of retries. */
#ifndef POLLENSTALL_RETRY_BUDGET_ENTRY_CENSUS_BASE_H
#define POLLENSTALL_RETRY_BUDGET_ENTRY_CENSUS_BASE_H

#include "core/core.h"

#include <cstddef>
#include <deque>

namespace pollenstall {

/**
 * Remembers the number of entries of recent lists. What a lost entry has used still counts, and the
 * first lists of a new leader may hold few entries, so the highest number counts.
 */
class entry_census {
public:
  void record(std::size_t Entries, mono_time Now);
  /// @return The highest number in force at any time since then; 0 before the first list.
  [[nodiscard]] std::size_t highestSince(mono_time Since) const;
  /// Forgets lists that were replaced before then.
  void forgetBefore(mono_time Time);

private:
  struct list {
    mono_time ReceivedAt;
    std::size_t Entries;
  };

  std::deque<list> Lists; ///< Oldest first; each is in force until the next.
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_ENTRY_CENSUS_BASE_H

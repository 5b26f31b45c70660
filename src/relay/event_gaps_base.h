/** @file event_gaps_base.h Measures the gaps between the events of a stream. */
#ifndef POLLENSTALL_RELAY_EVENT_GAPS_BASE_H
#define POLLENSTALL_RELAY_EVENT_GAPS_BASE_H

#include "core/core.h"

#include <algorithm>
#include <optional>

namespace pollenstall {

/// Tracks the longest time between two events of one answer, across all of its attempts.
class event_gaps {
public:
  /// Records that events were relayed; events relayed together count as one.
  void note(mono_time Now) {
    if (Last)
      Longest = std::max(Longest.value_or(mono_duration::zero()), Now - *Last);
    Last = Now;
  }

  /// Returns nothing if events were relayed fewer than twice.
  [[nodiscard]] std::optional<mono_duration> longest() const { return Longest; }

private:
  std::optional<mono_time> Last;
  std::optional<mono_duration> Longest;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_GAPS_BASE_H

/** @file event_gaps_base.h The pauses inside of a stream. */
#ifndef POLLENSTALL_RELAY_EVENT_GAPS_BASE_H
#define POLLENSTALL_RELAY_EVENT_GAPS_BASE_H

#include "core/core.h"

#include <algorithm>
#include <optional>

namespace pollenstall {

/// The longest time between two events of one answer, over all the attempts that it is made of.
class event_gaps {
public:
  /// Events are passed on; those that are passed on together count as one.
  void note(mono_time Now) {
    if (Last)
      Longest = std::max(Longest.value_or(mono_duration::zero()), Now - *Last);
    Last = Now;
  }

  /// @return Nothing where events were passed on only once.
  [[nodiscard]] std::optional<mono_duration> longest() const { return Longest; }

private:
  std::optional<mono_time> Last;
  std::optional<mono_duration> Longest;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_EVENT_GAPS_BASE_H

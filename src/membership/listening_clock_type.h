/** @file listening_clock_type.h Time during which this process ran and could hear. */
#ifndef POLLENSTALL_MEMBERSHIP_LISTENING_CLOCK_TYPE_H
#define POLLENSTALL_MEMBERSHIP_LISTENING_CLOCK_TYPE_H

#include "core/core.h"

#include <algorithm>

namespace pollenstall {

/**
 * Counts only time in which silence means something.
 * A process that was stopped for a minute, or cut off, has heard nobody; on the plain clock it
 * would give up the whole fleet at once when it goes on.
 */
class listening_clock {
public:
  /**
   * @param Now Start.
   * @param Pause A longer gap between two calls counts as a pause.
   * @param Hearing Time after the last message during which silence still counts.
   */
  listening_clock(mono_time Now, mono_duration Pause, mono_duration Hearing)
      : Last(Now), LastHeard(Now), PauseLimit(Pause), HearingLimit(Hearing) {}

  /**
   * Moves on to Now.
   * @param NobodyToHear Set where no other host is known to live: silence then counts.
   * @return Whether the process was paused since the call before.
   */
  bool observe(mono_time Now, bool NobodyToHear) {
    const mono_duration Gap = std::max(Now - Last, mono_duration::zero());
    Last = std::max(Last, Now);
    const bool Paused = Gap > PauseLimit;
    // After a pause nothing was heard for that long without anybody's fault: hearing starts anew.
    if (Paused)
      LastHeard = Last;
    else if (NobodyToHear || Last - LastHeard <= HearingLimit)
      Listened += Gap;
    return Paused;
  }

  /// A message or an announcement arrived.
  void heard() { LastHeard = Last; }

  /// @return Time listened since the start.
  [[nodiscard]] mono_duration listened() const { return Listened; }
  /// @return The time last observed.
  [[nodiscard]] mono_time now() const { return Last; }

private:
  mono_time Last;
  mono_time LastHeard;
  mono_duration PauseLimit;
  mono_duration HearingLimit;
  mono_duration Listened{};
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_LISTENING_CLOCK_TYPE_H

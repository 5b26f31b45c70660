/** @file connected_clock_type.h A clock that stops while this process is paused or cut off. */
#ifndef POLLENSTALL_MEMBERSHIP_CONNECTED_CLOCK_TYPE_H
#define POLLENSTALL_MEMBERSHIP_CONNECTED_CLOCK_TYPE_H

#include "core/core.h"

#include <algorithm>

namespace pollenstall {

/**
 * Counts only the time in which this host was able to receive messages, so that a missing message
 * is a sign of its sender's failure. A process that was paused for a minute or cut off from the
 * network has received nothing; on the monotonic clock it would expire the whole fleet when it
 * resumes.
 */
class connected_clock {
public:
  /**
   * @param Now Start time.
   * @param Pause A longer gap between two calls counts as a pause of the process.
   * @param Timeout How long after the last message the clock continues to run.
   */
  connected_clock(mono_time Now, mono_duration Pause, mono_duration Timeout)
      : Last(Now), LastReceipt(Now), PauseLimit(Pause), ReceiveTimeout(Timeout) {}

  /**
   * Advances the clock to Now.
   * @param NoPeers Whether no other host is known to be live; the clock then runs without messages.
   * @return Whether the process was paused since the previous call.
   */
  bool observe(mono_time Now, bool NoPeers) {
    const mono_duration Gap = std::max(Now - Last, mono_duration::zero());
    Last = std::max(Last, Now);
    const bool Paused = Gap > PauseLimit;
    // No message could be received during the pause, so the receive timeout starts again.
    if (Paused)
      LastReceipt = Last;
    else if (NoPeers || Last - LastReceipt <= ReceiveTimeout)
      ConnectedTime += Gap;
    return Paused;
  }

  /// Records that a message or an announcement arrived.
  void recordReceipt() { LastReceipt = Last; }

  /// @return Time counted since the start.
  [[nodiscard]] mono_duration connectedTime() const { return ConnectedTime; }
  /// @return The latest observed time.
  [[nodiscard]] mono_time now() const { return Last; }

private:
  mono_time Last;
  mono_time LastReceipt;
  mono_duration PauseLimit;
  mono_duration ReceiveTimeout;
  mono_duration ConnectedTime{};
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_CONNECTED_CLOCK_TYPE_H

/** @file control_rotation_base.h Selects the control host to connect to next, with backoff. */
#ifndef POLLENSTALL_CONTROL_LINK_CONTROL_ROTATION_BASE_H
#define POLLENSTALL_CONTROL_LINK_CONTROL_ROTATION_BASE_H

#include "core/core.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/**
 * Tries the control hosts in turn, with a backoff that grows until a leader answers. A leader hint
 * is followed once, without delay. The hint may be stale, and two hosts that redirect to each other
 * must not be tried without a delay.
 */
class control_rotation {
public:
  /// @param Configured Addresses from the settings. They are never removed, because all hosts
  /// that a leader listed may have been replaced since.
  control_rotation(std::vector<std::string> Configured, std::chrono::milliseconds InitialBackoff,
                   std::chrono::milliseconds LargestBackoff);

  /// @return The address to connect to if an attempt is due. The next attempt is due one backoff
  /// later.
  std::optional<std::string> next(mono_time Now);
  /// Resets the backoff, since a leader answered.
  void recordLeaderAnswer() { Backoff = MinBackoff; }
  /// Handles the end of a connection. @param LeaderAnswered Whether a leader had answered on it; if
  /// so, the next attempt is due immediately.
  void recordConnectionLoss(bool LeaderAnswered, mono_time Now);
  /// Handles a reply from a host that is not the leader. @param Leader The address that it named as
  /// the leader; empty if it named none.
  void recordRedirect(const std::string &Leader, mono_time Now);
  /// Replaces the hosts that the previous leader listed. Invalid addresses are skipped.
  void updateHosts(const std::vector<std::string> &Listed);

private:
  std::vector<std::string> Configured;
  std::vector<std::string> Hosts; ///< Tried in turn.
  std::size_t NextIndex{0};
  std::string LeaderHint;
  bool FollowedLeaderHint{false}; ///< The address of the last attempt came from a leader hint.
  std::chrono::milliseconds MinBackoff;
  std::chrono::milliseconds MaxBackoff;
  std::chrono::milliseconds Backoff;
  mono_time NextAttemptAt{};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_CONTROL_ROTATION_BASE_H

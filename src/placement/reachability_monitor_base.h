/** @file reachability_monitor_base.h Detects that this entry has lost its own network link. */
#ifndef POLLENSTALL_PLACEMENT_REACHABILITY_MONITOR_BASE_H
#define POLLENSTALL_PLACEMENT_REACHABILITY_MONITOR_BASE_H

#include "core/core.h"

#include <chrono>
#include <vector>

namespace pollenstall {

/**
 * Detects that this entry's own link has failed: connections to several backend servers in several
 * failure domains fail within a short time and none succeeds. Otherwise each server would go into
 * backoff and each request would use up its attempts, although the servers work for other entries.
 */
class reachability_monitor {
public:
  /// Records a failed connection attempt to the server.
  void recordUnreachable(const backend_key &Backend, const failure_domain_name &Domain,
                         mono_time Now);
  /// Records that a server answered, which ends the isolation.
  void recordReachable();

  /// Returns whether this entry appears to reach no backend server.
  [[nodiscard]] bool isIsolated() const { return Isolated; }
  /// Returns the servers with failures in the current window. If the entry is isolated, these are
  /// not the fault of the servers.
  [[nodiscard]] std::vector<backend_key> unreachableServers() const;
  /// Returns whether one request may be placed now to check whether the link works again.
  [[nodiscard]] bool mayProbe(mono_time Now) const { return Now >= NextProbe; }
  void recordProbe(mono_time Now) { NextProbe = Now + ProbeInterval; }
  [[nodiscard]] mono_time nextProbe() const { return NextProbe; }

private:
  /// Failures that are further apart are unrelated.
  static constexpr mono_duration FailureWindow = std::chrono::seconds(3);
  /// With two fifths of all servers unreachable, four consecutive attempts all fail in two of a
  /// hundred cases.
  static constexpr std::size_t MinServers = 4;
  static constexpr std::size_t MinDomains = 2;
  static constexpr mono_duration ProbeInterval = std::chrono::milliseconds(300);

  struct failure {
    backend_key Backend;
    failure_domain_name Domain;
    mono_time Time;
  };
  [[nodiscard]] bool isWidespread() const;

  std::vector<failure> Failures; ///< Latest failure of each server in the window.
  bool Isolated{false};
  mono_time NextProbe{};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_REACHABILITY_MONITOR_BASE_H

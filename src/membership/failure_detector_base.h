/** @file failure_detector_base.h SWIM failure detector with Lifeguard's local health multiplier. */
#ifndef POLLENSTALL_MEMBERSHIP_FAILURE_DETECTOR_BASE_H
#define POLLENSTALL_MEMBERSHIP_FAILURE_DETECTOR_BASE_H

#include "membership/membership_message_type.h"
#include "membership/membership_settings_type.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// The probe in flight.
struct active_probe {
  process_key Target;
  std::uint64_t Nonce{0};
  mono_time IndirectAt; ///< When indirect pings are requested.
  mono_time Deadline;   ///< When the target becomes suspect.
  bool IndirectSent{false};
};

/// An indirect ping that this host sent on behalf of another host.
struct relayed_ping {
  peer_address Requester;
  std::uint64_t Nonce{0}; ///< The nonce of the requesting host's own ping.
  mono_time Deadline;
};

/**
 * Probes one host at a time in a shuffled round (SWIM), with the local health multiplier of
 * Lifeguard: a host that is itself slow gives its targets more time before it suspects them.
 */
class failure_detector {
public:
  failure_detector(const membership_settings &Values, mono_time Now)
      : Settings(Values), NextProbe(Now) {}

  /// @return Whether the next probe is due.
  [[nodiscard]] bool due(mono_time Now) const { return !Probe && Now >= NextProbe; }
  /// @return The next host of the round, which is reshuffled from Hosts after its last host;
  /// nothing if no host of the round is in Hosts any more.
  std::optional<host_name> nextTarget(const std::vector<const host_record *> &Hosts,
                                      random_source &Random);
  /// Starts a probe.
  void startProbe(const process_key &Target, std::uint64_t Nonce, mono_time Now);
  /// Postpones the next probe by an interval, as there is no host to probe.
  void postponeProbe(mono_time Now) { NextProbe = Now + Settings.ProbeInterval; }

  /// @return The probe, once, when indirect pings are due.
  std::optional<active_probe> takeIndirectProbe(mono_time Now);
  /// Ends the probe if it timed out. @return Its target.
  std::optional<process_key> takeFailedTarget(mono_time Now);
  /// Handles an acknowledgement. @return Whether it belongs to the probe in flight.
  bool handleAck(std::uint64_t Nonce, const process_key &From);

  /// Handles a sign that this host itself is slow: it was paused, or another host suspects it.
  /// Drops the probe in flight and raises the health multiplier.
  void recordLocalFault(mono_time Now);

  /// Stores a ping sent on behalf of another host.
  void addRelayedPing(std::uint64_t Nonce, const relayed_ping &Ping);
  /// @return The stored ping with this nonce, once.
  std::optional<relayed_ping> takeRelayedPing(std::uint64_t Nonce);
  /// Removes relayed pings whose deadline has passed.
  void expireRelayedPings(mono_time Now);

  /// @return When the next call is due.
  [[nodiscard]] mono_time nextWake() const;
  [[nodiscard]] std::uint32_t healthMultiplier() const { return HealthMultiplier; }

private:
  void raiseMultiplier();

  membership_settings Settings;
  mono_time NextProbe;
  std::optional<active_probe> Probe;
  std::vector<host_name> Round;
  std::map<std::uint64_t, relayed_ping> Relayed;
  std::uint32_t HealthMultiplier{
      0}; ///< 0 means healthy; probe timeouts are multiplied by HealthMultiplier + 1.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_FAILURE_DETECTOR_BASE_H

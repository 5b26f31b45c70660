/** @file failure_detector_base.h Whom to probe, and whether a missing answer accuses the other
 * host. */
#ifndef POLLENSTALL_MEMBERSHIP_FAILURE_DETECTOR_BASE_H
#define POLLENSTALL_MEMBERSHIP_FAILURE_DETECTOR_BASE_H

#include "membership/membership_message_type.h"
#include "membership/membership_settings_type.h"

#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// The probe that is under way.
struct active_probe {
  process_key Target;
  std::uint64_t Nonce{0};
  mono_time IndirectAt; ///< Then others are asked to try.
  mono_time EndsAt;     ///< Then the target is suspected.
  bool IndirectSent{false};
};

/// A ping made for another host.
struct relayed_ping {
  peer_address AskedBy;
  std::uint64_t Nonce{0}; ///< As the asking host knows it.
  mono_time EndsAt;
};

/**
 * Probes one host at a time in a shuffled round (SWIM), with the local health multiplier of
 * Lifeguard: a host that is itself slow gives its targets more time before it accuses them.
 */
class failure_detector {
public:
  failure_detector(const membership_settings &Values, mono_time Now)
      : Settings(Values), NextProbe(Now) {}

  /// @return Whether it is time to begin a probe.
  [[nodiscard]] bool due(mono_time Now) const { return !Probe && Now >= NextProbe; }
  /// @return The next host of the round, which is reshuffled from Hosts when it ends.
  std::optional<host_name> nextTarget(const std::vector<const host_record *> &Hosts,
                                      random_source &Random);
  /// Begins a probe.
  void begin(const process_key &Target, std::uint64_t Nonce, mono_time Now);
  /// Nobody to probe now: looks again after an interval.
  void skip(mono_time Now) { NextProbe = Now + Settings.ProbeInterval; }

  /// @return The target, once, when others are to be asked to try.
  std::optional<active_probe> takeIndirect(mono_time Now);
  /// @return The target that did not answer, once the probe's time is over.
  std::optional<process_key> takeFailure(mono_time Now);
  /// An answer came. @return Whether it is the probe's.
  bool answered(std::uint64_t Nonce, const process_key &From);

  /// This host was paused or was accused itself: nobody is accused now, and all get more time.
  void distrustSelf(mono_time Now);

  /// Keeps a ping made for another host.
  void relay(std::uint64_t Nonce, const relayed_ping &Ping);
  /// @return For whom a ping was made, once.
  std::optional<relayed_ping> takeRelayed(std::uint64_t Nonce);
  /// Drops relayed pings that nobody waits for any more.
  void dropRelayed(mono_time Now);

  /// @return When something is due.
  [[nodiscard]] mono_time nextWake() const;
  [[nodiscard]] std::uint32_t localHealth() const { return Health; }

private:
  void worsen();

  membership_settings Settings;
  mono_time NextProbe;
  std::optional<active_probe> Probe;
  std::vector<host_name> Round;
  std::map<std::uint64_t, relayed_ping> Relayed;
  std::uint32_t Health{0}; ///< 0 is best; multiplies the probe's times by one more than this.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_FAILURE_DETECTOR_BASE_H

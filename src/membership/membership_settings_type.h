/** @file membership_settings_type.h Timeouts and budgets of the membership protocol; the same on
 * every host of a fleet. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_TYPE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenstall {

/// The defaults suit one-way delays of a few milliseconds and one announcement a second.
struct membership_settings {
  using ms = std::chrono::milliseconds;

  mono_duration ProbeInterval{ms(1000)}; ///< One host is probed in each interval.
  mono_duration ProbeTimeout{ms(300)};   ///< Time without an answer until indirect pings.
  mono_duration SuspicionMinimum{
      ms(2000)}; ///< Time that a host has to refute the suspicion if enough hosts suspect it.
  mono_duration SuspicionMaximum{
      ms(6000)}; ///< Time that a host has to refute the suspicion if only one host suspects it.
  mono_duration GossipInterval{ms(250)}; ///< Between gossip rounds; also the longest sleep.
  mono_duration SyncInterval{ms(5000)};  ///< Between anti-entropy exchanges.
  mono_duration ResyncInterval{ms(200)}; ///< Between exchanges while the views are not fresh.
  mono_duration AnnouncementInterval{ms(1000)}; ///< Between the announcements of a backend server.
  mono_duration BackendExpiry{
      ms(5000)}; ///< Time without a report after which the host that received the reports directly
                 ///< marks the backend server as lost.
  mono_duration QueryGrace{ms(2000)}; ///< Time between querying peers about an overdue backend
                                      ///< server and marking it as lost.
  mono_duration TombstoneAfter{std::chrono::minutes(
      10)}; ///< Time after the last report at which a lost backend server becomes a tombstone.
  mono_duration PauseLimit{ms(750)};      ///< A longer gap between calls means a pause.
  mono_duration ReceiveTimeout{ms(3000)}; ///< Without messages this long, the host is cut off.
  mono_duration FreshnessLease{ms(2000)}; ///< How long one answered message keeps the views fresh.
  mono_duration StartGrace{ms(3000)}; ///< Time after the start for which a host without live peers
                                      ///< waits for its seeds before its views become fresh.
  std::uint32_t LoadBytesPerSecond{6500}; ///< Budget for load digests, packet headers included.
  std::uint32_t Fanout{3};                ///< Target hosts of one gossip round.
  std::uint32_t IndirectProbes{3};        ///< Hosts that are asked for an indirect ping.
  std::uint32_t MaxHealthMultiplier{
      8}; ///< Upper bound of the local health multiplier; see failure_detector.
  std::size_t MaxBackends{4096}; ///< Maximum of known addresses, lost ones included.
  std::size_t MaxHosts{1024};    ///< Maximum of known host names.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_TYPE_H

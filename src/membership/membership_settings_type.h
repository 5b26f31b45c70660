/** @file membership_settings_type.h Timings and budgets; the same on every host of a fleet. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_TYPE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pollenstall {

/// Defaults are for one-way delays of a few milliseconds and announcements each second.
struct membership_settings {
  using ms = std::chrono::milliseconds;

  mono_duration ProbeInterval{ms(1000)}; ///< One host is probed in each.
  mono_duration ProbeTimeout{ms(300)};   ///< Without an answer by then, others are asked to try.
  mono_duration SuspicionMinimum{
      ms(2000)}; ///< To refute, where several hosts suspect independently.
  mono_duration SuspicionMaximum{ms(6000)}; ///< To refute, where one host alone suspects.
  mono_duration GossipInterval{ms(250)};    ///< Between rounds of news; also the longest sleep.
  mono_duration SyncInterval{ms(5000)};     ///< Between anti-entropy exchanges.
  mono_duration ResyncInterval{ms(200)};    ///< Between exchanges while the views are not fresh.
  mono_duration AnnouncementInterval{ms(1000)}; ///< Backend servers' own.
  mono_duration BackendExpiry{
      ms(5000)};                      ///< Silence after which the host that heard it gives it up.
  mono_duration QueryGrace{ms(2000)}; ///< Time for others to contradict before it is given up.
  mono_duration ForgetAfter{
      std::chrono::minutes(10)};          ///< A lost one's announcement is dropped then.
  mono_duration PauseLimit{ms(750)};      ///< A longer gap between calls means: was not running.
  mono_duration HearingLimit{ms(3000)};   ///< Without any message for this long: cannot hear.
  mono_duration FreshSpan{ms(2000)};      ///< How long one proof of contact keeps the views fresh.
  mono_duration StartGrace{ms(3000)};     ///< Without any answer for this long: alone.
  std::uint32_t LoadBytesPerSecond{6500}; ///< For load digests, packet headers included.
  std::uint32_t Fanout{3};                ///< Hosts that one round of news goes to.
  std::uint32_t IndirectProbes{3};        ///< Hosts asked to try.
  std::uint32_t MaxLocalHealth{8};        ///< Bound of the local health multiplier.
  std::size_t MaxBackends{4096};          ///< Addresses remembered, lost ones included.
  std::size_t MaxHosts{1024};             ///< Host names remembered.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_TYPE_H

/** @file gossip_type.h Errors, counters and ring items of the gossip thread. */
#ifndef POLLENSTALL_GOSSIP_GOSSIP_TYPE_H
#define POLLENSTALL_GOSSIP_GOSSIP_TYPE_H

#include "membership/membership.h"

#include <atomic>
#include <cstdint>
#include <variant>

namespace pollenstall {

/// Why a datagram is dropped.
enum class datagram_error : std::uint8_t {
  TooLarge,        ///< Over MaxDatagramBytes.
  Unauthenticated, ///< The tag of the fleet's key is missing or wrong.
  OtherFleet,      ///< Another fleet, protocol or version.
  Malformed,       ///< Does not decode, or a list is longer than allowed.
};

/// Why the thread does not start.
enum class gossip_error : std::uint8_t {
  BadAddress,    ///< Not "IP:port".
  NotBound,      ///< The address is taken or not of this machine.
  FleetTooLong,  ///< The fleet's name has more than MaxFleetBytes.
  NoOwnIdentity, ///< Host name missing.
};

constexpr std::size_t MaxFleetBytes = 32;

/// What a backend server told this host; from the operators' or the announcements' thread.
struct heard_announcement {
  backend_announcement Announcement;
  backend_load Load;
};

/// What other threads learn of the fleet.
using membership_event =
    std::variant<backend_changed, backend_gone, host_changed, views_fresh, superseded>;

/// Totals since the start; read from any thread.
struct gossip_counters {
  std::atomic<std::uint64_t> DatagramsIn{0};
  std::atomic<std::uint64_t> DatagramsOut{0};
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> DroppedTooLarge{0};
  std::atomic<std::uint64_t> DroppedUnauthenticated{0};
  std::atomic<std::uint64_t> DroppedOtherFleet{0};
  std::atomic<std::uint64_t> DroppedMalformed{0};
  std::atomic<std::uint64_t> SendErrors{0};
  std::atomic<std::uint64_t> AnnouncementsRefused{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_GOSSIP_TYPE_H

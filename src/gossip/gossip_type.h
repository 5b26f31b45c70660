/** @file gossip_type.h Errors, counters and ring elements of the gossip thread. */
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
  Unauthenticated, ///< The HMAC tag is missing or wrong.
  OtherFleet,      ///< It belongs to another fleet, protocol or version.
  Malformed,       ///< It does not decode, or a list exceeds its limit.
};

/// Why the gossip service cannot be created.
enum class gossip_error : std::uint8_t {
  BadAddress,       ///< The address is not "IP:port".
  BindFailed,       ///< The address is in use or not local.
  FleetNameTooLong, ///< The fleet's name has more than MaxFleetBytes.
  MissingHostName,  ///< The own host name is empty.
};

constexpr std::size_t MaxFleetBytes = 32;

/// An announcement that a backend server sent to this host; written by the one thread that receives
/// announcements.
struct received_announcement {
  backend_announcement Announcement;
  backend_load Load;
};

/// Membership events for other threads.
using membership_event =
    std::variant<backend_changed, backend_gone, host_changed, views_fresh, superseded>;

/// Totals since the start; readable from any thread.
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

/** @file fleet_queue_type.h Rank classes of waiting requests, and the counts that entries exchange.
 */
#ifndef POLLENSTALL_FLEET_QUEUE_FLEET_QUEUE_TYPE_H
#define POLLENSTALL_FLEET_QUEUE_FLEET_QUEUE_TYPE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace pollenstall {

/// Number of rank classes on the wire. Not all of them are in use.
constexpr std::size_t RankClassCount = 16;
/// Arrivals of ten seconds are exchanged as a whole number, so that the rate of an entry with one
/// arrival in some seconds is not rounded to zero.
constexpr double ArrivalUnitsPerSecond = 10;

/// Requests of one or several entries that wait for a slot of a service, by rank class.
struct waiting_load {
  std::uint64_t Service{0};                           ///< serviceHash() of its name.
  std::uint32_t ArrivalUnits{0};                      ///< Requests that arrive in ten seconds.
  std::array<std::uint16_t, RankClassCount> Counts{}; ///< By rank class, first in order first.

  bool operator==(const waiting_load &) const = default;
};

/// What the rank of a waiting request depends on. Durations are in milliseconds.
struct waiting_request {
  bool Resumed{false};      ///< Its caller has received a part of the answer.
  bool Returning{false};    ///< Its caller was refused or left before.
  bool OverShare{false};    ///< Its account sends more than its share.
  std::uint32_t Urgency{0}; ///< Declared priority; lower values come first.
  /// Time within which it must start to meet its target; negative if it can't meet it.
  double SlackMs{0};
  double WaitedMs{0}; ///< Since it began to wait.
};

/// Place of a waiting request in the order of the fleet.
struct queue_rank {
  std::size_t Class{0}; ///< Less than RankClassCount.
  double Position{0};   ///< Within the class, from 0 to below 1.

  auto operator<=>(const queue_rank &) const = default;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_QUEUE_FLEET_QUEUE_TYPE_H

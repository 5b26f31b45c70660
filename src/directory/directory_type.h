/** @file directory_type.h What backend servers say of themselves, and what entries are told. */
#ifndef POLLENSTALL_DIRECTORY_DIRECTORY_TYPE_H
#define POLLENSTALL_DIRECTORY_DIRECTORY_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenstall {

struct instance_tag {};
/// The name that a backend server gives itself. Most take a new one at each start; names have no
/// order.
using instance_name = strong_text<instance_tag>;

struct incarnation_start_tag {};
/// When a life began, in Unix milliseconds by the server's own clock; 0 where it does not say.
using incarnation_start = strong_id<incarnation_start_tag>;

/// One life of a backend server. Of two under the same name the one that began later is the newer:
/// it holds nothing of what the former one held.
struct backend_incarnation {
  instance_name Instance;
  incarnation_start Started;

  bool operator==(const backend_incarnation &) const = default;
};

/// What a backend server says of itself, at a steady interval and before it leaves.
struct backend_notice {
  instance_name Instance;
  backend_address Address;
  service_name Service;
  failure_domain_name Domain;
  std::uint32_t Places{1};   ///< Requests that it runs at once.
  bool Leaving{false};       ///< Takes no new work.
  std::uint64_t Sequence{0}; ///< Rises with each notice of one life, so that a late one shows.
  incarnation_start Started;
};

/// How a backend server stands.
enum class listing_state : std::uint8_t {
  Active,  ///< May be given work.
  Leaving, ///< Finishes what it has.
  Silent,  ///< Said nothing for some time: gone, or cut off from the control hosts alone.
  Gone,    ///< Its life is over: another one has its address, or it was silent for very long.
};

/// One backend server as entries are told of it.
struct backend_listing {
  backend_key Key;
  instance_name Instance;
  service_name Service;
  failure_domain_name Domain;
  std::uint32_t Places{1};
  listing_state State{listing_state::Active};
  incarnation_start Started;

  bool operator==(const backend_listing &) const = default;
};

/// @return The key of a life. Its number has no order: which of two lives at one address is the
/// newer one is known to the directory alone.
inline backend_key keyOf(const backend_address &Address, const backend_incarnation &Incarnation) {
  return {Address, incarnation(combineHashes(stableHash(Incarnation.Instance.str()),
                                             Incarnation.Started.value()) |
                               1U)};
}

/// Times of the directory.
struct directory_options {
  mono_duration NoticeInterval{std::chrono::milliseconds(1000)}; ///< Backend servers' own.
  std::uint32_t SilentAfter{4};                                  ///< Intervals without a notice.
  mono_duration ForgetAfter{std::chrono::seconds(60)}; ///< Silence after which it is dropped.
  std::size_t MaxBackends{4096};                       ///< Listed at once.
  std::size_t MaxRetired{16'384};                      ///< Names of ended lives remembered.
};

} // namespace pollenstall

#endif // POLLENSTALL_DIRECTORY_DIRECTORY_TYPE_H

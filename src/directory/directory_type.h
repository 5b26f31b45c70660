/** @file directory_type.h Notices of backend servers and the listings that entries receive. */
#ifndef POLLENSTALL_DIRECTORY_DIRECTORY_TYPE_H
#define POLLENSTALL_DIRECTORY_DIRECTORY_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pollenstall {

struct instance_tag {};
/// The name that a backend server chooses. Most choose a new one at each start; names have no
/// order.
using instance_name = strong_text<instance_tag>;

struct incarnation_start_tag {};
/// When an incarnation began, in Unix milliseconds by the backend server's own clock; 0 if it does
/// not report that.
using incarnation_start = strong_id<incarnation_start_tag>;

/// One incarnation of a backend server. Of two with the same name, the one that began later is
/// the newer. It starts without its predecessor's requests and state.
struct backend_incarnation {
  instance_name Instance;
  incarnation_start Started;

  bool operator==(const backend_incarnation &) const = default;
};

/// A notice that a backend server sends at a fixed interval and before it leaves.
struct backend_notice {
  instance_name Instance;
  backend_address Address;
  service_name Service;
  failure_domain_name Domain;
  std::uint32_t Slots{1};    ///< Requests that it runs concurrently.
  bool Leaving{false};       ///< Accepts no new work.
  std::uint64_t Sequence{0}; ///< Increases within an incarnation; reveals late notices.
  incarnation_start Started;
  /// How long the server stays cold; 0: it is warm; empty: it does not say.
  std::optional<std::chrono::milliseconds> ColdFor{};
};

/// The state of a backend server.
enum class listing_state : std::uint8_t {
  Active,       ///< Accepts work.
  Leaving,      ///< Finishes its running requests.
  Unresponsive, ///< Sent no notice for some time: it has ended, or only its path to the control
                ///< hosts is cut.
  Gone, ///< The incarnation has ended: another one holds its address, or it sent no notice for
        ///< RemoveAfter.
};

/// One backend server as listed for the entries.
struct backend_listing {
  backend_key Key;
  instance_name Instance;
  service_name Service;
  failure_domain_name Domain;
  std::uint32_t Slots{1};
  listing_state State{listing_state::Active};
  incarnation_start Started;
  /// How long the server stays cold from when the listing is sent; 0: it is warm; empty: the sender
  /// does not know, or says nothing new. Kept in no record, since the time passes.
  std::optional<std::chrono::milliseconds> ColdFor{};

  bool operator==(const backend_listing &) const = default;
};

/// Returns the key of an incarnation. Unlike in membership, the incarnation in the key is a hash
/// and has no order: only the directory knows which of two incarnations at one address is the
/// newer.
inline backend_key keyOf(const backend_address &Address, const backend_incarnation &Incarnation) {
  return {Address, incarnation(combineHashes(stableHash(Incarnation.Instance.str()),
                                             Incarnation.Started.value()) |
                               1U)};
}

/// Longest time for which a server counts as cold after one statement.
constexpr std::chrono::milliseconds MaxColdTime = std::chrono::minutes(10);

/// Timeouts and limits of the directory.
struct directory_options {
  mono_duration NoticeInterval{std::chrono::milliseconds(1000)}; ///< Of a backend server.
  std::uint32_t MaxMissedNotices{4}; ///< Notice intervals until it is unresponsive.
  mono_duration RemoveAfter{std::chrono::seconds(60)}; ///< Time without a notice until removal.
  std::size_t MaxBackends{4096};                       ///< Maximum of listings.
  std::size_t MaxRetired{
      16'384}; ///< Maximum of names with a remembered ended or withdrawn incarnation.
};

} // namespace pollenstall

#endif // POLLENSTALL_DIRECTORY_DIRECTORY_TYPE_H

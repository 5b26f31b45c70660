/** @file membership_type.h What is known of backend servers and of the system's own hosts. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_TYPE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_TYPE_H

#include "core/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenstall {

/// Whether a backend server compares the fencing number of an order.
enum class order_check : std::uint8_t {
  None,     ///< It takes no orders.
  Unfenced, ///< It carries out every order.
  Fenced,   ///< It refuses an order with a lower number than it has seen.
};

/// What a backend server is able to do.
struct backend_capabilities {
  bool Model{true};       ///< Speaks chat/completions; false for a plain service.
  bool Priorities{false}; ///< Orders its queue by the priority header.
  bool Cancels{false};    ///< Ends an attempt on request.
  bool Resumes{false};    ///< Continues a broken stream at an event id.
  bool MovesCache{false}; ///< Exports and imports KV cache.
  order_check Orders{order_check::None};

  bool operator==(const backend_capabilities &) const = default;
};

/// What a backend server says of itself; fixed for one incarnation except for models and labels.
struct backend_announcement {
  backend_key Key;
  service_name Service;
  failure_domain_name Domain;
  std::map<std::string, std::string> Labels;
  std::vector<model_name> Models; ///< Loaded now.
  backend_capabilities Capabilities;
  memory_blocks Memory;   ///< KV memory in all; 0 where it has none.
  tokens BlockTokens{16}; ///< Tokens that one block holds.
  bool Leaving{false};    ///< Takes no new work; sticks to the incarnation.

  bool operator==(const backend_announcement &) const = default;
};

/// A backend server's own report; it lags.
struct backend_load {
  std::uint64_t Sequence{0};  ///< Rises with each report of one incarnation.
  std::uint32_t Running{0};   ///< Requests in the running batch.
  std::uint32_t Waiting{0};   ///< Requests that wait for a place.
  tokens WaitingPrefill;      ///< Prompt tokens that are not processed yet.
  memory_blocks UsedBlocks;   ///< Held by running work.
  memory_blocks CachedBlocks; ///< Held by prefixes only; can be evicted.

  bool operator==(const backend_load &) const = default;
};

/// How a backend server stands in one host's view.
enum class backend_standing : std::uint8_t {
  Active,  ///< May be given work.
  Leaving, ///< Finishes what it has, gets nothing new.
  Lost,    ///< Not heard of for the expiry time.
};

struct peer_address_tag {};
/// "IP:port" on which another process of the system receives datagrams.
using peer_address = strong_text<peer_address_tag>;

/// How one of the system's own hosts stands in another's view, from weakest to strongest claim.
enum class host_standing : std::uint8_t {
  Alive,   ///< Answers, or nobody doubts it.
  Suspect, ///< Somebody got no answer; it may still refute that.
  Dead,    ///< Did not refute the suspicion in time.
  Left,    ///< Said itself that it stops; sticks to the incarnation.
};

/// One of the system's own hosts in a host's view of the fleet.
struct host_view {
  process_key Key;
  failure_domain_name Domain;
  std::vector<peer_address> Addresses;
  host_standing Standing{host_standing::Alive};
};

/// One backend server in a host's view of the fleet.
struct backend_view {
  backend_announcement Announcement;
  backend_load Load;
  backend_standing Standing{backend_standing::Active};
  mono_time LoadSeen; ///< When the load report arrived at this host.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_TYPE_H

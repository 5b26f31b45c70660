/** @file membership_type.h Announcements, load reports and views of hosts and backend servers. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_TYPE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_TYPE_H

#include "core/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenstall {

/// Whether a backend server checks the fencing number of an order.
enum class order_check : std::uint8_t {
  None,     ///< It accepts no orders.
  Unfenced, ///< It executes every order.
  Fenced,   ///< It rejects an order whose number is lower than one that it has seen.
};

/// What a backend server is able to do.
struct backend_capabilities {
  bool Model{true};       ///< Speaks chat/completions; false for a plain service.
  bool Priorities{false}; ///< Orders its queue by the priority header.
  bool Cancels{false};    ///< Ends an attempt on request.
  bool Resumes{false};    ///< Resumes a broken stream at an event id.
  bool MovesCache{false}; ///< Exports and imports KV cache.
  order_check Orders{order_check::None};

  bool operator==(const backend_capabilities &) const = default;
};

/// A backend server's announcement; fixed for one incarnation except for models and labels.
struct backend_announcement {
  backend_key Key;
  service_name Service;
  failure_domain_name Domain;
  std::map<std::string, std::string> Labels;
  std::vector<model_name> Models; ///< Models loaded now.
  backend_capabilities Capabilities;
  memory_blocks Memory;   ///< Total KV memory; 0 if it has none.
  tokens BlockTokens{16}; ///< Tokens that one block holds.
  bool Leaving{false};    ///< Accepts no new work; sticks to the incarnation.

  bool operator==(const backend_announcement &) const = default;
};

/// A backend server's load report; it lags behind the actual load.
struct backend_load {
  std::uint64_t Sequence{0};  ///< Increases with each report of one incarnation.
  std::uint32_t Running{0};   ///< Requests in the running batch.
  std::uint32_t Waiting{0};   ///< Requests that wait for admission to the batch.
  tokens WaitingPrefill;      ///< Unprocessed prompt tokens.
  memory_blocks UsedBlocks;   ///< Used by running requests.
  memory_blocks CachedBlocks; ///< Used only by cached prefixes; can be evicted.

  bool operator==(const backend_load &) const = default;
};

/// The status of a backend server in one host's view.
enum class backend_status : std::uint8_t {
  Active,  ///< Accepts work.
  Leaving, ///< Finishes its running requests and gets no new ones.
  Lost,    ///< No report arrived within the expiry timeout.
};

struct peer_address_tag {};
/// "IP:port" on which another process of the system receives datagrams.
using peer_address = strong_text<peer_address_tag>;

/// The status of one of the system's own hosts in another host's view, from the weakest to the
/// strongest claim.
enum class host_status : std::uint8_t {
  Alive,   ///< Answers, or no host suspects it.
  Suspect, ///< A host got no answer from it; it may still refute the suspicion.
  Dead,    ///< Did not refute the suspicion in time.
  Left,    ///< Announced that it stops; sticks to the incarnation.
};

/// One of the system's own hosts in a host's view of the fleet.
struct host_view {
  process_key Key;
  failure_domain_name Domain;
  std::vector<peer_address> Addresses;
  host_status Status{host_status::Alive};
};

/// One backend server in a host's view of the fleet.
struct backend_view {
  backend_announcement Announcement;
  backend_load Load;
  backend_status Status{backend_status::Active};
  mono_time LoadReportedAt; ///< When the backend server made the load report, on this host's clock.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_TYPE_H

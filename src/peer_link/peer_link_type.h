/** @file peer_link_type.h Messages between control hosts other than consensus messages. */
#ifndef POLLENSTALL_PEER_LINK_PEER_LINK_TYPE_H
#define POLLENSTALL_PEER_LINK_PEER_LINK_TYPE_H

#include "consensus/consensus.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pollenstall {

/// Where a control host listens; an empty address is unknown.
struct peer_addresses {
  std::string Peers;     ///< For other control hosts.
  std::string Entries;   ///< For entries.
  std::string Operators; ///< For operators' HTTP calls.

  bool operator==(const peer_addresses &) const = default;
};

/// A control host with its addresses.
using known_peer = std::pair<member_id, peer_addresses>;

/// First message of a connection. It lets the receiver redirect entries and operators to the
/// leader. It also lists the hosts known to the sender, so that a host with a few seeds finds all.
struct peer_hello {
  member_id Member;
  peer_addresses Addresses;
  std::vector<known_peer> KnownPeers;
  failure_domain_name Domain{}; ///< Of the sender; empty if its build does not report it.
};

using peer_message = std::variant<peer_hello, consensus_message>;

/// For metrics and dumps.
struct peer_link_counters {
  std::uint64_t Received{0};
  std::uint64_t Undecodable{0}; ///< Messages that failed to decode.
  std::uint64_t Dropped{0};     ///< Messages dropped since a ring or a connection was full.
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_PEER_LINK_TYPE_H

/** @file peer_link_type.h What control hosts send each other beside the log's own messages. */
#ifndef POLLENSTALL_PEER_LINK_PEER_LINK_TYPE_H
#define POLLENSTALL_PEER_LINK_PEER_LINK_TYPE_H

#include "consensus/consensus.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pollenstall {

/// Where one control host listens; empty texts are not known.
struct peer_addresses {
  std::string Peers;     ///< For other control hosts.
  std::string Entries;   ///< For entries.
  std::string Operators; ///< For operators, HTTP.

  bool operator==(const peer_addresses &) const = default;
};

/// A control host and where it listens.
using known_peer = std::pair<member_id, peer_addresses>;

/// First message of a connection, so that a host can point entries and operators to the leader. It
/// also names the others that the sender knows: a host that starts with a few seeds finds all.
struct peer_hello {
  member_id Member;
  peer_addresses Addresses;
  std::vector<known_peer> Known;
};

using peer_message = std::variant<peer_hello, consensus_message>;

/// For metrics and dumps.
struct peer_link_counters {
  std::uint64_t Received{0};
  std::uint64_t Garbage{0}; ///< Messages that did not decode.
  std::uint64_t Dropped{0}; ///< Messages for which a ring or a connection had no room.
};

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_PEER_LINK_TYPE_H

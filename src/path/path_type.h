/** @file path_type.h Ways to connect to a backend server, and their tuning. */
#ifndef POLLENSTALL_PATH_PATH_TYPE_H
#define POLLENSTALL_PATH_PATH_TYPE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenstall {

/// How the next connection to a backend server is made. A tunnel runs through another entry, which
/// makes the connection to the server.
enum class path_plan : std::uint8_t {
  Direct, ///< Directly; also through a tunnel if that fails or takes too long.
  Both,   ///< Both at once; the first that connects is used.
  Tunnel, ///< Through a tunnel; directly only if no peer offers one.
};

/// Place of a request among those that wait at its backend server.
enum class queue_place : std::uint8_t {
  InTurn, ///< In the order of arrival.
  Ahead,  ///< Ahead of those in turn.
};

/// A backend server whose connections this entry may make or carry.
struct path_server {
  backend_key Key;
  service_name Service;
  failure_domain_name Domain;
};

/// Another entry that may carry connections.
struct tunnel_peer {
  std::string Address; ///< "IP:port" at which it accepts tunnels.
  failure_domain_name Domain;

  bool operator==(const tunnel_peer &) const = default;
};

/// A backend server whose connections begin or cease to need a tunnel.
struct path_change {
  backend_key Server;
  std::string Peer; ///< The peer that carries the first such connection; empty: direct again.
};

/// Why a peer did not open a tunnel.
enum class tunnel_failure : std::uint8_t {
  PeerUnreachable, ///< The peer accepts no connection or does not answer in time.
  NoDirectPath,    ///< The peer itself needs a tunnel to the server.
  ServerSilent,    ///< The peer could not connect, and can't tell whether the server ended.
  Busy,            ///< The peer carries as many connections as it may.
  Forbidden,       ///< The peer does not know this entry, or the server.
  ServerDown,      ///< It could not connect, hears others of the service, and needs no tunnel.
};

/// A connection that could be made neither directly nor through a peer.
struct connect_failure {
  backend_key Server;
  std::uint32_t PeersAsked{0};
  std::uint32_t OfOwnDomain{0}; ///< Peers of the entry's failure domain among them.
  std::uint32_t Silent{0};      ///< Peers that got no answer from the server, or gave none.
  std::uint32_t Down{0};        ///< Peers that hear other servers of the service.
  mono_duration Took{};
};

/// Tuning of the choice between paths.
struct path_tuning {
  /// Open connections are reused only if a server of the same service and failure domain was heard
  /// of directly within this time. Behind a cut, an open connection accepts a request and stays
  /// silent; a new connection shows the cut.
  mono_duration FreshTime{std::chrono::milliseconds(250)};
  /// A direct connection that takes longer than this is also tried through a tunnel. Many times the
  /// delay between failure domains.
  mono_duration HedgeDelay{std::chrono::milliseconds(100)};
  /// While tunnels carry the connections to a server, the direct path is tried again after this.
  mono_duration RecheckInterval{std::chrono::milliseconds(500)};
  /// Time that a peer has to connect to the server.
  mono_duration PeerConnectTimeout{std::chrono::milliseconds(300)};
  /// A request that was sent through a peer and has no answer after this time has its path checked,
  /// and again after as long.
  mono_duration CheckInterval{std::chrono::milliseconds(400)};
  /// Time that a peer has to show that it still reaches the server; longer than PeerConnectTimeout.
  mono_duration CheckTimeout{std::chrono::milliseconds(400)};
  /// Peers tried for one connection.
  std::uint32_t MaxPeerTries{6};
  /// Pause of a peer after its first failure; doubles with each further one.
  mono_duration PeerPause{std::chrono::milliseconds(500)};
  mono_duration MaxPeerPause{std::chrono::seconds(8)};
};

} // namespace pollenstall

#endif // POLLENSTALL_PATH_PATH_TYPE_H

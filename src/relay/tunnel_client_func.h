/** @file tunnel_client_func.h Opens a connection to a backend server through a peer. */
#ifndef POLLENSTALL_RELAY_TUNNEL_CLIENT_FUNC_H
#define POLLENSTALL_RELAY_TUNNEL_CLIENT_FUNC_H

#include "path/path_type.h"
#include "relay/timed_socket_base.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace pollenstall {

/// Header by which an entry names its fleet to a peer.
constexpr std::string_view FleetHeader = "X-Pollenstall-Fleet";

/// Header by which a peer without a path names another one that has carried for it.
constexpr std::string_view CarrierHeader = "X-Pollenstall-Carrier";

/// An HTTP CONNECT request (RFC 9110, section 9.3.6) to a peer.
struct tunnel_request {
  std::string Fleet;
  std::string From;       ///< "IP:port" of this entry, by whose IP the peer knows it.
  std::string Peer;       ///< "IP:port".
  backend_address Server; ///< "IP:port".
  mono_time Until;        ///< The peer must have connected by then.
  /// Called if the peer names another one, with its address.
  std::function<void(const std::string &)> AtReferral;
};

using tunnel_result = std::variant<std::unique_ptr<timed_socket>, tunnel_failure>;

/// Returns the connection, on which the peer adds and removes no byte.
boost::asio::awaitable<tunnel_result> openTunnel(socket_sweeper &Sweeper, tunnel_request Request);

/// Returns the HTTP status by which a peer states why it opened no tunnel.
unsigned statusOf(tunnel_failure Failure);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_TUNNEL_CLIENT_FUNC_H

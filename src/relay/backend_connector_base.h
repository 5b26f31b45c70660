/** @file backend_connector_base.h Makes connections to backend servers, directly or through peers.
 */
#ifndef POLLENSTALL_RELAY_BACKEND_CONNECTOR_BASE_H
#define POLLENSTALL_RELAY_BACKEND_CONNECTOR_BASE_H

#include "path/path.h"
#include "relay/relay_type.h"
#include "relay/timed_socket_base.h"
#include "relay/tunnel_client_func.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace pollenstall {

/// A connection with a single user.
using backend_connection = std::unique_ptr<timed_socket>;

/// What a network partition does to new direct connections.
enum class partition_effect : std::uint8_t {
  None,    ///< No partition: they are made.
  Silence, ///< They hang.
  Refusal, ///< They are refused.
};

/**
 * Connects as connection_race decides. The first connection that is made is used, the others are
 * closed before a byte of the request was sent on them.
 */
class backend_connector {
public:
  backend_connector(socket_sweeper &Owner, const relay_limits &Bounds)
      : Sweeper(Owner), Limits(Bounds) {}

  /// Allows tunnels. Without it all connections are direct.
  void useTunnels(std::string FleetName, tunnel_peers OtherEntries) {
    Fleet = std::move(FleetName);
    Peers.emplace(std::move(OtherEntries));
  }
  void setEntries(const std::vector<tunnel_peer> &Entries) {
    if (Peers)
      Peers->setEntries(Entries);
  }
  [[nodiscard]] path_table &paths() { return Paths; }
  [[nodiscard]] const path_table &paths() const { return Paths; }
  [[nodiscard]] std::optional<tunnel_peers> &peers() { return Peers; }
  [[nodiscard]] const std::optional<tunnel_peers> &peers() const { return Peers; }
  [[nodiscard]] const std::string &fleet() const { return Fleet; }

  void onPathChange(std::function<void(const path_change &)> Hook) {
    AtPathChange = std::move(Hook);
  }
  /// Sets a hook for connections that could be made by no way.
  void onConnectFailure(std::function<void(const connect_failure &)> Hook) {
    AtConnectFailure = std::move(Hook);
  }
  /// Sets a hook for the result of each request for a tunnel; no failure: it was opened.
  void onTunnelResult(std::function<void(std::optional<tunnel_failure>)> Hook) {
    AtTunnelResult = std::move(Hook);
  }

  /// Simulates a partition between this entry and the servers, for tests.
  void simulatePartition(std::function<partition_effect()> Hook) { Partition = std::move(Hook); }

  /// Returns a new connection, or null if none could be made in time.
  boost::asio::awaitable<backend_connection> connect(backend_key Server);
  /// Connects without a tunnel.
  /// @param Code Why no connection was made.
  boost::asio::awaitable<backend_connection> connectDirectly(const backend_key &Server,
                                                             mono_duration Timeout,
                                                             boost::system::error_code &Code);
  /// Connects for another entry. @return The connection, or why there is none.
  boost::asio::awaitable<std::variant<backend_connection, tunnel_failure>>
  connectForPeer(backend_key Server);
  /// Returns whether the peer still connects to the server. A frozen peer, or one that was cut off
  /// after it had opened a tunnel, leaves that tunnel open and silent.
  boost::asio::awaitable<bool> reachesThrough(std::string Peer, backend_key Server);
  /// Returns how often the path of a request that waits for its answer is checked.
  [[nodiscard]] mono_duration checkInterval() const { return Tuning.CheckInterval; }
  /// Returns whether the server's host refuses connections to its port, which means that the server
  /// has ended. A partition may refuse them, too, so that no peer may reach the server.
  boost::asio::awaitable<bool> refusesConnections(const backend_key &Server);

private:
  struct race;

  [[nodiscard]] tunnel_request requestTo(const std::string &Peer, const backend_address &Server,
                                         mono_time Until);
  boost::asio::awaitable<void> runDirect(std::shared_ptr<race> Race);
  boost::asio::awaitable<void> runTunnel(std::shared_ptr<race> Race, std::string Peer);
  void reportChange(const path_change &Change);

  socket_sweeper &Sweeper;
  const relay_limits &Limits;
  std::string Fleet;
  path_tuning Tuning;
  path_table Paths;
  std::optional<tunnel_peers> Peers; ///< Not set: all connections are direct.
  std::function<void(const path_change &)> AtPathChange;
  std::function<void(const connect_failure &)> AtConnectFailure;
  std::function<void(std::optional<tunnel_failure>)> AtTunnelResult;
  std::function<partition_effect()> Partition; ///< Not set outside of tests.
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_BACKEND_CONNECTOR_BASE_H

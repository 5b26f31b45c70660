/** @file tunnel_server_base.h Carries connections of other entries to backend servers. */
#ifndef POLLENSTALL_RELAY_TUNNEL_SERVER_BASE_H
#define POLLENSTALL_RELAY_TUNNEL_SERVER_BASE_H

#include "relay/backend_connector_base.h"
#include "server_notice/server_notice.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/**
 * Accepts HTTP CONNECT from the entries of its fleet, connects directly to the server and copies
 * bytes both ways.
 *
 * The entry that asked decides about its request: what is sent, its deadline and its repetition. It
 * must see the same end of the connection as if it were direct, since a server may mark the end of
 * an answer by closing. A close of the server is passed on as a close; everything else, the end of
 * this process included, resets the connection. What the server sent before is passed on first.
 */
class tunnel_server {
public:
  /// @param Connector Knows the servers and the entries, and connects to the servers.
  /// @param Pauses Of servers that want no request from this host, those that it carries included.
  tunnel_server(socket_sweeper &Owner, const relay_limits &Bounds, backend_connector &Connector,
                const pause_table &Pauses);

  /// Binds the address and accepts tunnels.
  result<done, std::string> listen(std::string_view Address);
  /// Opens no further tunnels; open ones continue.
  void refuseNew() { Refusing = true; }
  void stop();
  /// Sets a check of the servers to which new connections are carried.
  void onlyWhile(std::function<bool(const backend_key &)> Check) { MayConnect = std::move(Check); }
  [[nodiscard]] std::size_t open() const { return Tunnels; }
  /// Returns the IP addresses of the entries whose connections are carried, with the number of
  /// each.
  [[nodiscard]] const std::map<std::string, std::size_t> &carried() const { return Carried; }
  /// Sets a hook for each request for a tunnel; no failure: it was opened.
  void
  onRequest(std::function<void(std::optional<tunnel_failure>, const std::string &Entry)> Hook) {
    AtRequest = std::move(Hook);
  }

private:
  struct tunnel;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> pauseAccepting();
  boost::asio::awaitable<void> serve(std::shared_ptr<tunnel> Tunnel);
  boost::asio::awaitable<std::optional<tunnel_failure>> connect(tunnel &Tunnel);
  void countTunnel(const std::string &EntryIp);
  void uncountTunnel(const std::string &EntryIp);
  [[nodiscard]] bool mayConnect(const backend_key &Server) const {
    return !MayConnect || MayConnect(Server);
  }
  [[nodiscard]] std::optional<tunnel_failure> refusalFor(const tunnel &Tunnel) const;
  /// Returns the answer to an entry that gets no tunnel.
  [[nodiscard]] std::string refusalText(tunnel_failure Failure);
  boost::asio::awaitable<bool> readRequest(tunnel &Tunnel) const;
  static boost::asio::awaitable<void> copyToServer(tunnel &Tunnel);
  static boost::asio::awaitable<void> copyToEntry(std::shared_ptr<tunnel> Tunnel);

  socket_sweeper &Sweeper;
  const relay_limits &Limits;
  backend_connector &Connector;
  const pause_table &Pauses;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::size_t Tunnels{0};
  std::map<std::string, std::size_t> Carried; ///< Tunnels by the IP address of the entry.
  bool Refusing{false};
  std::function<bool(const backend_key &)> MayConnect; ///< Not set: to all servers.
  std::function<void(std::optional<tunnel_failure>, const std::string &)> AtRequest;
};

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_TUNNEL_SERVER_BASE_H

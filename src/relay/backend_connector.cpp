/** @file backend_connector.cpp Races direct connections and tunnels. */
#include "relay/backend_connector_base.h"

#include "address/address.h"
#include "relay/rethrow_func.h"
#include "relay/socket_limit_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

/// Peers that are asked whether a server that refuses connections has ended. They may be behind the
/// same partition.
constexpr std::size_t CrashWitnesses = 3;

} // namespace

/// The connections that are being made for one caller of connect().
struct backend_connector::race {
  race(asio::io_context &Io, connection_race Race) : Decision(std::move(Race)), Changed(Io) {}

  connection_race Decision;
  asio::steady_timer Changed; ///< Cancelled when a connection was made or failed.
  backend_connection Winner;
};

asio::awaitable<backend_connection>
backend_connector::connectDirectly(const backend_key &Server, mono_duration Timeout,
                                   boost::system::error_code &Code) {
  const auto Endpoint = tcpEndpoint(Server.Address.str());
  // Nothing would end a connection that is begun after the deadlines are no longer checked.
  if (!Endpoint || Sweeper.stopped())
    co_return nullptr;
  if (const auto Effect = Partition ? Partition() : partition_effect::None;
      Effect != partition_effect::None) {
    if (Effect == partition_effect::Silence) {
      asio::steady_timer Timer(Sweeper.io(), Timeout);
      co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Code));
    }
    Code = Effect == partition_effect::Silence ? asio::error::timed_out
                                               : asio::error::connection_refused;
    co_return nullptr;
  }
  asio::ip::tcp::socket Socket(Sweeper.io());
  Socket.open(Endpoint->protocol(), Code);
  if (Code)
    co_return nullptr;
  auto Connection = std::make_unique<timed_socket>(Sweeper, std::move(Socket));
  limitUnacknowledged(Connection->raw(), Limits.UserTimeout);
  Connection->expireAt(boot_clock::now() + Timeout);
  co_await Connection->raw().async_connect(*Endpoint,
                                           asio::redirect_error(asio::use_awaitable, Code));
  if (Code || Connection->expired())
    co_return nullptr;
  Connection->expireNever();
  Connection->noteBytesAt(Paths.lastHeard(Server));
  co_return Connection;
}

asio::awaitable<void> backend_connector::runDirect(std::shared_ptr<race> Race) {
  boost::system::error_code Code;
  backend_connection Connection =
      co_await connectDirectly(Race->Decision.server(), Limits.ConnectTimeout, Code);
  if (Race->Decision.recordDirect(Connection != nullptr, boot_clock::now()))
    Race->Winner = std::move(Connection);
  if (const auto Change = Race->Decision.takeChange())
    reportChange(*Change);
  Race->Changed.cancel();
}

tunnel_request backend_connector::requestTo(const std::string &Peer, const backend_address &Server,
                                            mono_time Until) {
  return {Fleet,
          Peers->ownAddress(),
          Peer,
          Server,
          Until,
          [this](const std::string &Carrier) {
            Peers->recordReferral(Carrier, boot_clock::now()); }};
}

asio::awaitable<void> backend_connector::runTunnel(std::shared_ptr<race> Race, std::string Peer) {
  // A named object: g++ 12 destroys a braced temporary in an awaited call twice.
  tunnel_request Request =
      requestTo(Peer, Race->Decision.server().Address, Race->Decision.deadline());
  tunnel_result Opened = co_await openTunnel(Sweeper, std::move(Request));
  const auto *Failed = std::get_if<tunnel_failure>(&Opened);
  const std::optional<tunnel_failure> Failure = Failed ? std::optional(*Failed) : std::nullopt;
  if (AtTunnelResult)
    AtTunnelResult(Failure);
  if (Race->Decision.recordTunnel(Peer, Failure, boot_clock::now()))
    Race->Winner = std::move(std::get<backend_connection>(Opened));
  Race->Changed.cancel();
}

void backend_connector::reportChange(const path_change &Change) {
  if (AtPathChange)
    AtPathChange(Change);
}

asio::awaitable<backend_connection> backend_connector::connect(backend_key Server) {
  const auto Race = std::make_shared<race>(
      Sweeper.io(), connection_race(Paths, Peers ? &*Peers : nullptr, Tuning, std::move(Server),
                                    Limits.ConnectTimeout, boot_clock::now()));
  while (true) {
    const mono_time Now = boot_clock::now();
    const race_step Step = Race->Decision.next(Now);
    if (std::holds_alternative<race_over>(Step))
      break;
    if (std::holds_alternative<start_direct>(Step)) {
      asio::co_spawn(Sweeper.io(), runDirect(Race), rethrow);
    } else if (const auto *Tunnel = std::get_if<start_tunnel>(&Step)) {
      asio::co_spawn(Sweeper.io(), runTunnel(Race, Tunnel->Peer), rethrow);
    } else {
      boost::system::error_code Ignored;
      Race->Changed.expires_after(
          std::max(mono_duration(0), std::get<wait_for_tries>(Step).Until - Now));
      co_await Race->Changed.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
    }
  }
  const mono_time Ended = boot_clock::now();
  Race->Decision.finish(Ended);
  if (const auto Change = Race->Decision.takeChange())
    reportChange(*Change);
  if (const auto Failure = Race->Decision.failure(Ended); Failure && AtConnectFailure)
    AtConnectFailure(*Failure);
  co_return std::move(Race->Winner);
}

asio::awaitable<std::variant<backend_connection, tunnel_failure>>
backend_connector::connectForPeer(backend_key Server) {
  if (!Paths.mayTryForPeer(Server, boot_clock::now()))
    co_return tunnel_failure::NoDirectPath;
  boost::system::error_code Code;
  backend_connection Opened = co_await connectDirectly(Server, Tuning.PeerConnectTimeout, Code);
  const mono_time Now = boot_clock::now();
  if (!Opened)
    co_return Paths.recordFailedForPeer(Server, Now);
  if (Paths.recordMadeForPeer(Server, Now))
    reportChange({Server, {}});
  co_return std::move(Opened);
}

asio::awaitable<bool> backend_connector::reachesThrough(std::string Peer, backend_key Server) {
  if (!Peers)
    co_return true;
  tunnel_request Request = requestTo(Peer, Server.Address, boot_clock::now() + Tuning.CheckTimeout);
  const tunnel_result Opened = co_await openTunnel(Sweeper, std::move(Request));
  const auto *Failure = std::get_if<tunnel_failure>(&Opened);
  // A peer without room for further tunnels still carries those that are open.
  if (!Failure || *Failure == tunnel_failure::Busy)
    co_return true;
  Peers->recordFailure(Peer, *Failure, boot_clock::now());
  co_return false;
}

asio::awaitable<bool> backend_connector::refusesConnections(const backend_key &Server) {
  boost::system::error_code Code;
  const backend_connection Opened = co_await connectDirectly(Server, Limits.ConnectTimeout, Code);
  if (Opened || Code != asio::error::connection_refused)
    co_return false;
  std::vector<std::string> Tried;
  while (Peers && Tried.size() < CrashWitnesses) {
    const auto Peer = Peers->choose(Tried, boot_clock::now());
    if (!Peer)
      break;
    Tried.push_back(*Peer);
    tunnel_request Request =
        requestTo(*Peer, Server.Address, boot_clock::now() + Limits.ConnectTimeout);
    const tunnel_result Seen = co_await openTunnel(Sweeper, std::move(Request));
    const auto *Failure = std::get_if<tunnel_failure>(&Seen);
    if (!Failure)
      co_return false;
    if (*Failure == tunnel_failure::ServerDown)
      break;
  }
  co_return true;
}

} // namespace pollenstall

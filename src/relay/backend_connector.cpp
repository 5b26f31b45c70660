/** @file backend_connector.cpp Races direct connections and tunnels. */
#include "relay/backend_connector_base.h"

#include "address/address.h"
#include "relay/rethrow_func.h"
#include "relay/socket_limit_func.h"
#include "relay/tunnel_client_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

/// Peers that are asked whether a server that refuses connections has ended. They may be behind the
/// same partition.
constexpr std::size_t CrashWitnesses = 3;

} // namespace

/// The connections that are being made for one caller of connect().
struct backend_connector::race {
  race(asio::io_context &Io, backend_key Target, mono_time Until)
      : Server(std::move(Target)), Deadline(Until), Changed(Io) {}

  backend_key Server;
  mono_time Deadline;
  asio::steady_timer Changed; ///< Cancelled when a connection was made or failed.
  backend_connection Winner;
  std::string WinningPeer; ///< Empty: the winner is direct.
  bool Decided{false};
  bool TriedDirectly{false};
  bool DirectFailed{false};
  bool DirectWorks{false}; ///< A direct connection was made in time, though it may not have won.
  bool SeenDown{false};    ///< A peer could not connect, though it hears other servers.
  std::uint32_t Pending{0};
  std::vector<std::string> Tried;   ///< Peers that were asked.
  std::set<std::string> Unanswered; ///< Those that are still connecting.
  std::set<std::string> Silent;     ///< Those that got no answer from the server.
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
  const mono_time Started = boot_clock::now();
  backend_connection Connection =
      co_await connectDirectly(Race->Server, Limits.ConnectTimeout, Code);
  --Race->Pending;
  Race->DirectFailed = !Connection;
  const mono_time Now = boot_clock::now();
  // A late success says little: the server's queue of connections may have been full.
  Race->DirectWorks = Connection && (!Race->Decided || Now - Started < Tuning.HedgeDelay);
  if (Race->DirectWorks && Paths.recordDirect(Race->Server, Now))
    reportChange(Race->Server, {});
  if (Connection && !Race->Decided) {
    Race->Decided = true;
    Race->Winner = std::move(Connection);
  }
  Race->Changed.cancel();
}

asio::awaitable<void> backend_connector::runTunnel(std::shared_ptr<race> Race, std::string Peer) {
  // A named object: g++ 12 destroys a braced temporary in an awaited call twice.
  tunnel_request Request{Fleet, Peers->ownAddress(), Peer, Race->Server.Address, Race->Deadline};
  tunnel_result Opened = co_await openTunnel(Sweeper, std::move(Request));
  --Race->Pending;
  Race->Unanswered.erase(Peer);
  const auto *Failure = std::get_if<tunnel_failure>(&Opened);
  if (AtTunnelResult)
    AtTunnelResult(Failure ? std::optional(*Failure) : std::nullopt);
  if (!Failure)
    Peers->recordSuccess(Peer);
  else if (*Failure == tunnel_failure::ServerSilent)
    Race->Silent.insert(Peer);
  else
    Peers->recordFailure(Peer, *Failure, boot_clock::now());
  Race->SeenDown = Race->SeenDown || (Failure && *Failure == tunnel_failure::ServerDown);
  if (!Failure && !Race->Decided) {
    Race->Decided = true;
    Race->Winner = std::move(std::get<backend_connection>(Opened));
    Race->WinningPeer = Peer;
  }
  Race->Changed.cancel();
}

void backend_connector::startDirect(const std::shared_ptr<race> &Race) {
  Race->TriedDirectly = true;
  ++Race->Pending;
  asio::co_spawn(Sweeper.io(), runDirect(Race), rethrow);
}

bool backend_connector::startTunnel(const std::shared_ptr<race> &Race) {
  if (!Peers || Race->Tried.size() >= Tuning.MaxPeerTries)
    return false;
  const auto Peer = Peers->choose(Race->Tried, boot_clock::now());
  if (!Peer)
    return false;
  Race->Tried.push_back(*Peer);
  Race->Unanswered.insert(*Peer);
  ++Race->Pending;
  asio::co_spawn(Sweeper.io(), runTunnel(Race, *Peer), rethrow);
  return true;
}

void backend_connector::recordWinner(const race &Race) {
  if (!Race.Winner || Race.WinningPeer.empty())
    return;
  const mono_time Now = boot_clock::now();
  // The winner shows that the server answers: the peers that it did not answer are cut off as well.
  for (const auto *Slower : {&Race.Silent, &Race.Unanswered})
    for (const std::string &Peer : *Slower)
      Peers->recordFailure(Peer, tunnel_failure::ServerSilent, Now);
  // A connection that was not tried directly says nothing new of the direct path.
  const bool DirectPathFailed = Race.TriedDirectly && !Race.DirectWorks;
  if (DirectPathFailed && Paths.recordTunnel(Race.Server, Now))
    reportChange(Race.Server, Race.WinningPeer);
}

void backend_connector::reportChange(const backend_key &Server, const std::string &Peer) {
  if (AtPathChange)
    AtPathChange({Server, Peer});
}

asio::awaitable<backend_connection> backend_connector::connect(backend_key Server) {
  const mono_time Started = boot_clock::now();
  const path_plan Plan = Peers ? Paths.planFor(Server, Started) : path_plan::Direct;
  const auto Race = std::make_shared<race>(Sweeper.io(), std::move(Server),
                                           Started + Limits.ConnectTimeout + Tuning.HedgeDelay);
  if (Plan != path_plan::Tunnel)
    startDirect(Race);
  if (Plan != path_plan::Direct && !startTunnel(Race) && !Race->TriedDirectly)
    startDirect(Race);
  boost::system::error_code Ignored;
  mono_time HedgeAt = Started + Tuning.HedgeDelay;
  while (!Race->Winner) {
    const mono_time Now = boot_clock::now();
    const bool DirectIsLate =
        Race->DirectFailed || !Race->TriedDirectly || !Race->Tried.empty() || Now >= HedgeAt;
    const bool PeersAreLate = Race->Unanswered.empty() || Now >= HedgeAt;
    if (DirectIsLate && PeersAreLate && !Race->SeenDown) {
      HedgeAt = Now + Tuning.HedgeDelay;
      if (!startTunnel(Race) && !Race->TriedDirectly)
        startDirect(Race);
    }
    if (Race->Pending == 0 || Now >= Race->Deadline)
      break;
    const mono_time WakeAt = Race->SeenDown ? Race->Deadline : HedgeAt;
    Race->Changed.expires_after(std::max(mono_duration(0), WakeAt - Now));
    co_await Race->Changed.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
  }
  Race->Decided = true;
  recordWinner(*Race);
  co_return std::move(Race->Winner);
}

asio::awaitable<bool> backend_connector::reachesThrough(std::string Peer, backend_key Server) {
  if (!Peers)
    co_return true;
  tunnel_request Request{Fleet, Peers->ownAddress(), Peer, Server.Address,
                         boot_clock::now() + Tuning.CheckTimeout};
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
    tunnel_request Request{Fleet, Peers->ownAddress(), *Peer, Server.Address,
                           boot_clock::now() + Limits.ConnectTimeout};
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

/** @file tunnel_server.cpp CONNECT requests of other entries, and the copying of bytes. */
#include "relay/tunnel_server_base.h"

#include "address/address.h"
#include "message_feed/message_feed.h"
#include "relay/rethrow_func.h"
#include "relay/socket_limit_func.h"
#include "relay/tunnel_client_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxHeadBytes = 1024;
constexpr std::chrono::seconds HeadTimeout{1};
/// Both sides are silent for longer than any request lasts: the entry is gone without a trace.
constexpr std::chrono::minutes MaxSilence{5};
/// After the close of the server, the entry closes as soon as it has read the answer.
constexpr std::chrono::seconds CloseTimeout{5};
constexpr std::string_view OpenedAnswer = "HTTP/1.1 200 Connection established\r\n\r\n";

/// Writes all bytes. The view must stay valid only until the first suspension.
asio::awaitable<bool> writeCopy(timed_socket &Target, std::string_view Bytes) {
  const std::array Buffers{asio::const_buffer(Bytes.data(), Bytes.size())};
  const auto Written = Target.writeNow(Buffers);
  if (!Written)
    co_return false;
  if (*Written == Bytes.size())
    co_return true;
  const std::string Rest(Bytes.substr(*Written));
  const std::array RestBuffers{asio::const_buffer(Rest.data(), Rest.size())};
  co_return co_await Target.writeAll(RestBuffers) == Rest.size();
}

} // namespace

/// One connection of an entry, and the connection to the server that it asked for.
struct tunnel_server::tunnel {
  tunnel(socket_sweeper &Sweeper, asio::ip::tcp::socket Open) : Entry(Sweeper, std::move(Open)) {}

  void abort() {
    Entry.abort();
    if (Server)
      Server->abort();
  }

  timed_socket Entry;
  std::string EntryIp;
  std::string Fleet;      ///< As the entry named it.
  backend_address Target; ///< As the entry named it.
  backend_connection Server;
};

tunnel_server::tunnel_server(socket_sweeper &Owner, const relay_limits &Bounds,
                             backend_connector &SharedConnector, const pause_table &SharedPauses)
    : Sweeper(Owner), Limits(Bounds), Connector(SharedConnector), Pauses(SharedPauses),
      Acceptor(Owner.io()) {}

result<done, std::string> tunnel_server::listen(std::string_view Address) {
  auto Listening = listenOn(Acceptor, Address);
  if (succeeded(Listening))
    asio::co_spawn(Sweeper.io(), accept(), rethrow);
  return Listening;
}

void tunnel_server::stop() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

asio::awaitable<void> tunnel_server::accept() {
  while (Acceptor.is_open()) {
    boost::system::error_code Code;
    asio::ip::tcp::socket Socket(Sweeper.io());
    co_await Acceptor.async_accept(Socket, asio::redirect_error(asio::use_awaitable, Code));
    if (Code && Acceptor.is_open())
      co_await pauseAccepting();
    if (Code || Sweeper.stopped())
      continue;
    const auto Remote = Socket.remote_endpoint(Code);
    if (Code)
      continue;
    auto Tunnel = std::make_shared<tunnel>(Sweeper, std::move(Socket));
    Tunnel->EntryIp = Remote.address().to_string();
    asio::co_spawn(Sweeper.io(), serve(std::move(Tunnel)), rethrow);
  }
}

/// Out of descriptors, accepting would fail again at once.
asio::awaitable<void> tunnel_server::pauseAccepting() {
  constexpr std::chrono::milliseconds Pause{50};
  boost::system::error_code Ignored;
  asio::steady_timer Timer(Sweeper.io(), Pause);
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<bool> tunnel_server::readRequest(tunnel &Tunnel) const {
  Tunnel.Entry.expireAt(boot_clock::now() + HeadTimeout);
  message_feed<true> Feed(MaxHeadBytes);
  while (!Feed.headDone()) {
    const std::string_view Read = co_await Tunnel.Entry.readSome();
    if (Read.empty() || !Feed.feed(Read))
      co_return false;
  }
  const auto &Head = Feed.message().get();
  const auto Fleet = Head[boost::beast::string_view(FleetHeader.data(), FleetHeader.size())];
  Tunnel.Fleet = std::string(Fleet.data(), Fleet.size());
  Tunnel.Target = backend_address(std::string(Head.target().data(), Head.target().size()));
  co_return Head.method() == boost::beast::http::verb::connect && !Feed.hasRemainder();
}

std::optional<tunnel_failure> tunnel_server::refusalFor(const tunnel &Tunnel) const {
  const bool KnowsEntry = Tunnel.Fleet == Connector.fleet() && Connector.peers() &&
                          Connector.peers()->hasEntryAt(Tunnel.EntryIp);
  if (!KnowsEntry || !Connector.paths().hasServerAt(Tunnel.Target))
    return tunnel_failure::Forbidden;
  const backend_key Server = Connector.paths().serverAt(Tunnel.Target);
  const mono_time Now = boot_clock::now();
  // The path of a running request is checked by a further tunnel; this answer keeps the request.
  if (Refusing || Tunnels >= Limits.MaxTunnels || Pauses.isPaused(Server, Now) ||
      !mayConnect(Server))
    return tunnel_failure::Busy;
  return std::nullopt;
}

asio::awaitable<std::optional<tunnel_failure>> tunnel_server::connect(tunnel &Tunnel) {
  if (const auto Refusal = refusalFor(Tunnel))
    co_return Refusal;
  const auto Server = Connector.paths().serverAt(Tunnel.Target);
  auto Opened = co_await Connector.connectForPeer(Server);
  if (const auto *Failure = std::get_if<tunnel_failure>(&Opened))
    co_return *Failure;
  // The domain may have been evacuated meanwhile.
  if (!mayConnect(Server))
    co_return tunnel_failure::Busy;
  Tunnel.Server = std::move(std::get<backend_connection>(Opened));
  co_return std::nullopt;
}

std::string tunnel_server::refusalText(tunnel_failure Failure) {
  std::string Text = "HTTP/1.1 " + std::to_string(statusOf(Failure)) + " -\r\n";
  if (Failure == tunnel_failure::NoDirectPath)
    if (const auto Carrier = Connector.peers()->knownCarrier())
      Text.append(CarrierHeader).append(": ").append(*Carrier).append("\r\n");
  return Text + "Content-Length: 0\r\n\r\n";
}

void tunnel_server::countTunnel(const std::string &EntryIp) {
  ++Tunnels;
  ++Carried[EntryIp];
}

void tunnel_server::uncountTunnel(const std::string &EntryIp) {
  --Tunnels;
  if (const auto Found = Carried.find(EntryIp); --Found->second == 0)
    Carried.erase(Found);
}

asio::awaitable<void> tunnel_server::serve(std::shared_ptr<tunnel> Tunnel) {
  if (!co_await readRequest(*Tunnel))
    co_return Tunnel->Entry.abort();
  countTunnel(Tunnel->EntryIp);
  const std::optional<tunnel_failure> Failure = co_await connect(*Tunnel);
  if (AtRequest)
    AtRequest(Failure, Tunnel->EntryIp);
  if (Failure) {
    uncountTunnel(Tunnel->EntryIp);
    const std::string Answer = refusalText(*Failure);
    co_await writeCopy(Tunnel->Entry, Answer);
    co_return co_await Tunnel->Entry.closeAfterDrain();
  }
  // If this process is killed, the kernel then resets the connection: a close would look like the
  // server's.
  boost::system::error_code Ignored;
  Tunnel->Entry.raw().set_option(asio::socket_base::linger(true, 0), Ignored);
  limitUnacknowledged(Tunnel->Entry.raw(), TunnelUserTimeout);
  Tunnel->Entry.expireAt(boot_clock::now() + MaxSilence);
  if (co_await writeCopy(Tunnel->Entry, OpenedAnswer)) {
    asio::co_spawn(Sweeper.io(), copyToEntry(Tunnel), rethrow);
    co_await copyToServer(*Tunnel);
  }
  uncountTunnel(Tunnel->EntryIp);
  Tunnel->abort();
}

/// Returns as soon as the entry ends its connection: it no longer wants the answer. A server that
/// reads no further may have answered before; the rest of the request is dropped then, so that the
/// entry can write it and read the answer.
asio::awaitable<void> tunnel_server::copyToServer(tunnel &Tunnel) {
  bool ServerReads = true;
  while (true) {
    const std::string_view Read = co_await Tunnel.Entry.readSome();
    if (Read.empty())
      co_return;
    ServerReads = ServerReads && co_await writeCopy(*Tunnel.Server, Read);
  }
}

asio::awaitable<void> tunnel_server::copyToEntry(std::shared_ptr<tunnel> Tunnel) {
  while (true) {
    const std::string_view Read = co_await Tunnel->Server->readSome();
    if (Read.empty())
      break;
    Tunnel->Entry.expireAt(boot_clock::now() + MaxSilence);
    if (!co_await writeCopy(Tunnel->Entry, Read))
      co_return Tunnel->abort();
  }
  if (Tunnel->Server->receivingEnd() != connection_end::Closed)
    co_return Tunnel->abort();
  boost::system::error_code Ignored;
  Tunnel->Entry.raw().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  Tunnel->Entry.expireAt(boot_clock::now() + CloseTimeout);
}

} // namespace pollenstall

/** @file tunnel_client.cpp The CONNECT request of an entry and its answer. */
#include "relay/tunnel_client_func.h"

#include "address/address.h"
#include "message_feed/message_feed.h"
#include "relay/socket_limit_func.h"

#include <array>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxHeadBytes = 1024;
constexpr unsigned Ok = 200;
constexpr unsigned Forbidden = 403;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned Misdirected = 421;

tunnel_failure failureOf(unsigned Status) {
  switch (Status) {
  case Forbidden:
    return tunnel_failure::Forbidden;
  case BadGateway:
    return tunnel_failure::ServerDown;
  case GatewayTimeout:
    return tunnel_failure::ServerSilent;
  case Misdirected:
    return tunnel_failure::NoDirectPath;
  default:
    return tunnel_failure::Busy;
  }
}

std::string requestText(const tunnel_request &Request) {
  const std::string &Server = Request.Server.str();
  return "CONNECT " + Server + " HTTP/1.1\r\nHost: " + Server + "\r\n" + std::string(FleetHeader) +
         ": " + Request.Fleet + "\r\n\r\n";
}

} // namespace

unsigned statusOf(tunnel_failure Failure) {
  switch (Failure) {
  case tunnel_failure::Forbidden:
    return Forbidden;
  case tunnel_failure::ServerDown:
    return BadGateway;
  case tunnel_failure::Busy:
    return Unavailable;
  case tunnel_failure::NoDirectPath:
    return Misdirected;
  default:
    return GatewayTimeout;
  }
}

asio::awaitable<tunnel_result> openTunnel(socket_sweeper &Sweeper, tunnel_request Request) {
  boost::system::error_code Code;
  const auto Endpoint = tcpEndpoint(Request.Peer);
  const auto Own = tcpEndpoint(Request.From);
  if (!Endpoint || !Own || Sweeper.stopped())
    co_return tunnel_failure::PeerUnreachable;
  asio::ip::tcp::socket Socket(Sweeper.io());
  Socket.open(Endpoint->protocol(), Code);
  if (!Code)
    Socket.bind({Own->address(), 0}, Code);
  if (Code)
    co_return tunnel_failure::PeerUnreachable;
  auto Connection = std::make_unique<timed_socket>(Sweeper, std::move(Socket));
  limitUnacknowledged(Connection->raw(), TunnelUserTimeout);
  Connection->expireAt(Request.Until);
  co_await Connection->raw().async_connect(*Endpoint,
                                           asio::redirect_error(asio::use_awaitable, Code));
  if (Code || Connection->expired())
    co_return tunnel_failure::PeerUnreachable;
  const std::string Text = requestText(Request);
  const std::array Buffers{asio::const_buffer(Text.data(), Text.size())};
  if (co_await Connection->writeAll(Buffers) != Text.size())
    co_return tunnel_failure::PeerUnreachable;
  // After a 200 to CONNECT the bytes belong to the server, which sends none before the request.
  answer_feed Feed(MaxHeadBytes, answer_body::None);
  while (!Feed.headDone()) {
    const std::string_view Read = co_await Connection->readSome();
    if (Read.empty() || !Feed.feed(Read))
      co_return tunnel_failure::PeerUnreachable;
  }
  const auto &Head = Feed.message().get();
  const auto Carrier = Head[boost::beast::string_view(CarrierHeader.data(), CarrierHeader.size())];
  if (!Carrier.empty() && Request.AtReferral)
    Request.AtReferral(std::string(Carrier.data(), Carrier.size()));
  if (Head.result_int() != Ok)
    co_return failureOf(Head.result_int());
  Connection->expireNever();
  Connection->setCarrier(Request.Peer);
  co_return tunnel_result(std::move(Connection));
}

} // namespace pollenstall

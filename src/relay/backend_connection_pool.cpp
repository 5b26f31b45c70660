/** @file backend_connection_pool.cpp Opens and pools connections to backend servers. */
#include "relay/backend_connection_pool_base.h"

#include "address/address.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

/// Without it, a connection to an unreachable peer stays open for as long as the kernel
/// retransmits.
void limitUnacknowledged(int Handle, std::chrono::milliseconds Limit) {
  const auto Millis = static_cast<unsigned>(Limit.count());
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis, sizeof(Millis));
}

} // namespace

backend_connection backend_connection_pool::takeIdleConnection(const backend_key &Backend) {
  const auto Found = Idle.find(Backend);
  if (Found == Idle.end())
    return nullptr;
  std::deque<idle_connection> &IdleConnections = Found->second;
  while (!IdleConnections.empty()) {
    backend_connection Connection = std::move(IdleConnections.back().Connection);
    const bool IsFresh = boot_clock::now() < IdleConnections.back().Until;
    IdleConnections.pop_back();
    if (!IsFresh)
      continue; // The server may be closing it right now.
    // Input on an idle connection belongs to no request; the server is out of sync.
    if (!Connection->peerClosed() && !Connection->hasInput())
      return Connection;
  }
  Idle.erase(Found);
  return nullptr;
}

asio::awaitable<backend_connection>
backend_connection_pool::connect(const backend_key &Backend, boost::system::error_code &Code) {
  const auto Endpoint = tcpEndpoint(Backend.Address.str());
  if (!Endpoint)
    co_return nullptr;
  asio::ip::tcp::socket Socket(Sweeper.io());
  Socket.open(Endpoint->protocol(), Code);
  if (Code)
    co_return nullptr;
  auto Connection = std::make_unique<timed_socket>(Sweeper, std::move(Socket));
  limitUnacknowledged(Connection->raw().native_handle(), Limits.UserTimeout);
  Connection->expireAt(boot_clock::now() + Limits.ConnectTimeout);
  co_await Connection->raw().async_connect(*Endpoint,
                                           asio::redirect_error(asio::use_awaitable, Code));
  if (Code || Connection->expired())
    co_return nullptr;
  Connection->expireNever();
  co_return Connection;
}

asio::awaitable<backend_connection> backend_connection_pool::open(const backend_key &Backend,
                                                                  connection_reuse Reuse) {
  if (Reuse == connection_reuse::Allowed)
    if (backend_connection Pooled = takeIdleConnection(Backend))
      co_return Pooled;
  boost::system::error_code Code;
  co_return co_await connect(Backend, Code);
}

asio::awaitable<bool> backend_connection_pool::refusesConnections(const backend_key &Backend) {
  boost::system::error_code Code;
  const backend_connection Opened = co_await connect(Backend, Code);
  co_return !Opened && Code == asio::error::connection_refused;
}

void backend_connection_pool::returnToPool(const backend_key &Backend,
                                           backend_connection Connection,
                                           std::optional<std::chrono::milliseconds> IdleLimit,
                                           std::size_t MaxIdle) {
  const auto Limit = std::min(IdleLimit.value_or(Limits.BackendIdle), Limits.BackendIdle);
  Connection->expireNever();
  std::deque<idle_connection> &IdleConnections = Idle[Backend];
  if (IdleConnections.size() < MaxIdle)
    IdleConnections.push_back({std::move(Connection), boot_clock::now() + Limit});
}

void backend_connection_pool::closeIdle(mono_time Now) {
  for (auto At = Idle.begin(); At != Idle.end();) {
    std::deque<idle_connection> &IdleConnections = At->second;
    std::erase_if(IdleConnections,
                  [Now](const idle_connection &Connection) { return Connection.Until <= Now; });
    At = IdleConnections.empty() ? Idle.erase(At) : std::next(At);
  }
}

std::size_t backend_connection_pool::idle() const {
  std::size_t Count = 0;
  for (const auto &[Backend, IdleConnections] : Idle)
    Count += IdleConnections.size();
  return Count;
}

} // namespace pollenstall

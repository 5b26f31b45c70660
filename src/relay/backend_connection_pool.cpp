/** @file backend_connection_pool.cpp Opens and pools connections to backend servers. */
#include "relay/backend_connection_pool_base.h"

namespace pollenstall {

namespace asio = boost::asio;

backend_connection backend_connection_pool::takeIdleConnection(const backend_key &Backend) {
  const auto Found = Idle.find(Backend);
  if (Found == Idle.end())
    return nullptr;
  std::deque<idle_connection> &IdleConnections = Found->second;
  backend_connection Usable;
  while (!Usable && !IdleConnections.empty()) {
    backend_connection Connection = std::move(IdleConnections.back().Connection);
    const bool IsFresh = boot_clock::now() < IdleConnections.back().Until;
    IdleConnections.pop_back();
    if (!IsFresh)
      continue; // The server may be closing it right now.
    // Input on an idle connection belongs to no request; the server is out of sync.
    if (!Connection->peerClosed() && !Connection->hasInput())
      Usable = std::move(Connection);
  }
  if (IdleConnections.empty())
    Idle.erase(Found);
  return Usable;
}

/// Another connection will take its place; a group that is seldom used must not collect them.
void backend_connection_pool::closeOldestIdle(const backend_key &Backend) {
  const auto Found = Idle.find(Backend);
  if (Found == Idle.end())
    return;
  Found->second.pop_front();
  if (Found->second.empty())
    Idle.erase(Found);
}

asio::awaitable<backend_connection> backend_connection_pool::open(const backend_key &Backend,
                                                                  connection_reuse Reuse) {
  if (Reuse == connection_reuse::Allowed) {
    if (!Connector.paths().mayReuse(Backend, boot_clock::now()))
      closeOldestIdle(Backend);
    else if (backend_connection Pooled = takeIdleConnection(Backend))
      co_return Pooled;
  }
  co_return co_await Connector.connect(Backend);
}

void backend_connection_pool::returnToPool(const backend_key &Backend,
                                           backend_connection Connection,
                                           std::optional<std::chrono::milliseconds> IdleLimit,
                                           std::size_t MaxIdle) {
  if (!Connection->carrier().empty())
    return; // The direct path may work again when it is needed next.
  const auto Limit = std::min(IdleLimit.value_or(Limits.BackendIdle), Limits.BackendIdle);
  Connection->expireNever();
  const auto Found = Idle.find(Backend);
  const std::size_t IdleCount = Found == Idle.end() ? 0 : Found->second.size();
  if (IdleCount < MaxIdle)
    Idle[Backend].push_back({std::move(Connection), boot_clock::now() + Limit});
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

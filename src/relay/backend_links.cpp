/** @file backend_links.cpp Takes, makes and keeps connections to backend servers. */
#include "relay/backend_links_base.h"

#include "address/address.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pollenstall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxIdlePerBackend = 256;

/// Without it a peer that was cut off holds a connection for as long as the kernel resends.
void limitUnacknowledged(int Handle, std::chrono::milliseconds Limit) {
  const auto Millis = static_cast<unsigned>(Limit.count());
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis, sizeof(Millis));
}

} // namespace

backend_link backend_links::takeIdle(const backend_key &Backend) {
  const auto Found = Idle.find(Backend);
  if (Found == Idle.end())
    return nullptr;
  std::deque<idle_link> &Links = Found->second;
  while (!Links.empty()) {
    backend_link Link = std::move(Links.back().Link);
    const bool InTime = boot_clock::now() < Links.back().Until;
    Links.pop_back();
    if (!InTime)
      continue; // The server may be closing it at this very moment.
    // Input on an idle connection belongs to nobody; its sender is out of step.
    if (!Link->peerClosed() && !Link->hasInput())
      return Link;
  }
  Idle.erase(Found);
  return nullptr;
}

asio::awaitable<backend_link> backend_links::connect(const backend_key &Backend,
                                                     boost::system::error_code &Code) {
  const auto Endpoint = tcpEndpoint(Backend.Address.str());
  if (!Endpoint)
    co_return nullptr;
  asio::ip::tcp::socket Socket(Sweeper.io());
  Socket.open(Endpoint->protocol(), Code);
  if (Code)
    co_return nullptr;
  auto Link = std::make_unique<timed_socket>(Sweeper, std::move(Socket));
  limitUnacknowledged(Link->raw().native_handle(), Limits.UserTimeout);
  Link->expireAt(boot_clock::now() + Limits.ConnectTimeout);
  co_await Link->raw().async_connect(*Endpoint, asio::redirect_error(asio::use_awaitable, Code));
  if (Code || Link->expired())
    co_return nullptr;
  Link->expireNever();
  co_return Link;
}

asio::awaitable<backend_link> backend_links::open(const backend_key &Backend, link_age Age) {
  if (Age == link_age::Any)
    if (backend_link Kept = takeIdle(Backend))
      co_return Kept;
  boost::system::error_code Code;
  co_return co_await connect(Backend, Code);
}

asio::awaitable<bool> backend_links::refusesConnections(const backend_key &Backend) {
  boost::system::error_code Code;
  const backend_link Made = co_await connect(Backend, Code);
  co_return !Made && Code == asio::error::connection_refused;
}

void backend_links::giveBack(const backend_key &Backend, backend_link Link,
                             std::optional<std::chrono::milliseconds> IdleLimit) {
  const auto Limit = std::min(IdleLimit.value_or(Limits.BackendIdle), Limits.BackendIdle);
  Link->expireNever();
  std::deque<idle_link> &Links = Idle[Backend];
  if (Links.size() < MaxIdlePerBackend)
    Links.push_back({std::move(Link), boot_clock::now() + Limit});
}

void backend_links::closeIdle(mono_time Now) {
  for (auto At = Idle.begin(); At != Idle.end();) {
    std::deque<idle_link> &Links = At->second;
    std::erase_if(Links, [Now](const idle_link &Link) { return Link.Until <= Now; });
    At = Links.empty() ? Idle.erase(At) : std::next(At);
  }
}

std::size_t backend_links::idle() const {
  std::size_t Count = 0;
  for (const auto &[Backend, Links] : Idle)
    Count += Links.size();
  return Count;
}

} // namespace pollenstall

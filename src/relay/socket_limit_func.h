/** @file socket_limit_func.h Limits on how long the kernel retransmits. */
#ifndef POLLENSTALL_RELAY_SOCKET_LIMIT_FUNC_H
#define POLLENSTALL_RELAY_SOCKET_LIMIT_FUNC_H

#include <boost/asio/ip/tcp.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <chrono>

namespace pollenstall {

/// Limit for both connections of a tunnel: entries answer at once, so that a longer silence means
/// that the peer is gone.
constexpr std::chrono::milliseconds TunnelUserTimeout{2'000};

/// Limits how long sent bytes may stay unacknowledged. Without it, a connection to an unreachable
/// peer stays open for as long as the kernel retransmits.
inline void limitUnacknowledged(boost::asio::ip::tcp::socket &Socket,
                                std::chrono::milliseconds Limit) {
  using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code Ignored;
  Socket.set_option(user_timeout(static_cast<int>(Limit.count())), Ignored);
}

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_SOCKET_LIMIT_FUNC_H

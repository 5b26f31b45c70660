/** @file tcp_address_func.h Numeric addresses to endpoints and back. */
#ifndef POLLENSTALL_PEER_LINK_TCP_ADDRESS_FUNC_H
#define POLLENSTALL_PEER_LINK_TCP_ADDRESS_FUNC_H

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The endpoint that "IP:port" or "[IPv6]:port" names; nothing where it is neither.
std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view Text);

/// @return The same host with another port; the text itself where it is no address.
std::string withPort(const std::string &Address, std::uint16_t Port);

/// @return "IP:port" or "[IPv6]:port".
std::string toText(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace pollenstall

#endif // POLLENSTALL_PEER_LINK_TCP_ADDRESS_FUNC_H

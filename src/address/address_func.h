/** @file address_func.h Converts numeric addresses to endpoints and back. */
#ifndef POLLENSTALL_ADDRESS_ADDRESS_FUNC_H
#define POLLENSTALL_ADDRESS_ADDRESS_FUNC_H

#include "core/core.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenstall {

/// Parses "IP:port" or "[IPv6]:port". @return Nothing if the text is neither.
std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view Text);
std::optional<boost::asio::ip::udp::endpoint> udpEndpoint(std::string_view Text);

/// Sets the port of each address. @param Port 0 keeps the ports as they are.
/// @return The addresses; a text that is not an address stays unchanged.
std::vector<std::string> withPort(std::vector<std::string> Addresses, std::uint32_t Port);

/// @return "IP:port" or "[IPv6]:port".
std::string toText(const boost::asio::ip::tcp::endpoint &Endpoint);
std::string toText(const boost::asio::ip::udp::endpoint &Endpoint);

/// Opens the acceptor on "IP:port" and listens; for port 0 the kernel chooses a free port.
/// @return On failure the address and the reason, worded to end a sentence.
result<done, std::string> listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                                   std::string_view Address);

} // namespace pollenstall

#endif // POLLENSTALL_ADDRESS_ADDRESS_FUNC_H

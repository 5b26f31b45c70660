/** @file address_func.h Numeric addresses to endpoints and back. */
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

/// @return The endpoint that "IP:port" or "[IPv6]:port" names; nothing where it is neither.
std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view Text);
std::optional<boost::asio::ip::udp::endpoint> udpEndpoint(std::string_view Text);

/// @param Port Taken for all of them; 0 leaves each its own.
/// @return The same hosts; a text that is no address stays as it is.
std::vector<std::string> withPort(std::vector<std::string> Addresses, std::uint32_t Port);

/// @return "IP:port" or "[IPv6]:port".
std::string toText(const boost::asio::ip::tcp::endpoint &Endpoint);
std::string toText(const boost::asio::ip::udp::endpoint &Endpoint);

/// Opens the acceptor on "IP:port", where port 0 takes one from the kernel, and listens.
/// @return What went wrong, with the address, as a sentence's end.
result<done, std::string> listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                                   std::string_view Address);

} // namespace pollenstall

#endif // POLLENSTALL_ADDRESS_ADDRESS_FUNC_H

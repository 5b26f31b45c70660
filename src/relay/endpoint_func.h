/** @file endpoint_func.h Socket addresses from their text. */
#ifndef POLLENSTALL_RELAY_ENDPOINT_FUNC_H
#define POLLENSTALL_RELAY_ENDPOINT_FUNC_H

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The endpoint that "IP:port" or "[IPv6]:port" names, or nothing.
std::optional<boost::asio::ip::tcp::endpoint> endpointFromText(std::string_view Text);

/// @return "IP:port".
std::string toText(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ENDPOINT_FUNC_H

/** @file endpoint_func.h Turns "ip:port" into an endpoint and back. */
#ifndef POLLENSTALL_FAKE_BACKEND_ENDPOINT_FUNC_H
#define POLLENSTALL_FAKE_BACKEND_ENDPOINT_FUNC_H

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pollenstall {

/// @return The endpoint of "127.0.0.1:80" or "[::1]:80", or nothing.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Text);

/// @return The text that parseEndpoint() takes.
std::string endpointText(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ENDPOINT_FUNC_H

/** @file peer_endpoint_func.h "IP:port" texts and Asio's endpoints. */
#ifndef POLLENSTALL_GOSSIP_PEER_ENDPOINT_FUNC_H
#define POLLENSTALL_GOSSIP_PEER_ENDPOINT_FUNC_H

#include "membership/membership.h"

#include <boost/asio/ip/udp.hpp>

#include <optional>

namespace pollenstall {

/// @return The endpoint of "1.2.3.4:5" or "[::1]:5"; nothing for other forms: names are not looked
/// up.
std::optional<boost::asio::ip::udp::endpoint> endpointOf(const peer_address &Address);
/// @return The text of an endpoint.
peer_address addressOf(const boost::asio::ip::udp::endpoint &Endpoint);

} // namespace pollenstall

#endif // POLLENSTALL_GOSSIP_PEER_ENDPOINT_FUNC_H

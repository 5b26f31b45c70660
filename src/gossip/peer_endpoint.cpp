/** @file peer_endpoint.cpp "IP:port" texts and Asio's endpoints. */
#include "gossip/peer_endpoint_func.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace pollenstall {

std::optional<boost::asio::ip::udp::endpoint> endpointOf(const peer_address &Address) {
  const std::string &Text = Address.str();
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, PortError] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (PortError != std::errc{} || Stop != End)
    return std::nullopt;
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  const auto Parsed = boost::asio::ip::make_address(Host, Error);
  if (Error)
    return std::nullopt;
  return boost::asio::ip::udp::endpoint(Parsed, Port);
}

peer_address addressOf(const boost::asio::ip::udp::endpoint &Endpoint) {
  const std::string Host = Endpoint.address().to_string();
  const std::string Port = std::to_string(Endpoint.port());
  return peer_address(Endpoint.address().is_v6() ? "[" + Host + "]:" + Port : Host + ":" + Port);
}

} // namespace pollenstall

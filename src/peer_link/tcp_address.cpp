/** @file tcp_address.cpp Numeric addresses to endpoints and back. */
#include "peer_link/tcp_address_func.h"

#include <charconv>

namespace pollenstall {

std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view PortText = Text.substr(Colon + 1);
  if (Host.size() > 1 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  const auto Parsed = std::from_chars(PortText.data(), End, Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(std::string(Host), Error);
  if (Error)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Address, Port);
}

std::string withPort(const std::string &Address, std::uint16_t Port) {
  const auto Endpoint = tcpEndpoint(Address);
  return Endpoint ? toText({Endpoint->address(), Port}) : Address;
}

std::string toText(const boost::asio::ip::tcp::endpoint &Endpoint) {
  const std::string Host = Endpoint.address().to_string();
  const std::string Port = std::to_string(Endpoint.port());
  return Endpoint.address().is_v6() ? "[" + Host + "]:" + Port : Host + ":" + Port;
}

} // namespace pollenstall

/** @file endpoint.cpp "IP:port" and back. */
#include "relay/endpoint_func.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace pollenstall {

std::optional<boost::asio::ip::tcp::endpoint> endpointFromText(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Error] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Error != std::errc{} || End != PortText.data() + PortText.size())
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Code;
  const auto Address = boost::asio::ip::make_address(std::string(Host), Code);
  if (Code)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Address, Port);
}

std::string toText(const boost::asio::ip::tcp::endpoint &Endpoint) {
  const std::string Address = Endpoint.address().to_string();
  const std::string Port = std::to_string(Endpoint.port());
  return Endpoint.address().is_v6() ? "[" + Address + "]:" + Port : Address + ":" + Port;
}

} // namespace pollenstall

/** @file endpoint.cpp Addresses as texts. */
#include "fake_backend/endpoint_func.h"

#include <charconv>
#include <sstream>

namespace pollenstall {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Number = 0;
  const auto [End, Problem] = std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  if (Problem != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(std::string(Host), Error);
  if (Error)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Address, Number);
}

std::string endpointText(const boost::asio::ip::tcp::endpoint &Endpoint) {
  std::ostringstream Text;
  Text << Endpoint;
  return Text.str();
}

} // namespace pollenstall

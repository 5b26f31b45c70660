/** @file address.cpp Converts numeric addresses to endpoints and back. */
#include "address/address_func.h"

#include "core/core.h"

namespace pollenstall {

namespace ip = boost::asio::ip;

namespace {

template <typename Endpoint> std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() > 1 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  const auto Port = parseNumber<std::uint16_t>(Text.substr(Colon + 1));
  boost::system::error_code Error;
  const auto Address = ip::make_address(std::string(Host), Error);
  if (!Port || Error)
    return std::nullopt;
  return Endpoint(Address, *Port);
}

template <typename Endpoint> std::string formatEndpoint(const Endpoint &Value) {
  const std::string Host = Value.address().to_string();
  const std::string Port = std::to_string(Value.port());
  return Value.address().is_v6() ? "[" + Host + "]:" + Port : Host + ":" + Port;
}

} // namespace

std::optional<ip::tcp::endpoint> tcpEndpoint(std::string_view Text) {
  return parseEndpoint<ip::tcp::endpoint>(Text);
}

std::optional<ip::udp::endpoint> udpEndpoint(std::string_view Text) {
  return parseEndpoint<ip::udp::endpoint>(Text);
}

std::vector<std::string> withPort(std::vector<std::string> Addresses, std::uint32_t Port) {
  if (Port == 0)
    return Addresses;
  for (std::string &Address : Addresses)
    if (const auto Parsed = tcpEndpoint(Address))
      Address = toText(ip::tcp::endpoint(Parsed->address(), static_cast<std::uint16_t>(Port)));
  return Addresses;
}

std::string toText(const ip::tcp::endpoint &Endpoint) { return formatEndpoint(Endpoint); }
std::string toText(const ip::udp::endpoint &Endpoint) { return formatEndpoint(Endpoint); }

result<done, std::string> listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                                   std::string_view Address) {
  using boost::asio::ip::tcp;
  const auto Endpoint = tcpEndpoint(Address);
  if (!Endpoint)
    return "not an address: " + std::string(Address);
  boost::system::error_code Error;
  Acceptor.open(Endpoint->protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(*Endpoint, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  if (Error)
    return std::string(Address) + ": " + Error.message();
  return done{};
}

} // namespace pollenstall

/** @file raw_socket.cpp Sends and receives raw bytes over TCP. */
#include "support/raw_socket_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdlib>

namespace pollenstall {

using boost::asio::ip::tcp;

raw_socket::raw_socket(const std::string &Address, int ReceiveBytes,
                       std::chrono::milliseconds Limit)
    : Stream(Io), TimeLimit(Limit) {
  const auto Colon = Address.rfind(':');
  boost::system::error_code Error;
  const auto Host = boost::asio::ip::make_address(Address.substr(0, Colon), Error);
  const tcp::endpoint Peer(
      Host, static_cast<std::uint16_t>(std::strtoul(Address.c_str() + Colon + 1, nullptr, 10)));
  Stream.socket().open(Peer.protocol(), Error);
  if (ReceiveBytes > 0)
    Stream.socket().set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBytes), Error);
  Stream.expires_after(TimeLimit);
  Stream.async_connect(Peer, [this](boost::system::error_code Result) { Connected = !Result; });
  Io.run();
}

bool raw_socket::send(const std::string &Bytes) {
  bool Sent = false;
  Stream.expires_after(TimeLimit);
  boost::asio::async_write(
      Stream, boost::asio::buffer(Bytes),
      [&Sent](boost::system::error_code Result, std::size_t) { Sent = !Result; });
  Io.restart();
  Io.run();
  return Sent;
}

std::string raw_socket::receiveUntil(const std::string &Marker) {
  std::string Text;
  std::array<char, 4096> Bytes{};
  boost::system::error_code Error;
  Stream.expires_after(TimeLimit);
  while (!Error && (Marker.empty() || Text.find(Marker) == std::string::npos)) {
    Stream.async_read_some(boost::asio::buffer(Bytes),
                           [&](boost::system::error_code Result, std::size_t Count) {
                             Error = Result;
                             Text.append(Bytes.data(), Count);
                           });
    Io.restart();
    Io.run();
  }
  PeerClosed = Error && Error != boost::beast::error::timeout;
  return Text;
}

void raw_socket::close() { Stream.close(); }

} // namespace pollenstall

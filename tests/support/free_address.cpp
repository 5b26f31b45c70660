/** @file free_address.cpp Ports by the kernel, on an address of this process's own. */
#include "support/free_address_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <unistd.h>

namespace pollenstall {

namespace ip = boost::asio::ip;

namespace {

ip::address_v4 ownLoopback() {
  // A port that the kernel gave and that is free again until its process binds it is soon given to
  // another test's process. On an address of its own nobody else asks for one.
  constexpr unsigned First = 0x7f400000; // 127.64.0.0
  constexpr unsigned Pids = (1U << 22U) - 1;
  return ip::address_v4(First + (static_cast<unsigned>(getpid()) & Pids));
}

template <typename Holder> std::vector<std::string> freeAddresses(std::size_t Count) {
  boost::asio::io_context Io;
  std::vector<Holder> Held; // all at once, so that they differ
  std::vector<std::string> Addresses;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Held.emplace_back(Io, typename Holder::endpoint_type(ownLoopback(), 0));
    Addresses.push_back(ownLoopback().to_string() + ":" +
                        std::to_string(Held.back().local_endpoint().port()));
  }
  return Addresses;
}

} // namespace

std::vector<std::string> freeTcpAddresses(std::size_t Count) {
  return freeAddresses<ip::tcp::acceptor>(Count);
}

std::vector<std::string> freeUdpAddresses(std::size_t Count) {
  return freeAddresses<ip::udp::socket>(Count);
}

} // namespace pollenstall

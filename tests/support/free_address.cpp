/** @file free_address.cpp Finds free ports on a loopback address of this process. */
#include "support/free_address_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <unistd.h>

namespace pollenstall {

namespace ip = boost::asio::ip;

namespace {

ip::address_v4 ownLoopback() {
  // Between the allocation of a port and its use by a child process, the kernel may give the port
  // to another test. On a separate loopback address per process no other test allocates ports.
  constexpr unsigned First = 0x7f400000; // 127.64.0.0
  constexpr unsigned Pids = (1U << 22U) - 1;
  return ip::address_v4(First + (static_cast<unsigned>(getpid()) & Pids));
}

template <typename Holder> std::vector<std::string> freeAddresses(std::size_t Count) {
  boost::asio::io_context Io;
  std::vector<Holder> Held; // kept open together, so that the ports differ
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

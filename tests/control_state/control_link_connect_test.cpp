/** @file control_link_connect_test.cpp How an entry finds a control host while others are gone. */
#include "control_link/control_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <thread>
#include <vector>

namespace pollenstall {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// Says nothing to whoever connects, as a host without power: its queue of connections is full.
class silent_host {
public:
  silent_host() : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0), false) {
    Acceptor.listen(0);
    constexpr int MoreThanItTakes = 4;
    for (int Count = 0; Count < MoreThanItTakes; ++Count) {
      Fillers.emplace_back(Io);
      Fillers.back().async_connect(Acceptor.local_endpoint(), [](boost::system::error_code) {});
    }
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::vector<tcp::socket> Fillers;
};

// The first control host has lost its power: nothing answers there, not even with a refusal. The
// entry must not wait for it as long as for the answer of one that it has reached: until it finds
// the leader it serves nobody.
TEST(AControlLink, SoonLeavesAHostThatCannotBeReached) {
  const silent_host Silent;
  asio::io_context Io;
  tcp::acceptor Reachable(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto Link =
      control_link_builder(
          {Silent.address(), "127.0.0.1:" + std::to_string(Reachable.local_endpoint().port())},
          "fleet")
          .process({host_name("entry"), incarnation(1)}, failure_domain_name("d"))
          .answerWithin(60s)
          .start();
  bool Reached = false;
  Reachable.async_accept(
      [&Reached](boost::system::error_code Code, const tcp::socket &) { Reached = !Code; });
  Io.run_for(20s);
  EXPECT_TRUE(Reached);
}

} // namespace
} // namespace pollenstall

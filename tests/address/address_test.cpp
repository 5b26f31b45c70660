/** @file address_test.cpp Numeric addresses to endpoints and back. */
#include "address/address.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

TEST(AnAddress, IsTheSameTextAgain) {
  for (const char *Text : {"127.0.0.1:80", "10.1.0.9:0", "[::1]:65535"}) {
    const auto Tcp = tcpEndpoint(Text);
    const auto Udp = udpEndpoint(Text);
    ASSERT_TRUE(Tcp && Udp) << Text;
    EXPECT_EQ(toText(*Tcp), Text);
    EXPECT_EQ(toText(*Udp), Text);
  }
}

TEST(AnAddress, ThatIsNoneIsRefused) {
  for (const char *Text : {"", ":", "80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                           "127.0.0.1:8x", "127.0.0.1:-1", "host:80", "[]:80", "[::1:80", ":80"}) {
    EXPECT_FALSE(tcpEndpoint(Text)) << Text;
    EXPECT_FALSE(udpEndpoint(Text)) << Text;
  }
}

TEST(AListOfAddresses, GetsOnePort) {
  const std::vector<std::string> Hosts{"10.0.0.1:1", "[::1]:2", "none"};
  EXPECT_EQ(withPort(Hosts, 7400),
            (std::vector<std::string>{"10.0.0.1:7400", "[::1]:7400", "none"}));
  EXPECT_EQ(withPort(Hosts, 0), Hosts) << "0 leaves each its own";
}

TEST(AnAcceptor, ListensWhereItIsToldAndSaysWhyItCannot) {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor First(Io);
  ASSERT_TRUE(succeeded(listenOn(First, "127.0.0.1:0")));
  const std::string Taken = toText(First.local_endpoint());
  boost::asio::ip::tcp::acceptor Second(Io);
  const auto Refused = listenOn(Second, Taken);
  ASSERT_FALSE(succeeded(Refused));
  EXPECT_EQ(errorOf(Refused).rfind(Taken + ": ", 0), 0U) << errorOf(Refused);
  boost::asio::ip::tcp::acceptor Third(Io);
  const auto Nowhere = listenOn(Third, "host:80");
  ASSERT_FALSE(succeeded(Nowhere));
  EXPECT_EQ(errorOf(Nowhere), "not an address: host:80");
}

} // namespace
} // namespace pollenstall

/** @file address_test.cpp Tests of address parsing, formatting and listening. */
#include "address/address.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

TEST(Address, FormatsAsParsed) {
  for (const char *Text : {"127.0.0.1:80", "10.1.0.9:0", "[::1]:65535"}) {
    const auto Tcp = tcpEndpoint(Text);
    const auto Udp = udpEndpoint(Text);
    ASSERT_TRUE(Tcp && Udp) << Text;
    EXPECT_EQ(toText(*Tcp), Text);
    EXPECT_EQ(toText(*Udp), Text);
  }
}

TEST(Address, RejectsInvalidText) {
  for (const char *Text : {"", ":", "80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                           "127.0.0.1:8x", "127.0.0.1:-1", "host:80", "[]:80", "[::1:80", ":80"}) {
    EXPECT_FALSE(tcpEndpoint(Text)) << Text;
    EXPECT_FALSE(udpEndpoint(Text)) << Text;
  }
}

TEST(AddressList, ReplacesPorts) {
  const std::vector<std::string> Hosts{"10.0.0.1:1", "[::1]:2", "none"};
  EXPECT_EQ(withPort(Hosts, 7400),
            (std::vector<std::string>{"10.0.0.1:7400", "[::1]:7400", "none"}));
  EXPECT_EQ(withPort(Hosts, 0), Hosts) << "port 0 keeps the ports";
}

TEST(ListenOn, BindsAddressAndReportsErrors) {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor First(Io);
  ASSERT_TRUE(succeeded(listenOn(First, "127.0.0.1:0")));
  const std::string UsedAddress = toText(First.local_endpoint());
  boost::asio::ip::tcp::acceptor Second(Io);
  const auto InUseResult = listenOn(Second, UsedAddress);
  ASSERT_FALSE(succeeded(InUseResult));
  EXPECT_EQ(errorOf(InUseResult).rfind(UsedAddress + ": ", 0), 0U) << errorOf(InUseResult);
  boost::asio::ip::tcp::acceptor Third(Io);
  const auto InvalidResult = listenOn(Third, "host:80");
  ASSERT_FALSE(succeeded(InvalidResult));
  EXPECT_EQ(errorOf(InvalidResult), "not an address: host:80");
}

} // namespace
} // namespace pollenstall

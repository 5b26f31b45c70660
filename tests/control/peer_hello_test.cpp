/** @file peer_hello_test.cpp The failure domain in the first message between control hosts. */
#include "peer_link/peer_codec_func.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

const std::string Fleet = "test-fleet";

/// A hello as builds without failure domains write and read it.
struct hello_without_domain {
  member_id Member;
  peer_addresses Addresses;
  std::vector<known_peer> KnownPeers;

  template <typename Archive> void serialize(Archive &Into) { Into(Member, Addresses, KnownPeers); }
};

const peer_addresses OwnAddresses{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"};
const known_peer OtherPeer{member_id(8), {"127.0.0.2:1", "127.0.0.2:2", "127.0.0.2:3"}};

template <typename Written, typename Read> Read readAs(const Written &Hello) {
  const auto Decoded = decodePlain<Read>(std::span<const char>(encodePlain(Hello)));
  EXPECT_TRUE(succeeded(Decoded));
  return succeeded(Decoded) ? valueOf(Decoded) : Read{};
}

TEST(PeerHello, CarriesTheFailureDomain) {
  for (const auto &KnownPeers : {std::vector<known_peer>{}, std::vector<known_peer>{OtherPeer}}) {
    const peer_hello Hello{member_id(7), OwnAddresses, KnownPeers, failure_domain_name("a")};
    const auto Read = readAs<peer_hello, peer_hello>(Hello);
    EXPECT_EQ(Read.Domain, Hello.Domain);
    EXPECT_EQ(Read.KnownPeers, KnownPeers);
    EXPECT_EQ(Read.Addresses, OwnAddresses);
  }
}

// While hosts are updated one after the other, an earlier build must read the hello. It would close
// the connection otherwise, and the log would lose its majority.
TEST(PeerHello, IsReadByBuildsWithoutFailureDomains) {
  const peer_hello Hello{member_id(7), OwnAddresses, {OtherPeer}, failure_domain_name("a")};
  const auto Read = readAs<peer_hello, hello_without_domain>(Hello);
  EXPECT_EQ(Read.Member, Hello.Member);
  EXPECT_EQ(Read.Addresses, OwnAddresses);
  ASSERT_EQ(Read.KnownPeers.size(), 2U);
  EXPECT_EQ(Read.KnownPeers[0], OtherPeer);
  EXPECT_EQ(Read.KnownPeers[1].first, Hello.Member) << "ignored as what is said of the sender";
}

TEST(PeerHello, OfABuildWithoutFailureDomainsHasNone) {
  const hello_without_domain Hello{member_id(7), OwnAddresses, {OtherPeer}};
  const auto Read = readAs<hello_without_domain, peer_hello>(Hello);
  EXPECT_TRUE(Read.Domain.empty());
  EXPECT_EQ(Read.KnownPeers, Hello.KnownPeers);
}

} // namespace
} // namespace pollenstall

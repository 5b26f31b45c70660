/** @file tunnel_peers_test.cpp Which peers carry connections, for 3 to 320 entries. */
#include "path/path.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

const mono_time Start{std::chrono::hours(1)};

std::string addressOf(std::size_t Number) {
  return "10.0." + std::to_string(Number / 200) + "." + std::to_string(Number % 200 + 1) + ":7000";
}

std::vector<tunnel_peer> entries(std::size_t Count, std::size_t Domains) {
  std::vector<tunnel_peer> All;
  for (std::size_t Number = 0; Number < Count; ++Number)
    All.push_back({addressOf(Number), failure_domain_name(std::to_string(Number % Domains))});
  return All;
}

/// Entry 0, in domain "0", among the given entries.
tunnel_peers peersOfFirst(std::size_t Count, std::size_t Domains) {
  tunnel_peers Peers(addressOf(0), failure_domain_name("0"), 42);
  Peers.setEntries(entries(Count, Domains));
  return Peers;
}

TEST(PeersOfAnEntry, AreNotItself) {
  tunnel_peers Peers = peersOfFirst(1, 1);
  EXPECT_FALSE(Peers.choose({}, Start));
}

// Bytes between failure domains cost more.
TEST(PeersOfAnEntry, AreOfItsDomainIfOneMayCarry) {
  tunnel_peers Peers = peersOfFirst(6, 2);
  for (int Round = 0; Round < 50; ++Round) {
    const auto Peer = Peers.choose({}, Start);
    EXPECT_TRUE(Peer == addressOf(2) || Peer == addressOf(4));
  }
  const auto Other = Peers.choose({addressOf(2), addressOf(4)}, Start);
  ASSERT_TRUE(Other);
  EXPECT_TRUE(*Other == addressOf(1) || *Other == addressOf(3) || *Other == addressOf(5));
}

TEST(PeerThatFailed, IsPassedOverForATimeThatDoubles) {
  tunnel_peers Peers = peersOfFirst(2, 1);
  const std::string Peer = addressOf(1);
  Peers.recordFailure(Peer, tunnel_failure::NoDirectPath, Start);
  EXPECT_FALSE(Peers.choose({}, Start + milliseconds(499)));
  EXPECT_TRUE(Peers.choose({}, Start + milliseconds(500)));
  Peers.recordFailure(Peer, tunnel_failure::NoDirectPath, Start + milliseconds(500));
  EXPECT_FALSE(Peers.choose({}, Start + milliseconds(1499)));
  Peers.recordSuccess(Peer);
  Peers.recordFailure(Peer, tunnel_failure::Busy, Start + milliseconds(2000));
  EXPECT_TRUE(Peers.choose({}, Start + milliseconds(2500)));
}

// A server that ended is refused to every peer; none of them is to blame.
TEST(PeerThatWasRefused, IsNotPassedOver) {
  tunnel_peers Peers = peersOfFirst(2, 1);
  Peers.recordFailure(addressOf(1), tunnel_failure::ServerDown, Start);
  EXPECT_TRUE(Peers.choose({}, Start));
}

TEST(PeerThatIsListedAgain, KeepsItsPause) {
  tunnel_peers Peers = peersOfFirst(3, 1);
  Peers.recordFailure(addressOf(1), tunnel_failure::PeerUnreachable, Start);
  Peers.setEntries(entries(3, 1));
  for (int Round = 0; Round < 20; ++Round)
    EXPECT_EQ(Peers.choose({}, Start), addressOf(2));
}

class entries_of_which_most_are_cut_off : public testing::TestWithParam<std::size_t> {};

// All entries but a tenth are cut off. Connections find the peers that are not, and spread over
// them.
TEST_P(entries_of_which_most_are_cut_off, ShareTheOthersEvenly) {
  const std::size_t Count = GetParam();
  const std::size_t Reaching = std::max<std::size_t>(2, Count / 10);
  tunnel_peers Peers = peersOfFirst(Count, 3);
  std::map<std::string, int> Carried;
  mono_time Now = Start;
  std::size_t Asked = 0;
  constexpr int Connections = 2'000;
  for (int Number = 0; Number < Connections; ++Number) {
    Now += milliseconds(5);
    std::vector<std::string> Tried;
    while (const auto Peer = Peers.choose(Tried, Now)) {
      ++Asked;
      Tried.push_back(*Peer);
      bool Reaches = false;
      for (std::size_t Index = Count - Reaching; Index < Count; ++Index)
        Reaches = Reaches || *Peer == addressOf(Index);
      if (!Reaches) {
        Peers.recordFailure(*Peer, tunnel_failure::NoDirectPath, Now);
        continue;
      }
      Peers.recordSuccess(*Peer);
      ++Carried[*Peer];
      break;
    }
  }
  // A peer that does not reach the servers is asked about once in eight seconds.
  EXPECT_LE(Asked, Connections + Count * 7);
  int Total = 0;
  int Most = 0;
  for (const auto &[Peer, Times] : Carried) {
    Total += Times;
    Most = std::max(Most, Times);
  }
  EXPECT_EQ(Total, Connections);
  // Those of the own domain, a third of the reaching ones at least, carry alike.
  const std::size_t Near = std::max<std::size_t>(1, Reaching / 3);
  EXPECT_LE(Most, 2 * Connections / static_cast<int>(Near));
}

INSTANTIATE_TEST_SUITE_P(Sizes, entries_of_which_most_are_cut_off,
                         testing::Values(3, 7, 58, 195, 320));

} // namespace
} // namespace pollenstall

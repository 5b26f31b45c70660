/** @file large_change_test.cpp Large changes with many entries on one shared link.
 *
 * Guards against large texts that saturate the leader's link. A change of 1,400 routes was followed
 * by another one. The leader sent the second text, 0.88 MB, to 59 entries at once over 170 Mbit/s,
 * which takes 2.5 s. Each entry waited 0.9 s for a complete message, closed the connection in the
 * middle of one and received it again from its first byte. Texts delayed heartbeats, and followers
 * elected new leaders, which started over. Every entry refused requests for 24 s, until another
 * leader change. Symptoms: "control_lost" 40 to 59 times a second, 16 to 23 MB/s sent, no
 * "declaration_in_use".
 */
#include "control_codec_func.h"
#include "simulated_fleet.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

/// Shortest time without a heartbeat after which followers start an election.
constexpr milliseconds LeastElection{300};

std::string textOf(std::size_t Routes) { return declarationOfRoutes(Routes); }

simulated_fleet_options optionsFor(std::size_t Entries) {
  simulated_fleet_options Options;
  Options.Entries = Entries;
  Options.Leases.Lease = milliseconds(3500);
  Options.Leases.ApplyWithin = milliseconds(2500);
  return Options;
}

class LargeChangeTest : public testing::Test {
protected:
  /// Lets entries receive a declaration of 240 routes and renew for some seconds.
  void settle(simulated_fleet &Fleet) const {
    Fleet.runFor(milliseconds(500));
    Fleet.change(textOf(240));
    Fleet.runFor(milliseconds(5000));
  }

  static void expectInUseWithin(const simulated_fleet &Fleet, revision Change, milliseconds Limit) {
    const auto Took = Fleet.timeToAllEntries(Change);
    ASSERT_TRUE(Took) << "an entry never used revision " << Change.value();
    EXPECT_LT(*Took, Limit) << "revision " << Change.value();
  }

  static void expectStable(const simulated_fleet &Fleet) {
    EXPECT_EQ(Fleet.lostConnections(), 0U) << "entries closed connections that were receiving";
    EXPECT_LT(Fleet.longestHeartbeatGap(), LeastElection) << "followers start an election";
    EXPECT_EQ(Fleet.staleSamples(), 0U);
  }
};

TEST_F(LargeChangeTest, IsInUseEverywhereWithinASecond) {
  simulated_fleet Fleet(optionsFor(59));
  settle(Fleet);
  const revision Large = Fleet.change(textOf(1640));
  Fleet.runFor(milliseconds(5000));
  expectInUseWithin(Fleet, Large, milliseconds(1000));
  expectStable(Fleet);
}

TEST_F(LargeChangeTest, IsFollowedByAnotherImmediately) {
  simulated_fleet Fleet(optionsFor(59));
  settle(Fleet);
  const revision First = Fleet.change(textOf(1640));
  Fleet.runFor(milliseconds(500));
  const revision Second = Fleet.change(textOf(3040));
  Fleet.runFor(milliseconds(6000));
  expectInUseWithin(Fleet, First, milliseconds(1000));
  expectInUseWithin(Fleet, Second, milliseconds(1000));
  expectStable(Fleet);
}

// Small changes to a large declaration in quick succession: the complete text is sent once.
TEST_F(LargeChangeTest, IsFollowedByManySmallOnes) {
  simulated_fleet Fleet(optionsFor(59));
  settle(Fleet);
  Fleet.change(textOf(3040));
  Fleet.runFor(milliseconds(4000));
  const std::uint64_t Before = Fleet.bytesSent();
  revision Last;
  constexpr int Changes = 25;
  for (int Count = 0; Count < Changes; ++Count) {
    std::string Text = textOf(3040);
    Text.replace(Text.find("10000"), 5, std::to_string(20000 + Count));
    Last = Fleet.change(Text);
    Fleet.runFor(milliseconds(80));
  }
  Fleet.runFor(milliseconds(4000));
  expectInUseWithin(Fleet, Last, milliseconds(1000));
  // The log sends each change once per follower; entries never need these texts complete.
  const std::uint64_t OneTextToAll = std::uint64_t{59} * textOf(3040).size();
  EXPECT_LT(Fleet.bytesSent() - Before, OneTextToAll);
  expectStable(Fleet);
}

// A partitioned entry holds a lease for the old declaration. The change is acknowledged only once
// that lease ends within the promised time.
TEST_F(LargeChangeTest, IsAcknowledgedInTimeForAnEntryThatCannotBeReached) {
  simulated_fleet Fleet(optionsFor(59));
  settle(Fleet);
  Fleet.partition(7);
  const revision Large = Fleet.change(textOf(1640));
  Fleet.runFor(milliseconds(8000));
  ASSERT_TRUE(Fleet.progress(Large).Acknowledged);
  EXPECT_EQ(Fleet.staleSamples(), 0U);
  EXPECT_LT(*Fleet.progress(Large).Acknowledged - *Fleet.progress(Large).Accepted,
            milliseconds(3500 * 104 / 100 - 2500 + 20));
}

// The design size: at the same rates, every entry uses the change within the promised time.
TEST_F(LargeChangeTest, ReachesAFleetOf320EntriesWithinTheLimit) {
  simulated_fleet Fleet(optionsFor(320));
  settle(Fleet);
  const revision Large = Fleet.change(textOf(1640));
  Fleet.runFor(milliseconds(6000));
  expectInUseWithin(Fleet, Large, milliseconds(2500));
  expectStable(Fleet);
}

// The cost of one more route does not grow with the number of existing routes.
TEST_F(LargeChangeTest, OfOneRouteCostsTheSameForAnyNumberOfRoutes) {
  const auto BytesForOneMore = [this](std::size_t Routes) {
    simulated_fleet Fleet(optionsFor(20));
    settle(Fleet);
    Fleet.change(textOf(Routes));
    Fleet.runFor(milliseconds(4000));
    const std::uint64_t Calm = Fleet.bytesSent();
    Fleet.runFor(milliseconds(2000));
    const std::uint64_t Before = Fleet.bytesSent();
    const revision OneMore = Fleet.change(textOf(Routes + 1));
    Fleet.runFor(milliseconds(2000));
    EXPECT_TRUE(Fleet.timeToAllEntries(OneMore));
    // Subtracts renewals and heartbeats, and the log's copies for followers, which do grow with the
    // declaration.
    const offer_declaration Offer{OneMore, textOf(Routes + 1), unix_millis(0)};
    const std::uint64_t Log = 4 * encodeCommand(Offer).size();
    return Fleet.bytesSent() - Before - (Before - Calm) - Log;
  };
  EXPECT_LT(BytesForOneMore(3000), 2 * BytesForOneMore(300));
}

class ListOfBackendsTest : public LargeChangeTest {
protected:
  /// All entries connect within a moment, as after the loss of all processes.
  static simulated_fleet_options optionsWith(std::size_t Entries, std::size_t Backends) {
    simulated_fleet_options Options = optionsFor(Entries);
    Options.Backends = Backends;
    return Options;
  }
};

TEST_F(ListOfBackendsTest, ReachesAUsualFleetAtOnce) {
  simulated_fleet Fleet(optionsWith(58, 81));
  Fleet.runFor(milliseconds(1000));
  ASSERT_TRUE(Fleet.timeToAllBackends());
  EXPECT_LT(*Fleet.timeToAllBackends(), milliseconds(200));
  expectStable(Fleet);
}

// Guards against lists that saturate the leader's link: 300 entries that connect together receive
// 3,000 listings each, 90 MB in all. When each list was one message, some entries knew no backend
// server after 12 s.
TEST_F(ListOfBackendsTest, DelaysNoHeartbeatInALargeFleet) {
  simulated_fleet Fleet(optionsWith(300, 3000));
  Fleet.runFor(milliseconds(12'000));
  ASSERT_TRUE(Fleet.timeToFirstBackend());
  EXPECT_LT(*Fleet.timeToFirstBackend(), milliseconds(1000));
  EXPECT_TRUE(Fleet.timeToAllBackends());
  expectStable(Fleet);
}

} // namespace
} // namespace pollenstall

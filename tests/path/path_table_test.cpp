/** @file path_table_test.cpp Which connections need a tunnel, as the network changes. */
#include "path/path.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

backend_key keyOf(int Number) {
  return {backend_address("10.0.0." + std::to_string(Number) + ":80"),
          incarnation(static_cast<std::uint64_t>(Number))};
}

struct path_table_of_one_service : testing::Test {
  path_table_of_one_service() {
    for (int Number = 1; Number <= 4; ++Number)
      Table.addServer(
          {keyOf(Number), service_name("svc"), failure_domain_name(Number <= 2 ? "near" : "far")});
  }

  mono_time at(int Millis) const { return Start + milliseconds(Millis); }

  const mono_time Start{std::chrono::hours(1)};
  path_tuning Tuning;
  path_table Table;
};

TEST_F(path_table_of_one_service, ConnectsDirectlyAtFirst) {
  EXPECT_EQ(Table.planFor(keyOf(1), at(0)), path_plan::Direct);
  EXPECT_EQ(Table.planFor(keyOf(99), at(0)), path_plan::Direct) << "an unknown server";
}

// Behind a cut, an open connection accepts a request and stays silent.
TEST_F(path_table_of_one_service, ReusesConnectionsOnlyWhileTheirGroupIsHeard) {
  EXPECT_FALSE(Table.mayReuse(keyOf(1), at(0)));
  Table.recordDirect(keyOf(2), at(0));
  EXPECT_TRUE(Table.mayReuse(keyOf(1), at(250))) << "same service and domain";
  EXPECT_FALSE(Table.mayReuse(keyOf(3), at(250))) << "another domain";
  EXPECT_FALSE(Table.mayReuse(keyOf(1), at(251)));
  *Table.lastHeard(keyOf(1)) = at(300);
  EXPECT_TRUE(Table.mayReuse(keyOf(2), at(400)));
  EXPECT_TRUE(Table.mayReuse(keyOf(99), at(400))) << "an unknown server has no group";
}

struct a_server_behind_a_cut : path_table_of_one_service {
  a_server_behind_a_cut() { EXPECT_TRUE(Table.recordTunnel(keyOf(1), at(0))); }
};

TEST_F(a_server_behind_a_cut, IsReachedThroughATunnelUntilTheDirectPathIsTriedAgain) {
  EXPECT_EQ(Table.planFor(keyOf(1), at(499)), path_plan::Tunnel);
  EXPECT_EQ(Table.planFor(keyOf(1), at(500)), path_plan::Both);
  EXPECT_EQ(Table.detours(), 1U);
}

// The cut has healed, but each tunnel that is opened puts the next check off.
TEST_F(a_server_behind_a_cut, IsTriedDirectlyAgainHoweverManyTunnelsAreOpened) {
  for (int Millis = 50; Millis < 500; Millis += 50)
    Table.recordTunnel(keyOf(1), at(Millis));
  EXPECT_EQ(Table.planFor(keyOf(1), at(500)), path_plan::Both);
}

TEST_F(a_server_behind_a_cut, StaysADetourWhileTunnelsWin) {
  EXPECT_FALSE(Table.recordTunnel(keyOf(1), at(510))) << "it began before";
  EXPECT_EQ(Table.planFor(keyOf(1), at(600)), path_plan::Tunnel);
}

TEST_F(a_server_behind_a_cut, IsDirectAgainAfterADirectConnection) {
  EXPECT_TRUE(Table.recordDirect(keyOf(1), at(510)));
  EXPECT_EQ(Table.planFor(keyOf(1), at(511)), path_plan::Direct);
  EXPECT_EQ(Table.detours(), 0U);
}

// An entry that connects seldom waited for the hedge delay at each further server, as long as the
// cut lasted.
TEST_F(a_server_behind_a_cut, LetsItsSilentGroupBeTriedBothWaysAsLongAsTheCutLasts) {
  EXPECT_EQ(Table.planFor(keyOf(2), at(5'000)), path_plan::Both);
  EXPECT_EQ(Table.planFor(keyOf(3), at(5'000)), path_plan::Direct) << "another failure domain";
  EXPECT_TRUE(Table.recordDirect(keyOf(1), at(5'100)));
  EXPECT_EQ(Table.planFor(keyOf(2), at(9'000)), path_plan::Direct) << "the cut has healed";
}

// A peer behind the same cut kept other entries waiting at each server that it had not tried
// itself.
TEST_F(a_server_behind_a_cut, LetsNoServerOfItsSilentGroupBeCarriedForOthers) {
  EXPECT_FALSE(Table.mayCarry(keyOf(1), at(5'000)));
  EXPECT_FALSE(Table.mayCarry(keyOf(2), at(5'000)));
  EXPECT_TRUE(Table.mayCarry(keyOf(3), at(5'000))) << "another failure domain";
  Table.recordDirect(keyOf(2), at(5'100));
  EXPECT_TRUE(Table.mayCarry(keyOf(2), at(9'000)));
  EXPECT_FALSE(Table.mayCarry(keyOf(1), at(9'000)));
}

// A single server that is cut off must not cost its group a tunnel for each connection.
TEST_F(a_server_behind_a_cut, LeavesItsGroupDirectOnceAnotherServerOfItWasReached) {
  Table.recordDirect(keyOf(2), at(1'000));
  EXPECT_EQ(Table.planFor(keyOf(2), at(9'000)), path_plan::Direct);
  EXPECT_EQ(Table.planFor(keyOf(1), at(9'000)), path_plan::Both) << "its own check";
}

// The first connection to each further server would otherwise wait for the hedge delay.
TEST_F(a_server_behind_a_cut, LetsOtherSilentServersBeTriedBothWaysAtOnce) {
  EXPECT_EQ(Table.planFor(keyOf(3), at(100)), path_plan::Both);
  Table.recordDirect(keyOf(3), at(110));
  EXPECT_EQ(Table.planFor(keyOf(4), at(120)), path_plan::Direct) << "its group is heard";
}

TEST_F(a_server_behind_a_cut, IsForgottenWithItsServer) {
  Table.removeServer(keyOf(1));
  EXPECT_EQ(Table.detours(), 0U);
  EXPECT_FALSE(Table.hasServerAt(keyOf(1).Address));
}

TEST_F(path_table_of_one_service, HearsAServiceThroughAnyOfItsDomains) {
  EXPECT_FALSE(Table.hearsService(keyOf(1), at(0)));
  Table.recordDirect(keyOf(3), at(0));
  EXPECT_TRUE(Table.hearsService(keyOf(1), at(499)));
  EXPECT_FALSE(Table.hearsService(keyOf(1), at(500)));
}

TEST_F(path_table_of_one_service, KeepsTheNewerOfTwoServersAtOneAddress) {
  const backend_key Newer{keyOf(1).Address, incarnation(77)};
  Table.addServer({Newer, service_name("svc"), failure_domain_name("near")});
  Table.removeServer(keyOf(1));
  ASSERT_TRUE(Table.hasServerAt(Newer.Address));
  EXPECT_EQ(Table.serverAt(Newer.Address), Newer);
}

// Any order of connections, tunnels, arrivals and ends: the count of detours is that of the servers
// that need one, and a server that connected directly last needs none.
TEST(AnyHistory, KeepsTheCountOfDetours) {
  EXPECT_TRUE(rc::check([] {
    path_table Table;
    std::map<backend_key, bool> Detoured;
    mono_time Now{std::chrono::hours(1)};
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 6)));
    for (const auto &[Kind, Number] : Steps) {
      Now += milliseconds(*rc::gen::inRange(0, 400));
      const backend_key Key = keyOf(Number);
      const bool Known = Detoured.contains(Key);
      if (Kind == 0) {
        Table.addServer({Key, service_name("svc"), failure_domain_name("d")});
        Detoured.try_emplace(Key, false);
      } else if (Kind == 1) {
        Table.removeServer(Key);
        Detoured.erase(Key);
      } else if (Kind == 2) {
        RC_ASSERT(Table.recordDirect(Key, Now) == (Known && Detoured.at(Key)));
        if (Known)
          Detoured[Key] = false;
      } else {
        RC_ASSERT(Table.recordTunnel(Key, Now) == (Known && !Detoured.at(Key)));
        if (Known)
          Detoured[Key] = true;
      }
    }
    const auto Count = std::count_if(Detoured.begin(), Detoured.end(),
                                     [](const auto &Entry) { return Entry.second; });
    RC_ASSERT(Table.detours() == static_cast<std::size_t>(Count));
  }));
}

} // namespace
} // namespace pollenstall

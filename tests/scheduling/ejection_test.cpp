/** @file ejection_test.cpp Slow and failing servers are set aside, within a cap, and come back. */
#include "scheduling/scheduling.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

class AGroupOfTenServersTest : public ::testing::Test {
protected:
  AGroupOfTenServersTest() {
    for (int Number = 0; Number < 10; ++Number)
      Group.push_back({{backend_address("e" + std::to_string(Number)), incarnation(1)}, 100, 10});
  }
  void failThrice(std::size_t Number) {
    for (int Time = 0; Time < 3; ++Time)
      Ejection.observe(Group[Number].Backend, true, Now);
  }
  ejection_state state(std::size_t Number) const { return Ejection.state(Group[Number].Backend); }

  ejection Ejection;
  std::vector<peer_speed> Group;
  mono_time Now{1000s};
};

TEST_F(AGroupOfTenServersTest, SetsAsideTheOneThatFailsAndTheOneFarSlowerThanItsPeers) {
  failThrice(2);
  Group[5].Rate = 20;
  Ejection.review(Group, 30, Now);
  EXPECT_EQ(state(2), ejection_state::Ejected);
  EXPECT_EQ(state(5), ejection_state::Ejected);
  EXPECT_EQ(state(0), ejection_state::Admitted);
}

// The caller sees most of the fleet answer although this host's own network drops every second
// connection. Each server seems to fail; setting all aside would refuse every request, so the cap
// keeps the rest in work.
TEST_F(AGroupOfTenServersTest, NeverSetsAsideMoreThanTheCap) {
  for (std::size_t Number = 0; Number < Group.size(); ++Number)
    failThrice(Number);
  Ejection.review(Group, 30, Now);
  std::size_t Aside = 0;
  for (std::size_t Number = 0; Number < Group.size(); ++Number)
    Aside += state(Number) == ejection_state::Ejected ? 1 : 0;
  EXPECT_EQ(Aside, 3U);
}

TEST_F(AGroupOfTenServersTest, ProbesOneAttemptAtATimeAndAdmitsAgainOnlyAfterItsSuccess) {
  failThrice(1);
  Ejection.review(Group, 30, Now);
  EXPECT_FALSE(Ejection.admits(Group[1].Backend, 0));
  Now += 6s;
  Ejection.review(Group, 30, Now);
  ASSERT_EQ(state(1), ejection_state::Probing);
  EXPECT_TRUE(Ejection.admits(Group[1].Backend, 0));
  EXPECT_FALSE(Ejection.admits(Group[1].Backend, 1));
  Ejection.observe(Group[1].Backend, true, Now);
  EXPECT_EQ(state(1), ejection_state::Ejected);
  Now += 6s;
  Ejection.review(Group, 30, Now);
  EXPECT_EQ(state(1), ejection_state::Ejected) << "the second time lasts twice as long";
  Now += 6s;
  Ejection.review(Group, 30, Now);
  Ejection.observe(Group[1].Backend, false, Now);
  EXPECT_EQ(state(1), ejection_state::Admitted);
}

} // namespace
} // namespace pollenstall

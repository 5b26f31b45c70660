/** @file outlier_detector_test.cpp Tests of ejection, its limit, and probing. */
#include "scheduling/scheduling.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

class TenServerGroupTest : public ::testing::Test {
protected:
  TenServerGroupTest() {
    for (int Number = 0; Number < 10; ++Number)
      Group.push_back({{backend_address("e" + std::to_string(Number)), incarnation(1)}, 100, 10});
  }
  void failThreeTimes(std::size_t Number) {
    for (int Time = 0; Time < 3; ++Time)
      Detector.observe(Group[Number].Backend, true, Now);
  }
  ejection_state state(std::size_t Number) const { return Detector.state(Group[Number].Backend); }

  outlier_detector Detector;
  std::vector<peer_speed> Group;
  mono_time Now{1000s};
};

TEST_F(TenServerGroupTest, EjectsFailingAndSlowServers) {
  failThreeTimes(2);
  Group[5].Rate = 20;
  Detector.updateEjections(Group, 30, Now);
  EXPECT_EQ(state(2), ejection_state::Ejected);
  EXPECT_EQ(state(5), ejection_state::Ejected);
  EXPECT_EQ(state(0), ejection_state::Admitted);
}

// If this host's own network drops every second connection, each server appears to fail. Ejecting
// all of them would refuse every request, so the limit keeps most servers admitted.
TEST_F(TenServerGroupTest, EjectsAtMostTheDeclaredShare) {
  for (std::size_t Number = 0; Number < Group.size(); ++Number)
    failThreeTimes(Number);
  Detector.updateEjections(Group, 30, Now);
  std::size_t EjectedCount = 0;
  for (std::size_t Number = 0; Number < Group.size(); ++Number)
    EjectedCount += state(Number) == ejection_state::Ejected ? 1 : 0;
  EXPECT_EQ(EjectedCount, 3U);
}

TEST_F(TenServerGroupTest, AdmitsAServerAgainAfterASuccessfulProbe) {
  failThreeTimes(1);
  Detector.updateEjections(Group, 30, Now);
  EXPECT_FALSE(Detector.admits(Group[1].Backend, 0));
  Now += 6s;
  Detector.updateEjections(Group, 30, Now);
  ASSERT_EQ(state(1), ejection_state::Probing);
  EXPECT_TRUE(Detector.admits(Group[1].Backend, 0));
  EXPECT_FALSE(Detector.admits(Group[1].Backend, 1));
  Detector.observe(Group[1].Backend, true, Now);
  EXPECT_EQ(state(1), ejection_state::Ejected);
  Now += 6s;
  Detector.updateEjections(Group, 30, Now);
  EXPECT_EQ(state(1), ejection_state::Ejected) << "the second ejection lasts twice as long";
  Now += 6s;
  Detector.updateEjections(Group, 30, Now);
  Detector.observe(Group[1].Backend, false, Now);
  EXPECT_EQ(state(1), ejection_state::Admitted);
}

} // namespace
} // namespace pollenstall

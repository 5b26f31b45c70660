/** @file control_rotation_test.cpp Order in which an entry tries control hosts. */
#include "control_link/control_rotation_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

class ControlRotationTest : public testing::Test {
protected:
  /// @return The next host after the longest delay.
  std::string nextAfterLongestDelay() {
    Now += milliseconds(200);
    return Rotation.next(Now).value_or("nobody");
  }

  control_rotation Rotation{{"10.0.0.1:1", "10.0.0.2:1"}, milliseconds(50), milliseconds(200)};
  mono_time Now{std::chrono::seconds(10)};
};

TEST_F(ControlRotationTest, TriesHostsInTurnWithGrowingDelays) {
  EXPECT_EQ(Rotation.next(Now), "10.0.0.1:1");
  EXPECT_EQ(Rotation.next(Now + milliseconds(49)), std::nullopt);
  EXPECT_EQ(Rotation.next(Now += milliseconds(50)), "10.0.0.2:1");
  EXPECT_EQ(Rotation.next(Now + milliseconds(99)), std::nullopt);
  EXPECT_EQ(Rotation.next(Now += milliseconds(100)), "10.0.0.1:1");
  EXPECT_EQ(Rotation.next(Now += milliseconds(200)), "10.0.0.2:1") << "200 ms is the longest delay";
  Rotation.recordLeaderAnswer();
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.1:1");
  EXPECT_EQ(Rotation.next(Now += milliseconds(50)), "10.0.0.2:1");
}

TEST_F(ControlRotationTest, ReconnectsAtOnceIfALeaderHadAnswered) {
  EXPECT_TRUE(Rotation.next(Now));
  Rotation.recordConnectionLoss(false, Now + milliseconds(1));
  EXPECT_EQ(Rotation.next(Now + milliseconds(1)), std::nullopt);
  Rotation.recordConnectionLoss(true, Now + milliseconds(2));
  EXPECT_TRUE(Rotation.next(Now + milliseconds(2)));
}

// Two hosts that do not lead redirect to each other. The first redirect is followed at once, since
// requests wait for the leader. Later ones are followed after a delay, or the entry would call the
// two hosts as fast as they answer. Each redirect is followed once.
TEST_F(ControlRotationTest, FollowsTheFirstRedirectAtOnceAndLaterOnesAfterADelay) {
  EXPECT_TRUE(Rotation.next(Now));
  Rotation.recordRedirect("10.0.0.9:1", Now);
  EXPECT_EQ(Rotation.next(Now), "10.0.0.9:1");
  Rotation.recordRedirect("10.0.0.1:1", Now);
  EXPECT_EQ(Rotation.next(Now + milliseconds(49)), std::nullopt);
  EXPECT_EQ(Rotation.next(Now += milliseconds(50)), "10.0.0.1:1");
  Rotation.recordRedirect("10.0.0.9:1", Now);
  EXPECT_EQ(Rotation.next(Now + milliseconds(49)), std::nullopt);
  EXPECT_EQ(Rotation.next(Now += milliseconds(50)), "10.0.0.9:1");
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.2:1") << "the rotation continues where it was";
  Rotation.recordRedirect("no address", Now);
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.1:1");
}

// All configured hosts were replaced, and the leader has reported the new ones. If these are gone
// too, only the configured addresses remain, where new hosts may be running by now.
TEST_F(ControlRotationTest, KeepsTheConfiguredHostsBesideReportedHosts) {
  Rotation.updateHosts({"10.0.0.2:1", "10.0.0.3:1", "no address"});
  EXPECT_EQ(Rotation.next(Now), "10.0.0.1:1");
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.2:1");
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.3:1");
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.1:1");
  Rotation.updateHosts({});
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.1:1");
  EXPECT_EQ(nextAfterLongestDelay(), "10.0.0.2:1");
}

} // namespace
} // namespace pollenstall

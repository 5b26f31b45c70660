/** @file failure_detector_test.cpp Whom a host accuses, and how much time it gives when it is slow
 * itself. */
#include "membership/membership.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const process_key Target{host_name("b"), incarnation(1)};

class DetectorTest : public testing::Test {
protected:
  /// @return How long after its start the probe accuses the target.
  mono_duration timeToAccuse(std::uint64_t Nonce) {
    Detector.begin(Target, Nonce, Now);
    const mono_time Began = Now;
    while (!Detector.takeFailure(Now))
      Now += 10ms;
    return Now - Began;
  }

  mono_time Now{1h};
  failure_detector Detector{membership_settings{}, Now};
};

// A busy host reads answers late. Without this it accuses one host after the other, each of which
// must refute that, and the whole fleet is busy with one slow host.
TEST_F(DetectorTest, GivesMoreTimeAfterEachMissingAnswer) {
  EXPECT_EQ(timeToAccuse(1), 1s);
  EXPECT_EQ(timeToAccuse(2), 2s);
  EXPECT_EQ(timeToAccuse(3), 3s);
}

TEST_F(DetectorTest, GivesLessTimeAgainAfterAnswers) {
  timeToAccuse(1);
  Detector.begin(Target, 2, Now);
  EXPECT_TRUE(Detector.answered(2, Target));
  EXPECT_EQ(timeToAccuse(3), 1s);
}

TEST_F(DetectorTest, TakesNoAnswerFromAnotherProcessNorToAnotherProbe) {
  Detector.begin(Target, 2, Now);
  EXPECT_FALSE(Detector.answered(1, Target));
  EXPECT_FALSE(Detector.answered(2, {Target.Host, incarnation(2)}));
}

TEST_F(DetectorTest, DropsTheProbeThatAPauseFellInto) {
  Detector.begin(Target, 1, Now);
  Detector.distrustSelf(Now + 1min);
  EXPECT_FALSE(Detector.takeFailure(Now + 1min));
}

} // namespace
} // namespace pollenstall

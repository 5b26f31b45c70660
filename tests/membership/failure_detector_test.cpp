/** @file failure_detector_test.cpp Probe timeouts, and their growth when the host itself is
 * slow. */
#include "membership/membership.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const process_key Target{host_name("b"), incarnation(1)};

class DetectorTest : public testing::Test {
protected:
  /// @return The time from the start of the probe to the suspicion of its target.
  mono_duration timeToSuspicion(std::uint64_t Nonce) {
    Detector.startProbe(Target, Nonce, Now);
    const mono_time Began = Now;
    while (!Detector.takeFailedTarget(Now))
      Now += 10ms;
    return Now - Began;
  }

  mono_time Now{1h};
  failure_detector Detector{membership_settings{}, Now};
};

// A busy host reads answers late. Without longer timeouts it suspects one host after the other,
// each of which must refute that, and one slow host loads the whole fleet.
TEST_F(DetectorTest, TimeoutGrowsWithEachMissingAnswer) {
  EXPECT_EQ(timeToSuspicion(1), 1s);
  EXPECT_EQ(timeToSuspicion(2), 2s);
  EXPECT_EQ(timeToSuspicion(3), 3s);
}

TEST_F(DetectorTest, TimeoutShrinksAfterAnswers) {
  timeToSuspicion(1);
  Detector.startProbe(Target, 2, Now);
  EXPECT_TRUE(Detector.handleAck(2, Target));
  EXPECT_EQ(timeToSuspicion(3), 1s);
}

TEST_F(DetectorTest, IgnoresAnswersFromAnotherProcessOrToAnotherProbe) {
  Detector.startProbe(Target, 2, Now);
  EXPECT_FALSE(Detector.handleAck(1, Target));
  EXPECT_FALSE(Detector.handleAck(2, {Target.Host, incarnation(2)}));
}

TEST_F(DetectorTest, DropsTheProbeAfterAPause) {
  Detector.startProbe(Target, 1, Now);
  Detector.recordLocalFault(Now + 1min);
  EXPECT_FALSE(Detector.takeFailedTarget(Now + 1min));
}

} // namespace
} // namespace pollenstall

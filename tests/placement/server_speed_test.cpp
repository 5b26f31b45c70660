/** @file server_speed_test.cpp Estimates of the speed of servers. */
#include "placement/placement.h"

#include <gtest/gtest.h>

#include <limits>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

/// Samples of one server, one a second.
struct server_speed_test : testing::Test {
  static constexpr mono_duration HalfLife = 15s;

  void record(int Count, double Slowness, double Fill) {
    for (int Recorded = 0; Recorded < Count; ++Recorded, Now += 1s)
      Speed.record({Slowness, Fill, 0.6, Now});
  }
  [[nodiscard]] double at(double Fill) const { return Speed.slowness(Fill, HalfLife, Now); }

  server_speed Speed;
  mono_time Now{1h};
};

TEST_F(server_speed_test, IsTheFactorOfMostSamples) {
  record(8, 4, 0.3);
  record(3, 9, 0.3);
  record(3, 1, 0.3);
  EXPECT_DOUBLE_EQ(at(0.3), 4);
}

// Guards against a server that is avoided because of one unlucky attempt.
TEST_F(server_speed_test, IsNormalAfterASingleSlowSample) {
  record(1, 10, 0.3);
  EXPECT_DOUBLE_EQ(at(0.3), 1);
}

// Guards against choices that follow noise: below the threshold, the factor is exactly 1.
TEST_F(server_speed_test, IsNormalIfItIsOnlyALittleSlower) {
  record(16, 1.5, 0.3);
  EXPECT_EQ(at(0.3), 1);
  EXPECT_FALSE(Speed.mayBeSlow());
}

// A server without samples must get work again, or its recovery would never be seen.
TEST_F(server_speed_test, IsNormalAgainAMinuteAfterTheLastSample) {
  record(16, 4, 0.3);
  Now += 10s;
  EXPECT_DOUBLE_EQ(at(0.3), 4);
  Now += 55s;
  EXPECT_EQ(at(0.3), 1);
}

TEST_F(server_speed_test, IsNormalAgainAfterNormalSamples) {
  record(6, 4, 0.3);
  record(7, 1, 0.3);
  EXPECT_EQ(at(0.3), 1);
}

// Guards against the loss of a server that is slow only while nearly full.
TEST_F(server_speed_test, IsNormalAtALowFillIfItIsSlowOnlyWhenFull) {
  for (int Round = 0; Round < 4; ++Round) {
    record(1, 1, 0.2);
    record(1, 4, 0.9);
  }
  EXPECT_EQ(at(0.2), 1);
  EXPECT_DOUBLE_EQ(at(0.9), 4);
}

// A server that was measured only while full may be slow at any fill.
TEST_F(server_speed_test, IsSlowAtALowFillUnlessMeasuredThere) {
  record(4, 4, 0.9);
  EXPECT_DOUBLE_EQ(at(0.1), 4);
}

TEST_F(server_speed_test, IgnoresValuesThatAreNoTime) {
  record(8, -1, 0.3);
  record(8, std::numeric_limits<double>::quiet_NaN(), 0.3);
  record(8, std::numeric_limits<double>::infinity(), 0.3);
  EXPECT_EQ(at(0.3), 1);
  EXPECT_FALSE(Speed.measured(HalfLife, Now));
}

} // namespace
} // namespace pollenstall

/** @file call_durations_test.cpp Which requests a stopping entry still takes. */
#include "relay/call_durations_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const service_name Service("s");

TEST(CallDurations, KnowsNothingOfKindsThatHaveNotEnded) {
  call_durations Durations;
  EXPECT_EQ(Durations.longest(Service, length_class::Short), std::nullopt);
  Durations.record(Service, length_class::Long, 6s);
  EXPECT_EQ(Durations.longest(Service, length_class::Short), std::nullopt);
  EXPECT_EQ(Durations.longest(service_name("other"), length_class::Long), std::nullopt);
  EXPECT_EQ(Durations.longest(Service, length_class::Long), mono_duration(6s));
}

TEST(CallDurations, ForgetsAllButTheLast) {
  call_durations Durations;
  Durations.record(Service, length_class::Short, 6s);
  for (std::size_t Call = 0; Call < call_durations::Kept; ++Call) {
    EXPECT_EQ(Durations.longest(Service, length_class::Short), mono_duration(6s)) << Call;
    Durations.record(Service, length_class::Short, 30ms);
  }
  EXPECT_EQ(Durations.longest(Service, length_class::Short), mono_duration(30ms));
}

// Requests that arrive in each moment of the drain, at engines that need 3.5, 4.5 and 6 s. Those
// taken end before all work is ended, and all others are refused.
TEST(CallDurations, TellWhichRequestsEndBeforeTheStop) {
  constexpr mono_duration WorkEnds = 7s;
  for (const mono_duration Work :
       {mono_duration(3500ms), mono_duration(4500ms), mono_duration(6s)}) {
    call_durations Durations;
    for (int Call = 0; Call < 20; ++Call)
      Durations.record(Service, length_class::Short, Work - Call * 10ms);
    for (mono_duration Arrival{0}; Arrival < 3s; Arrival += 100ms) {
      const bool Taken = Arrival + *Durations.longest(Service, length_class::Short) <= WorkEnds;
      EXPECT_EQ(Taken, Arrival + Work <= WorkEnds) << Arrival / 1ms;
    }
  }
}

} // namespace
} // namespace pollenstall

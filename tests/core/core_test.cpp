/** @file core_test.cpp Tests of id texts, queues, random numbers and invariants. */
#include "core/core.h"

#include <gtest/gtest.h>

#include <thread>

namespace pollenstall {
namespace {

const attempt_id SampleAttempt{{host_name("accra-a-1"), incarnation(17)}, request_number(42), 2};

TEST(AttemptIdText, ParsesFormattedText) {
  EXPECT_EQ(toText(SampleAttempt), "accra-a-1/17/42/2");
  EXPECT_EQ(parseAttemptId(toText(SampleAttempt)), SampleAttempt);
}

TEST(AttemptIdText, RejectsOtherForms) {
  for (const char *Text : {"", "a/1/2", "a/1/2/x", "/1/2/3", "a/1/2/3/4", "a/-1/2/3", "a/1/2/"})
    EXPECT_EQ(parseAttemptId(Text), std::nullopt) << Text;
}

TEST(BoundedRing, RejectsItemsBeyondCapacityAndKeepsOrder) {
  bounded_ring<int> Ring(2);
  EXPECT_TRUE(Ring.push(1));
  EXPECT_TRUE(Ring.push(2));
  EXPECT_FALSE(Ring.push(3));
  std::vector<int> Seen;
  Ring.drain([&Seen](int Value) { Seen.push_back(Value); });
  EXPECT_EQ(Seen, (std::vector<int>{1, 2}));
}

TEST(BoundedRing, CallsWakeHookOncePerBurst) {
  bounded_ring<int> Ring(8);
  int WakeCount = 0;
  Ring.onWake([&WakeCount] { ++WakeCount; });
  Ring.push(1);
  Ring.push(2);
  EXPECT_EQ(WakeCount, 1);
  Ring.drain([](int) {});
  Ring.push(3);
  EXPECT_EQ(WakeCount, 2);
}

TEST(BoundedRing, DeliversEveryItemBetweenThreads) {
  constexpr int ItemCount = 100000;
  bounded_ring<int> Ring(64);
  long Sum = 0;
  std::thread Producer([&Ring] {
    for (int Value = 1; Value <= ItemCount; ++Value)
      while (!Ring.push(int(Value)))
        std::this_thread::yield();
  });
  int Seen = 0;
  while (Seen < ItemCount)
    Seen += static_cast<int>(Ring.drain([&Sum](int Value) { Sum += Value; }));
  Producer.join();
  EXPECT_EQ(Sum, static_cast<long>(ItemCount) * (ItemCount + 1) / 2);
}

TEST(RandomSource, RepeatsSequenceForSameSeed) {
  random_source First(7);
  random_source Second(7);
  EXPECT_EQ(First(), Second());
  EXPECT_LT(First.below(10), 10U);
  EXPECT_EQ(First.below(0), 0U);
}

TEST(InvariantDeathTest, PrintsNameAndDump) {
  EXPECT_DEATH(requireInvariant(false, "sample invariant", [] { return std::string("the state"); }),
               "sample invariant\nthe state");
}

struct running_clock_test : testing::Test {
  mono_time at(int Millis) const { return Start + std::chrono::milliseconds(Millis); }

  const mono_time Start{std::chrono::hours(1)};
  running_clock Clock{std::chrono::milliseconds(250)};
};

TEST_F(running_clock_test, FollowsAThreadThatRuns) {
  for (int Millis = 0; Millis <= 1'000; Millis += 250)
    EXPECT_FALSE(Clock.advance(at(Millis)));
  EXPECT_EQ(Clock.toRunning(at(1'100)), at(1'100));
}

TEST_F(running_clock_test, GoesOnInASlowThread) {
  for (int Millis = 0; Millis <= 3'000; Millis += 300)
    Clock.advance(at(Millis));
  EXPECT_EQ(Clock.toRunning(at(3'000)), at(2'500));
}

// The deadlines of a process that was stopped pass before it has read what arrived meanwhile.
TEST_F(running_clock_test, StandsStillWithItsThread) {
  Clock.advance(at(0));
  EXPECT_EQ(Clock.advance(at(1'750)), std::chrono::milliseconds(1'750));
  EXPECT_EQ(Clock.toRunning(at(1'750)), at(250));
  Clock.advance(at(1'800));
  EXPECT_EQ(Clock.advance(at(3'050)), std::chrono::milliseconds(1'250));
  EXPECT_EQ(Clock.toRunning(at(3'050)), at(550));
  EXPECT_EQ(Clock.toRunning(mono_time::max()), mono_time::max());
}

} // namespace
} // namespace pollenstall

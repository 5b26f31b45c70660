/** @file core_test.cpp Text forms of ids, rings and random numbers. */
#include "core/core.h"

#include <gtest/gtest.h>

#include <thread>

namespace pollenstall {
namespace {

const attempt_id Sample{{host_name("accra-a-1"), incarnation(17)}, request_number(42), 2};

TEST(AttemptText, ReadsBackWhatItWrote) {
  EXPECT_EQ(toText(Sample), "accra-a-1/17/42/2");
  EXPECT_EQ(parseAttemptId(toText(Sample)), Sample);
}

TEST(AttemptText, RefusesOtherForms) {
  for (const char *Text : {"", "a/1/2", "a/1/2/x", "/1/2/3", "a/1/2/3/4", "a/-1/2/3", "a/1/2/"})
    EXPECT_EQ(parseAttemptId(Text), std::nullopt) << Text;
}

TEST(BoundedRing, RefusesBeyondItsCapacityAndKeepsOrder) {
  bounded_ring<int> Ring(2);
  EXPECT_TRUE(Ring.push(1));
  EXPECT_TRUE(Ring.push(2));
  EXPECT_FALSE(Ring.push(3));
  std::vector<int> Seen;
  Ring.drain([&Seen](int Value) { Seen.push_back(Value); });
  EXPECT_EQ(Seen, (std::vector<int>{1, 2}));
}

TEST(BoundedRing, WakesOnceForABurst) {
  bounded_ring<int> Ring(8);
  int Wakes = 0;
  Ring.onWake([&Wakes] { ++Wakes; });
  Ring.push(1);
  Ring.push(2);
  EXPECT_EQ(Wakes, 1);
  Ring.drain([](int) {});
  Ring.push(3);
  EXPECT_EQ(Wakes, 2);
}

TEST(BoundedRing, LosesNothingBetweenTwoThreads) {
  constexpr int Items = 100000;
  bounded_ring<int> Ring(64);
  long Sum = 0;
  std::thread Producer([&Ring] {
    for (int Value = 1; Value <= Items; ++Value)
      while (!Ring.push(int(Value)))
        std::this_thread::yield();
  });
  int Seen = 0;
  while (Seen < Items)
    Seen += static_cast<int>(Ring.drain([&Sum](int Value) { Sum += Value; }));
  Producer.join();
  EXPECT_EQ(Sum, static_cast<long>(Items) * (Items + 1) / 2);
}

TEST(RandomSource, GivesTheSameSequenceForASeed) {
  random_source A(7);
  random_source B(7);
  EXPECT_EQ(A(), B());
  EXPECT_LT(A.below(10), 10U);
  EXPECT_EQ(A.below(0), 0U);
}

TEST(InvariantDeathTest, PrintsItsNameAndTheDump) {
  EXPECT_DEATH(requireInvariant(false, "sample invariant", [] { return std::string("the state"); }),
               "sample invariant\nthe state");
}

} // namespace
} // namespace pollenstall

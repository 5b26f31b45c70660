/** @file random_order_test.cpp Randomised runs of leaders, engines and delayed orders. */
#include "random_order_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace pollenstall {
namespace {

constexpr std::uint64_t DefaultFirstSeed = 1;
constexpr std::uint64_t DefaultSeeds = 600;
constexpr std::uint64_t SeedsWithoutSafeguard = 600;

std::uint64_t setting(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

/// The seed that runs now, for the line that a failed invariant's abort leaves behind.
volatile std::uint64_t CurrentSeed = 0;

void printSeed(int /*Signal*/) { std::cerr << "failing seed " << CurrentSeed << std::endl; }

/// Counted apart: without a safeguard the end may be missed for other reasons than a late order.
bool isLateOrder(const std::string &Violation) {
  return Violation.find("took effect after") != std::string::npos;
}

/// @return In how many fixed schedules an older order takes effect over a newer one.
std::uint64_t brokenSchedules(const order_world_options &Options) {
  std::uint64_t Broken = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedsWithoutSafeguard; ++Seed) {
    const std::vector<std::string> Violations = random_order_world(Seed, Options).run();
    Broken += std::any_of(Violations.begin(), Violations.end(), isLateOrder) ? 1 : 0;
  }
  std::cout << "orders: " << Broken << " of " << SeedsWithoutSafeguard << " schedules broken\n";
  return Broken;
}

// Leaders are stopped at any step and cut off while they believe in their lease; orders spend up to
// the bound on the way, answers are lost, operators go on changing the declaration. An engine must
// never take an older order over a newer one, some copy must serve throughout, and in the end every
// engine holds what is declared.
TEST(RandomisedOrders, NeverPutAnOlderOrderOverANewerOne) {
  const std::uint64_t First = setting("POLLENSTALL_FIRST_SEED", DefaultFirstSeed);
  const std::uint64_t Seeds = setting("POLLENSTALL_SEEDS", DefaultSeeds);
  std::signal(SIGABRT, printSeed);
  order_world_counts Sum;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    CurrentSeed = Seed;
    random_order_world World(Seed, {});
    for (const std::string &Violation : World.run())
      ADD_FAILURE() << "failing seed " << Seed << ": " << Violation;
    Sum += World.counts();
  }
  std::signal(SIGABRT, SIG_DFL);
  std::cout << "orders: schedules " << Seeds << " steps " << Sum.Steps << " first seed " << First
            << "; offices " << Sum.Offices << " effects " << Sum.Effects << " fence-refused "
            << Sum.FenceRefusals << " held-at-write " << Sum.HeldAtWrite << " unanswered "
            << Sum.Unanswered << "\n";
  EXPECT_GT(Sum.Offices * Sum.Effects * Sum.FenceRefusals * Sum.HeldAtWrite * Sum.Unanswered, 0U)
      << "the schedules no longer reach every case";
}

// Each safeguard is needed: the same schedules break a promise once it is taken out.
TEST(RandomisedOrders, AreBrokenWithoutTheLeaseMargin) {
  EXPECT_GT(brokenSchedules({.LeaseMargin = false}), 0U);
}

TEST(RandomisedOrders, AreBrokenWithoutTheSuccessorsWait) {
  EXPECT_GT(brokenSchedules({.SuccessorWait = false}), 0U);
}

TEST(RandomisedOrders, AreBrokenWithoutTheFence) {
  EXPECT_GT(brokenSchedules({.EnginesCheckFences = false}), 0U);
}

} // namespace
} // namespace pollenstall

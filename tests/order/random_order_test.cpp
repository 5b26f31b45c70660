/** @file random_order_test.cpp Randomised runs with several leaders, engines and delayed orders. */
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

std::uint64_t environmentNumber(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

/// Seed of the current run, printed if a failed invariant aborts the process.
volatile std::uint64_t CurrentSeed = 0;

void printSeed(int /*Signal*/) { std::cerr << "failing seed " << CurrentSeed << std::endl; }

/// Only late orders are counted: without a safeguard a run may also end in another state than the
/// declared one.
bool isLateOrder(const std::string &Violation) {
  return Violation.find("took effect after") != std::string::npos;
}

/// @return The number of fixed schedules in which an older order takes effect after a newer one.
std::uint64_t countFailedSchedules(const order_world_options &Options) {
  std::uint64_t FailedSchedules = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedsWithoutSafeguard; ++Seed) {
    const std::vector<std::string> Violations = random_order_world(Seed, Options).run();
    FailedSchedules += std::any_of(Violations.begin(), Violations.end(), isLateOrder) ? 1 : 0;
  }
  std::cout << "orders: " << FailedSchedules << " of " << SeedsWithoutSafeguard
            << " schedules failed\n";
  return FailedSchedules;
}

// Leaders are stopped at any step and partitioned while they hold a lease, orders are in flight for
// up to the bound, answers are lost and the declaration changes. An engine must never apply an
// older order after a newer one, some copy must always serve, and finally the engines must hold the
// declared copies.
TEST(RandomisedOrders, NeverApplyAnOlderOrderAfterANewerOne) {
  const std::uint64_t First = environmentNumber("POLLENSTALL_FIRST_SEED", DefaultFirstSeed);
  const std::uint64_t Seeds = environmentNumber("POLLENSTALL_SEEDS", DefaultSeeds);
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
            << "; terms " << Sum.Terms << " effects " << Sum.OrdersApplied << " fence-refused "
            << Sum.EngineFenceRefusals << " refused-at-write " << Sum.GateRefusalsAtWrite
            << " unanswered " << Sum.Unanswered << "\n";
  EXPECT_GT(Sum.Terms * Sum.OrdersApplied * Sum.EngineFenceRefusals * Sum.GateRefusalsAtWrite *
                Sum.Unanswered,
            0U)
      << "a counted case did not occur in any schedule";
}

// Shows that each safeguard is necessary: without it, some of the same schedules fail.
TEST(RandomisedOrders, FailWithoutTheLeaseMargin) {
  EXPECT_GT(countFailedSchedules({.LeaseMargin = false}), 0U);
}

TEST(RandomisedOrders, FailWithoutTheNewLeaderDelay) {
  EXPECT_GT(countFailedSchedules({.NewLeaderDelay = false}), 0U);
}

TEST(RandomisedOrders, FailWithoutFencingTokens) {
  EXPECT_GT(countFailedSchedules({.EnginesCheckFencing = false}), 0U);
}

} // namespace
} // namespace pollenstall

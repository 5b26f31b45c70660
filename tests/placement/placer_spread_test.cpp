/** @file placer_spread_test.cpp Tests of spreading short prompts of independent entries. */
#include "placer_fixture.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace pollenstall {
namespace {

/// Short prompts that arrive one by one at one of many entries.
struct short_prompts_fixture : placer_fixture {
  /// Simulates two seconds of load reports in which another entry starts and ends PerSecond
  /// requests per second, on the engines in turn.
  void receiveLoads(std::size_t PerSecond) {
    constexpr std::size_t Rounds = 40;
    for (std::size_t Round = 0; Round < Rounds; ++Round) {
      Now += 50ms;
      const std::size_t StartedRequests = PerSecond / 20;
      std::vector<work_load> Loads(Engines);
      for (std::size_t Index = 0; Index < Engines; ++Index)
        Loads[Index].Incarnation = makeListing(Index).Key.Incarnation;
      Placer.updateOthersLoads(Loads, Now);
      for (std::size_t RequestNumber = 0; RequestNumber < StartedRequests; ++RequestNumber)
        ++Loads[(Round + RequestNumber) % Engines].Requests;
      Placer.updateOthersLoads(Loads, Now);
    }
    setOthersLoads({});
  }
  /// Places twenty requests, each of which ends immediately. @return Number of engines used.
  std::size_t enginesUsed() {
    std::set<backend_key> UsedEngines;
    for (int Count = 0; Count < 20; ++Count) {
      const request_number RequestNumber = submitRequest(1'000);
      for (const work_placement &Placement : poll())
        UsedEngines.insert(Placement.Backend);
      completeAttempt(RequestNumber);
    }
    return UsedEngines.size();
  }
};

// 195 entries place 207 short prompts per second and know of each other's placements after 56 ms.
// When each entry packed them onto the first two suitable engines, 46 in 100 prompts began within
// 20 ms of another one on the same engine, and all streams of that engine paused.
TEST_F(short_prompts_fixture, SpreadOverMoreEnginesThanUnseenRequests) {
  Placer.updateExchange({195, 56ms, 9ms});
  receiveLoads(200);
  EXPECT_GE(enginesUsed(), 10U);
}

// Eight entries know of each other's placements after 8 ms. Spreading short streams more widely
// would leave fewer engines for long prefill.
TEST_F(short_prompts_fixture, StayPackedIfLoadsPropagateQuickly) {
  Placer.updateExchange({8, 8ms, 6ms});
  receiveLoads(80);
  EXPECT_LE(enginesUsed(), 2U);
}

TEST_F(short_prompts_fixture, ArePackedAgainAfterTheRateDrops) {
  Placer.updateExchange({195, 56ms, 9ms});
  receiveLoads(200);
  Now += 20s;
  EXPECT_LE(enginesUsed(), 2U);
}

} // namespace
} // namespace pollenstall

/** @file placer_spread_test.cpp Short work of entries that decide alone. */
#include "placer_story.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace pollenstall {
namespace {

/// Short prompts come one by one to each of many entries.
struct short_work_of_many : placer_story {
  /// Another entry begins and ends a request at an engine in turn, so many a second for two
  /// seconds.
  void hearOf(std::size_t PerSecond) {
    constexpr std::size_t Rounds = 40;
    for (std::size_t Round = 0; Round < Rounds; ++Round) {
      Now += 50ms;
      const std::size_t Begun = PerSecond / 20;
      std::vector<work_load> Loads(Engines);
      for (std::size_t Place = 0; Place < Engines; ++Place)
        Loads[Place].Incarnation = listing(Place).Key.Incarnation;
      Placer.takeOthersLoads(Loads, Now);
      for (std::size_t Request = 0; Request < Begun; ++Request)
        ++Loads[(Round + Request) % Engines].Requests;
      Placer.takeOthersLoads(Loads, Now);
    }
    others({});
  }
  /// @return How many engines twenty requests go to, each of which ends at once.
  std::size_t enginesUsed() {
    std::set<backend_key> Used;
    for (int Count = 0; Count < 20; ++Count) {
      const request_number Request = arrive(1'000);
      for (const work_placement &Placement : poll())
        Used.insert(Placement.Backend);
      end(Request);
    }
    return Used.size();
  }
};

// 195 entries place 207 short prompts a second and hear of each other's after 56 ms. Packed onto
// the two engines that each thinks free, 46 in 100 began within 20 ms of another one there, and all
// streams of that engine paused.
TEST_F(short_work_of_many, SpreadsOverMoreEnginesThanComeUnseen) {
  Placer.useExchange({195, 56ms, 9ms});
  hearOf(200);
  EXPECT_GE(enginesUsed(), 10U);
}

// Eight entries hear of each other after 8 ms: spread any wider, short streams would keep engines
// from long reads.
TEST_F(short_work_of_many, StaysPackedWhereEntriesHearOfEachOtherAtOnce) {
  Placer.useExchange({8, 8ms, 6ms});
  hearOf(80);
  EXPECT_LE(enginesUsed(), 2U);
}

TEST_F(short_work_of_many, IsPackedAgainOnceItIsCalm) {
  Placer.useExchange({195, 56ms, 9ms});
  hearOf(200);
  Now += 20s;
  EXPECT_LE(enginesUsed(), 2U);
}

} // namespace
} // namespace pollenstall

/** @file retry_world_test.cpp All entries together keep the retry budget, and use it. */
#include "retry_world.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <numeric>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

class RetryWorldTest : public testing::TestWithParam<std::size_t> {
protected:
  /// Sizes as in use: more entries serve more requests with a larger reserve.
  world_settings settings(std::uint64_t Seed = 1) const {
    world_settings Settings;
    Settings.Entries = GetParam();
    Settings.RequestsPerSecond = 40 + static_cast<double>(GetParam());
    Settings.Reserve = 90 + 2 * static_cast<double>(GetParam());
    Settings.Seed = Seed;
    return Settings;
  }
  /// Starts the world and lets entries run until each may use its part.
  static void settle(retry_world &World) { World.run(seconds(25)); }
  /// @return The seeds to run; fewer where a run takes long.
  static std::vector<std::uint64_t> seeds() {
    const std::uint64_t First = fromEnvironment("POLLENSTALL_FIRST_SEED", 1);
    std::vector<std::uint64_t> Seeds(
        fromEnvironment("POLLENSTALL_SEEDS", GetParam() > 100 ? 1 : 4));
    std::iota(Seeds.begin(), Seeds.end(), First);
    return Seeds;
  }

  void expectWithinBound(const retry_world &World, const std::string &Case) {
    EXPECT_LE(World.worstExcess(), 0) << Case;
    EXPECT_GT(World.retriesSince({}), 0U) << Case;
  }
};

INSTANTIATE_TEST_SUITE_P(Entries, RetryWorldTest, testing::Values(3, 8, 58, 195, 320));

TEST_P(RetryWorldTest, EvenFailuresUseNineTenthsOfTheBudgetAndNoMore) {
  for (const double Reserve : {0.5, 1.0}) {
    world_settings Settings = settings();
    Settings.Reserve *= Reserve;
    retry_world World(Settings);
    settle(World);
    World.fail(0.9);
    const mono_time From = World.now();
    const std::size_t Datagrams = World.sentDatagrams();
    World.run(seconds(30));
    const double Use = World.use(From, World.now());
    std::cout << GetParam() << " entries, reserve " << Settings.Reserve << ": use " << Use
              << ", excess " << World.worstExcess() << ", datagrams a second and entry "
              << static_cast<double>(World.sentDatagrams() - Datagrams) / 30 /
                     static_cast<double>(GetParam())
              << "\n";
    expectWithinBound(World, "even");
    EXPECT_GE(Use, 0.9);
  }
}

// Guards against a reserve of which nine tenths lie idle at entries that have no failures.
TEST_P(RetryWorldTest, FailuresAtOneEntryUseSevenTenthsOfTheBudget) {
  retry_world World(settings());
  settle(World);
  World.failAt(0, 1);
  World.concentrateLoad(0);
  const mono_time From = World.now();
  const std::size_t Datagrams = World.sentDatagrams();
  World.run(seconds(30));
  const double Use = World.use(From, World.now());
  std::cout << GetParam() << " entries, failures at one: use " << Use << ", excess "
            << World.worstExcess() << ", datagrams a second "
            << (World.sentDatagrams() - Datagrams) / 30 << "\n";
  expectWithinBound(World, "one");
  EXPECT_GE(Use, 0.7);
}

// Thirty streams break at once at one entry after a minute without failures; the reserve allows to
// resume all of them.
TEST_P(RetryWorldTest, ThirtyStreamsThatBreakAtOneEntryAreResumed) {
  retry_world World(settings());
  World.run(std::chrono::minutes(1));
  const mono_time Broken = World.now();
  World.breakStreams(0, 30);
  World.run(milliseconds(500));
  EXPECT_EQ(World.retriesSince(Broken), 30U);
}

// Guards against started entries that have a full part, and lost ones whose part is taken over.
TEST_P(RetryWorldTest, SumHoldsWhileEntriesAreKilledAndRestarted) {
  for (const std::uint64_t Seed : seeds())
    for (const std::string Case : {"one after the other", "all at once", "half, for long"}) {
      world_settings Settings = settings(Seed);
      Settings.LostFraction = 0.03;
      retry_world World(Settings);
      settle(World);
      World.fail(0.9);
      World.run(seconds(4));
      if (Case == "one after the other") {
        const mono_duration Gap = mono_duration(seconds(8)) / GetParam();
        for (std::size_t Entry = 0; Entry < GetParam(); ++Entry) {
          World.kill(Entry);
          World.run(Gap / 2);
          World.restart(Entry);
          World.run(Gap / 2);
        }
      } else {
        const std::size_t Killed = Case == "all at once" ? GetParam() : GetParam() / 2;
        for (std::size_t Entry = 0; Entry < Killed; ++Entry)
          World.kill(Entry);
        World.run(Case == "all at once" ? seconds(1) : seconds(14));
        for (std::size_t Entry = 0; Entry < Killed; ++Entry)
          World.restart(Entry);
      }
      World.run(seconds(25));
      expectWithinBound(World, Case + ", seed " + std::to_string(Seed));
    }
}

// Guards against entries out of touch that use parts which the others have taken over.
TEST_P(RetryWorldTest, SumHoldsWhileEntriesAreFrozenOrCutOff) {
  for (const std::uint64_t Seed : seeds())
    for (const std::string Case : {"frozen", "cut"})
      for (const seconds Outage : {seconds(2), seconds(8), seconds(30)}) {
        world_settings Settings = settings(Seed);
        Settings.LostFraction = 0.03;
        retry_world World(Settings);
        settle(World);
        World.fail(0.9);
        World.run(seconds(4));
        for (std::size_t Entry = 0; Entry < GetParam(); Entry += 2)
          Case == "frozen" ? World.freeze(Entry) : World.cut(Entry);
        World.run(Outage);
        for (std::size_t Entry = 0; Entry < GetParam(); Entry += 2)
          Case == "frozen" ? World.thaw(Entry) : World.heal(Entry);
        World.run(seconds(25));
        expectWithinBound(World, Case + " " + std::to_string(Outage.count()) + " s, seed " +
                                     std::to_string(Seed));
      }
}

// Guards against the first lists of a new leader, which hold few entries.
TEST_P(RetryWorldTest, SumHoldsWhileLeadersChange) {
  for (const std::uint64_t Seed : seeds()) {
    retry_world World(settings(Seed));
    settle(World);
    World.fail(0.9);
    for (int Change = 0; Change < 4; ++Change) {
      World.run(seconds(5));
      World.replaceLeader();
    }
    World.run(seconds(15));
    expectWithinBound(World, "seed " + std::to_string(Seed));
  }
}

// Guards against amounts saved up at the entries that the load leaves.
TEST_P(RetryWorldTest, SumHoldsWhileTheLoadMoves) {
  for (const std::uint64_t Seed : seeds()) {
    retry_world World(settings(Seed));
    settle(World);
    World.fail(0.9);
    for (std::size_t First = 0; First < 3; ++First) {
      World.run(seconds(3));
      std::vector<std::size_t> Left;
      for (std::size_t Entry = First; Entry < GetParam(); Entry += 3)
        Left.push_back(Entry);
      World.shiftLoad(Left);
    }
    World.run(seconds(15));
    expectWithinBound(World, "seed " + std::to_string(Seed));
  }
}

TEST_P(RetryWorldTest, SumHoldsInRandomSchedules) {
  for (const std::uint64_t Seed : seeds()) {
    world_settings Settings = settings(Seed);
    Settings.LostFraction = 0.1;
    Settings.MaxDelay = milliseconds(120);
    retry_world World(Settings);
    settle(World);
    World.fail(0.9);
    for (int Step = 0; Step < 40; ++Step) {
      World.run(milliseconds(World.random().below(2'000)));
      World.disturb();
    }
    World.run(seconds(15));
    expectWithinBound(World, "seed " + std::to_string(Seed));
  }
}

} // namespace
} // namespace pollenstall

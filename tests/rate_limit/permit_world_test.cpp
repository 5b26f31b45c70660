/** @file permit_world_test.cpp The sum over all entries keeps the limit of a server. */
#include "permit_world.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the first answer with a limit from which on it must hold.
constexpr seconds Grace{3};

/// Most requests in 4 s: one and a half times those that the limit allows, and 5.
std::size_t allowed(double Limit) {
  return static_cast<std::size_t>(std::lround(1.5 * 4 * Limit + 5));
}

class PermitWorldTest : public testing::TestWithParam<std::size_t> {
protected:
  static world_settings settings(std::size_t Entries, std::uint64_t Seed = 1) {
    world_settings Settings;
    Settings.Entries = Entries;
    Settings.Seed = Seed;
    return Settings;
  }
};

/// Fewer where a run takes longer.
std::uint64_t seedsFor(std::size_t Entries) { return Entries > 100 ? 1 : 4; }

INSTANTIATE_TEST_SUITE_P(Entries, PermitWorldTest, testing::Values(3, 7, 58, 195, 320));

// Guards against a limit that each entry keeps for itself, or by shares: with work waiting at all
// entries, the sum exceeded it from 58 entries on.
TEST_P(PermitWorldTest, WaitingWorkUsesTheLimitAndNoMore) {
  for (const double Limit : {0.0, 0.5, 2.0, 2.4, 10.0}) {
    permit_world World(settings(GetParam()));
    World.run(seconds(2));
    World.state(Limit);
    const mono_time Stated = World.now();
    World.run(seconds(6));
    EXPECT_EQ(World.knowing(), GetParam());
    const mono_time Settled = World.now();
    const std::size_t Datagrams = World.sentDatagrams();
    World.run(seconds(40));
    const double Use =
        static_cast<double>(World.arrivedSince(Settled)) / (40 * std::max(Limit, 0.25));
    std::cout << GetParam() << " entries, limit " << Limit << ": most in 4 s "
              << World.mostInWindow(Stated + Grace) << " of " << allowed(Limit) << ", use " << Use
              << ", datagrams a second " << (World.sentDatagrams() - Datagrams) / 40 << "\n";
    EXPECT_LE(World.mostInWindow(Stated + Grace), allowed(Limit)) << Limit;
    EXPECT_GE(Use, 0.9) << Limit;
  }
}

// Guards against permits that are issued twice, by an issuer that is lost and by its successor.
TEST_P(PermitWorldTest, SumHoldsWhileTheIssuerIsLost) {
  for (std::uint64_t Seed = 1; Seed <= seedsFor(GetParam()); ++Seed)
    for (const double Limit : {0.5, 2.0, 10.0})
      for (const std::string Loss : {"killed", "restarted", "frozen", "cut"}) {
        world_settings Settings = settings(GetParam(), Seed);
        Settings.LostFraction = 0.03;
        permit_world World(Settings);
        World.run(seconds(2));
        World.state(Limit);
        const mono_time Stated = World.now();
        World.run(seconds(10));
        const std::size_t Issuer = World.issuer();
        if (Loss == "frozen")
          World.freeze(Issuer);
        else if (Loss == "cut")
          World.cut(Issuer);
        else
          World.kill(Issuer);
        World.run(Loss == "restarted" ? mono_duration(milliseconds(300))
                                      : mono_duration(seconds(6)));
        if (Loss == "frozen")
          World.thaw(Issuer);
        else if (Loss == "cut")
          World.heal(Issuer);
        else
          World.restart(Issuer);
        World.run(seconds(20));
        EXPECT_LE(World.mostInWindow(Stated + Grace), allowed(Limit)) << Loss << " seed " << Seed;
        EXPECT_GT(World.arrivedSince(World.now() - seconds(8)), 0U) << Loss << " seed " << Seed;
      }
}

// Guards against entries that forget the limit in a restart of all of them.
TEST_P(PermitWorldTest, SumHoldsAfterARestartOfAllEntries) {
  constexpr double Limit = 2;
  permit_world World(settings(GetParam()));
  World.run(seconds(2));
  World.state(Limit);
  World.run(seconds(10));
  for (std::size_t Entry = 0; Entry < GetParam(); ++Entry)
    World.kill(Entry);
  World.run(milliseconds(500));
  const mono_time Restarted = World.now();
  for (std::size_t Entry = 0; Entry < GetParam(); ++Entry)
    World.restart(Entry);
  World.run(seconds(30));
  EXPECT_LE(World.mostInWindow(Restarted + Grace), allowed(Limit));
}

TEST_P(PermitWorldTest, SumHoldsWhereDatagramsAreLateByHalfASecond) {
  constexpr double Limit = 2;
  world_settings Settings = settings(GetParam());
  Settings.MinDelay = milliseconds(400);
  Settings.MaxDelay = milliseconds(600);
  permit_world World(Settings);
  World.run(seconds(2));
  World.state(Limit);
  const mono_time Stated = World.now();
  World.run(seconds(30));
  EXPECT_LE(World.mostInWindow(Stated + Grace), allowed(Limit));
}

// Guards against a server that stays limited at some entries although it states nothing any more.
TEST_P(PermitWorldTest, AllEntriesLearnThatTheLimitHasEnded) {
  world_settings Settings = settings(GetParam());
  Settings.LostFraction = 0.03;
  permit_world World(Settings);
  World.run(seconds(2));
  World.state(2);
  World.run(seconds(10));
  World.state(std::nullopt);
  World.run(seconds(13));
  EXPECT_EQ(World.knowing(), 0U);
}

} // namespace
} // namespace pollenstall

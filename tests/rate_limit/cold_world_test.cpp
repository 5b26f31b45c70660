/** @file cold_world_test.cpp The sum over all entries keeps the bound of cold servers. */
#include "permit_world.h"

#include "rate_limit/cold_rate_func.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double PerSecond = 17;
constexpr seconds LongCold{600};
constexpr milliseconds ListDelay{20};
/// Time after the start until the issuers have known their entries for long enough.
constexpr seconds Settled{4};

world_settings settings(std::size_t Entries, std::uint64_t Seed = 1) {
  world_settings Settings;
  Settings.Entries = Entries;
  Settings.Seed = Seed;
  Settings.Permits.ColdOvershoot = 1.5;
  Settings.Permits.ColdTolerance = 5;
  return Settings;
}

std::size_t allowed(const world_settings &Settings) {
  return static_cast<std::size_t>(PerSecond * Settings.Permits.ColdOvershoot +
                                  Settings.Permits.ColdTolerance);
}

struct ColdWorldTest : testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(Entries, ColdWorldTest, testing::Values(3, 9, 76, 320));

// Guards against permits that pile up: late datagrams and unused permits of one second that are
// used in the next one.
TEST_P(ColdWorldTest, WaitingWorkUsesTheRateAndNoMore) {
  for (const double Overshoot : {1.0, 1.5})
    for (const double Lost : {0.0, 0.03})
      for (const mono_duration MaxDelay : {milliseconds(4), milliseconds(20)}) {
        // A run at 320 entries takes seconds; it plays the best and the worst network.
        if (GetParam() > 100 && (Lost > 0) != (MaxDelay > milliseconds(4)))
          continue;
        world_settings Settings = settings(GetParam());
        Settings.Permits.ColdOvershoot = Overshoot;
        Settings.Permits.ColdTolerance = Overshoot > 1 ? 5 : 0;
        Settings.LostFraction = Lost;
        Settings.MaxDelay = MaxDelay;
        permit_world World(Settings);
        World.turnCold(PerSecond, LongCold, mono_duration(0), false);
        World.run(Settled);
        const mono_time From = World.now();
        World.run(seconds(20));
        const double Use = static_cast<double>(World.fewestSince(From)) / (20 * PerSecond);
        std::cout << GetParam() << " entries, overshoot " << Overshoot << ", lost " << Lost
                  << ", delay to " << std::chrono::duration<double, std::milli>(MaxDelay).count()
                  << " ms: most in a second " << World.mostInSecond(mono_time()) << " of "
                  << allowed(Settings) << ", use " << Use << "\n";
        EXPECT_LE(World.mostInSecond(mono_time()), allowed(Settings));
        EXPECT_GE(Use, (Lost > 0 ? 0.96 : 1) * 0.9);
      }
}

// Guards against requests that were sent just before the server turned cold, which count too.
TEST_P(ColdWorldTest, ServerThatTurnsColdGetsNoMoreThanTheBound) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    world_settings Settings = settings(GetParam(), Seed);
    Settings.UnlimitedRate = PerSecond * 4;
    permit_world World(Settings);
    World.run(Settled);
    const mono_time Turned = World.now();
    World.turnCold(PerSecond, LongCold, ListDelay, true);
    World.run(ListDelay + milliseconds(20));
    const mono_time Known = World.now();
    World.run(milliseconds(900));
    EXPECT_EQ(World.fewestSince(Known), 0U) << "the issuer waits a second";
    World.run(seconds(5));
    EXPECT_LE(World.mostInSecond(Known), allowed(Settings));
    EXPECT_GE(World.fewestSince(Turned + seconds(2)), PerSecond * 3);
  }
}

// Guards against a new server that stays idle for seconds after its listing.
TEST_P(ColdWorldTest, NeverWarmServerGetsItsFirstPermitsAtOnce) {
  permit_world World(settings(GetParam()));
  World.run(Settled);
  const mono_time Listed = World.now();
  World.turnCold(PerSecond, LongCold, mono_duration(0), false);
  World.run(milliseconds(300));
  EXPECT_GE(World.arrivedSince(Listed), 3U);
}

// Guards against permits that are issued twice, by an issuer that is lost and by its successor.
TEST_P(ColdWorldTest, BoundHoldsWhileTheIssuerIsLost) {
  for (std::uint64_t Seed = 1; Seed <= (GetParam() > 100 ? 1U : 4U); ++Seed)
    for (const std::string Loss : {"killed", "restarted", "frozen", "cut"}) {
      world_settings Settings = settings(GetParam(), Seed);
      Settings.LostFraction = 0.03;
      permit_world World(Settings);
      World.turnCold(PerSecond, LongCold, mono_duration(0), false);
      World.run(seconds(8));
      const std::size_t Issuer = World.issuer();
      if (Loss == "frozen")
        World.freeze(Issuer);
      else if (Loss == "cut")
        World.cut(Issuer);
      else
        World.kill(Issuer);
      World.run(Loss == "restarted" ? mono_duration(milliseconds(300)) : mono_duration(seconds(8)));
      if (Loss == "frozen")
        World.thaw(Issuer);
      else if (Loss == "cut")
        World.heal(Issuer);
      else
        World.restart(Issuer);
      World.run(seconds(12));
      EXPECT_LE(World.mostInSecond(mono_time()), allowed(Settings)) << Loss << " seed " << Seed;
      EXPECT_GE(World.fewestSince(World.now() - seconds(2)), PerSecond * 2 * 0.85)
          << Loss << " seed " << Seed;
    }
}

// Guards against a service whose servers all start at the same time and share a few issuers.
TEST_P(ColdWorldTest, EachServerOfAColdServiceIsUsed) {
  world_settings Settings = settings(GetParam());
  Settings.Servers = GetParam() > 100 ? 12 : 24;
  permit_world World(Settings);
  World.run(Settled);
  World.turnCold(PerSecond, LongCold, ListDelay, false);
  World.run(seconds(2));
  const mono_time From = World.now();
  World.run(seconds(6));
  const double Use = static_cast<double>(World.fewestSince(From)) / (6 * PerSecond);
  std::cout << GetParam() << " entries, " << Settings.Servers << " servers: most in a second "
            << World.mostInSecond(From) << " of " << allowed(Settings) << ", least use " << Use
            << "\n";
  EXPECT_LE(World.mostInSecond(From), allowed(Settings));
  EXPECT_GE(Use, 0.9);
}

} // namespace
} // namespace pollenstall

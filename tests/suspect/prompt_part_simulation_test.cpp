/** @file prompt_part_simulation_test.cpp Simulated fleets in which a part of a prompt crashes
 * servers. */
#include "suspect/suspect.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <numeric>
#include <set>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds StepTime{5};
constexpr milliseconds RestartTime{2'000};
/// From a message of an entry to the control hosts and back to all entries.
constexpr milliseconds ReportTime{25};
constexpr milliseconds ListTime{25};
/// Mean time between crashes of one server, in ms.
constexpr std::uint64_t MeanCrashTime = 48'600;
constexpr milliseconds TroubleAt{10'000};
constexpr milliseconds RunTime{30'000};

struct fleet_plan {
  std::size_t Entries{8};
  std::uint64_t Servers{18};
  double SoundPerSecond{40};
  double BadPerSecond{3};        ///< Requests with a part that crashes, of each such part.
  int BadParts{1};               ///< How many parts crash.
  double CrashShare{1};          ///< Share of the runs with such a part that crash.
  milliseconds CrashInterval{0}; ///< Mean time between other crashes of single servers; 0: none.
  milliseconds DomainLossAt{0};  ///< When a third of the servers crash at once; 0: never.
};

/**
 * Requests have three parts: one that all share, one of 20 client accounts, and one of 5 that are
 * in one of two requests or the part that crashes. Runs wait, then their answer begins, then they
 * end. A run whose server crashes is sent once more.
 */
class fleet_simulation {
public:
  fleet_simulation(const fleet_plan &PlanValues, std::uint64_t Seed)
      : Plan(PlanValues), Random(Seed), Histories(Plan.Entries) {}

  void simulate() {
    for (Now = milliseconds(0); Now < RunTime; Now += StepTime) {
      deliver();
      sendRequests();
      advanceRuns();
      crashOthers();
    }
  }

  std::size_t Crashes{0};   ///< By the parts that crash.
  std::size_t LateSends{0}; ///< Later than 3 s after the fifth crash of their part.
  std::size_t RefusedSound{0};
  std::size_t Sound{0};
  std::optional<milliseconds> BlockedAfter; ///< From the first crash to the first refusal.

private:
  struct run {
    std::vector<request_fingerprint> Parts;
    std::size_t Entry{0};
    std::uint64_t Server{0};
    milliseconds BeginsAt{0};
    milliseconds EndsAt{0};
    bool Begun{false};
    int Bad{-1}; ///< Number of its part that crashes.
    bool Again{false};
  };
  struct report {
    std::vector<request_fingerprint> Fingerprints;
    std::uint64_t Crash{0}; ///< 0: a run has begun.
  };

  static request_fingerprint partOf(std::uint64_t Kind, std::uint64_t Number) {
    const std::uint64_t Id = Kind * 1'000 + Number;
    return {request_fingerprint::AnyAccount, Id, Id, Id};
  }
  [[nodiscard]] mono_time clock() const { return mono_time(std::chrono::hours(1) + Now); }
  [[nodiscard]] milliseconds wall() const { return std::chrono::hours(1) + Now; }
  bool happens(double PerSecond) {
    return Random.below(1'000'000) <
           static_cast<std::uint64_t>(PerSecond * 1'000 * static_cast<double>(StepTime.count()));
  }

  void deliver() {
    while (!Reports.empty() && Reports.begin()->first <= Now) {
      const report Report = std::move(Reports.begin()->second);
      Reports.erase(Reports.begin());
      if (Report.Crash == 0)
        Table.recordRunBegun(Report.Fingerprints.front().High, wall());
      else
        Table.recordCrash(Report.Fingerprints, incarnation(Report.Crash), wall());
    }
    if (Table.version() != ListedVersion) {
      ListedVersion = Table.version();
      PendingLists.emplace(Now + ListTime, suspect_list(Table.published(wall()), clock()));
    }
    while (!PendingLists.empty() && PendingLists.begin()->first <= Now) {
      List = std::move(PendingLists.begin()->second);
      PendingLists.erase(PendingLists.begin());
      giveUpBlocked();
    }
  }

  [[nodiscard]] bool isBlocked(const run &Run) const {
    for (const request_fingerprint &Part : Run.Parts)
      if (List.blockedUntil(Part, clock()))
        return true;
    return false;
  }

  void giveUpBlocked() {
    std::erase_if(Runs, [this](const run &Run) { return !Run.Begun && isBlocked(Run); });
  }

  void start(run Run) {
    if (isBlocked(Run)) {
      RefusedSound += Run.Bad < 0 ? 1 : 0;
      if (Run.Bad >= 0 && FirstCrashAt && !BlockedAfter)
        BlockedAfter = Now - *FirstCrashAt;
      return;
    }
    std::vector<std::uint64_t> Up;
    for (std::uint64_t Server = 0; Server < Plan.Servers; ++Server)
      if (DownUntil[Server] <= Now)
        Up.push_back(Server);
    if (Up.empty())
      return;
    if (Run.Bad >= 0 && FifthCrashAt.contains(Run.Bad) &&
        Now > FifthCrashAt[Run.Bad] + milliseconds(3'000))
      ++LateSends;
    Run.Server = Up[Random.below(Up.size())];
    Run.Begun = false;
    Run.BeginsAt = Now + milliseconds(60 + Random.below(300));
    Run.EndsAt = Run.BeginsAt + milliseconds(200 + Random.below(1'500));
    Runs.push_back(std::move(Run));
  }

  void sendRequests() {
    const auto Send = [this](request_fingerprint Third, int Bad) {
      run Run;
      Run.Parts = {partOf(1, 0), partOf(2, Random.below(20)), Third};
      Run.Entry = Random.below(Plan.Entries);
      Run.Bad = Bad;
      Sound += Bad < 0 ? 1 : 0;
      start(std::move(Run));
    };
    if (happens(Plan.SoundPerSecond))
      Send(partOf(3, Random.below(2) == 0 ? 0 : 1 + Random.below(4)), -1);
    for (int Bad = 0; Bad < Plan.BadParts; ++Bad)
      if (Now >= TroubleAt && happens(Plan.BadPerSecond))
        Send(partOf(4, static_cast<std::uint64_t>(Bad)), Bad);
  }

  void advanceRuns() {
    std::vector<std::pair<std::uint64_t, int>> Crashing;
    for (run &Run : Runs) {
      if (Run.Begun || Run.BeginsAt > Now)
        continue;
      if (Run.Bad >= 0 && static_cast<double>(Random.below(1'000)) < Plan.CrashShare * 1'000) {
        Crashing.emplace_back(Run.Server, Run.Bad);
        continue;
      }
      Run.Begun = true;
      for (const request_fingerprint &Part : Run.Parts) {
        Histories[Run.Entry].recordRunBegun(Part, clock());
        if (List.contains(Part))
          Reports.emplace(Now + ReportTime, report{{Part}, 0});
      }
    }
    std::erase_if(Runs, [this](const run &Run) { return Run.Begun && Run.EndsAt <= Now; });
    for (const auto &[Server, Bad] : Crashing) {
      if (DownUntil[Server] > Now)
        continue;
      ++Crashes;
      if (!FirstCrashAt)
        FirstCrashAt = Now;
      if (++CrashesOf[Bad] == 5)
        FifthCrashAt[Bad] = Now;
      crash(Server);
    }
  }

  void crash(std::uint64_t Server) {
    if (DownUntil[Server] > Now)
      return;
    DownUntil[Server] = Now + RestartTime;
    ++LastCrash;
    std::vector<run> Broken;
    std::erase_if(Runs, [&](const run &Run) {
      if (Run.Server == Server)
        Broken.push_back(Run);
      return Run.Server == Server;
    });
    std::map<std::size_t, std::set<request_fingerprint>> Accused;
    for (const run &Run : Broken)
      if (!Run.Begun)
        Accused[Run.Entry].insert(Run.Parts.begin(), Run.Parts.end());
    for (const auto &[Entry, Parts] : Accused) {
      std::vector<request_fingerprint> Reported;
      for (const request_fingerprint &Part : Parts)
        if (Histories[Entry].recordCrash(Part, clock()))
          Reported.push_back(Part);
      if (!Reported.empty())
        Reports.emplace(Now + ReportTime, report{std::move(Reported), LastCrash});
    }
    for (run &Run : Broken)
      if (!std::exchange(Run.Again, true))
        start(std::move(Run));
  }

  void crashOthers() {
    if (Plan.CrashInterval.count() > 0 &&
        Random.below(static_cast<std::uint64_t>(Plan.CrashInterval / StepTime)) == 0)
      crash(Random.below(Plan.Servers));
    if (Plan.DomainLossAt.count() > 0 && Now == Plan.DomainLossAt)
      for (std::uint64_t Server = 0; Server < Plan.Servers / 3; ++Server)
        crash(Server);
  }

  fleet_plan Plan;
  random_source Random;
  suspect_table Table;
  milliseconds Now{0};
  std::vector<prompt_part_history> Histories;
  suspect_list List;
  std::uint64_t ListedVersion{0};
  std::multimap<milliseconds, suspect_list> PendingLists;
  std::multimap<milliseconds, report> Reports;
  std::vector<run> Runs;
  std::map<std::uint64_t, milliseconds> DownUntil;
  std::map<int, std::size_t> CrashesOf;
  std::map<int, milliseconds> FifthCrashAt;
  std::optional<milliseconds> FirstCrashAt;
  std::uint64_t LastCrash{0};
};

std::uint64_t seeds() {
  const char *Value = std::getenv("POLLENSTALL_SEEDS");
  return Value == nullptr ? 20 : std::strtoull(Value, nullptr, 10);
}

fleet_plan planFor(std::size_t Entries, double BadPerSecond) {
  fleet_plan Plan;
  Plan.Entries = Entries;
  Plan.Servers = std::max<std::uint64_t>(6, 2 * Entries);
  Plan.SoundPerSecond = std::min(190.0, 5.0 * static_cast<double>(Entries));
  Plan.BadPerSecond = BadPerSecond;
  return Plan;
}

/// Simulates each seed and checks what must hold for callers and servers.
void expectBlocked(const fleet_plan &Plan, const std::string &Name) {
  std::size_t Total = 0;
  std::size_t Most = 0;
  std::size_t Refused = 0;
  milliseconds Slowest{0};
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
    fleet_simulation Fleet(Plan, Seed);
    Fleet.simulate();
    EXPECT_LE(Fleet.LateSends, 3U) << Name << ", seed " << Seed;
    EXPECT_EQ(Fleet.RefusedSound, 0U) << Name << ", seed " << Seed << ", of " << Fleet.Sound;
    Total += Fleet.Crashes;
    Most = std::max(Most, Fleet.Crashes);
    Refused += Fleet.RefusedSound;
    Slowest = std::max(Slowest, Fleet.BlockedAfter.value_or(RunTime));
  }
  std::cout << Name << ": crashes " << static_cast<double>(Total) / static_cast<double>(seeds())
            << " on the mean, " << Most << " at most; sound requests refused " << Refused
            << "; first refusal after " << Slowest.count() << " ms at most\n";
}

struct a_part_that_crashes_servers : testing::TestWithParam<std::size_t> {};

// Guards against a part of a prompt that crashes servers in requests of which no two are alike, and
// against a block of the parts that it comes with.
TEST_P(a_part_that_crashes_servers, IsBlockedAndNothingElseIs) {
  for (const double BadPerSecond : {1.0, 3.0, 30.0})
    expectBlocked(planFor(GetParam(), BadPerSecond),
                  std::to_string(GetParam()) + " entries, " +
                      std::to_string(static_cast<int>(BadPerSecond)) + "/s");
}

// Guards against looking for a single cause only.
TEST_P(a_part_that_crashes_servers, IsBlockedBesideAnother) {
  fleet_plan Plan = planFor(GetParam(), 3);
  Plan.BadParts = 2;
  expectBlocked(Plan, std::to_string(GetParam()) + " entries, two parts");
}

// Guards against clearing a part by a single run that did not crash.
TEST_P(a_part_that_crashes_servers, IsBlockedThoughHalfOfItsRunsSucceed) {
  fleet_plan Plan = planFor(GetParam(), 3);
  Plan.CrashShare = 0.5;
  expectBlocked(Plan, std::to_string(GetParam()) + " entries, half of the runs");
}

INSTANTIATE_TEST_SUITE_P(Entries, a_part_that_crashes_servers, testing::Values(3, 8, 59, 195, 320));

// Guards against a block of the part that names the client account: seeds at which one was blocked.
TEST(HarmlessPromptPart, IsNotBlockedAtSeedsThatFailed) {
  constexpr std::uint64_t SeedOfOnePart = 42;
  constexpr std::uint64_t SeedOfTwoParts = 26;
  fleet_simulation OnePart(planFor(8, 1), SeedOfOnePart);
  OnePart.simulate();
  EXPECT_EQ(OnePart.RefusedSound, 0U);
  fleet_plan Plan = planFor(8, 3);
  Plan.BadParts = 2;
  fleet_simulation TwoParts(Plan, SeedOfTwoParts);
  TwoParts.simulate();
  EXPECT_EQ(TwoParts.RefusedSound, 0U);
}

// Guards against a block of a harmless part that is in half of all requests, while servers crash by
// themselves and a failure domain is lost.
TEST(HarmlessPromptPart, IsNeverBlockedWhileServersCrash) {
  std::size_t Refused = 0;
  for (const std::size_t Entries : {3, 8, 59, 320})
    for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
      fleet_plan Plan = planFor(Entries, 0);
      Plan.CrashInterval = milliseconds(MeanCrashTime / Plan.Servers);
      Plan.DomainLossAt = milliseconds(15'000);
      fleet_simulation Fleet(Plan, Seed);
      Fleet.simulate();
      EXPECT_EQ(Fleet.RefusedSound, 0U) << Entries << " entries, seed " << Seed;
      Refused += Fleet.RefusedSound;
      if (Seed == seeds())
        std::cout << Entries << " entries so far: " << Refused << "\n";
    }
  std::cout << "sound requests refused: " << Refused << " in " << 4 * seeds() << " runs\n";
}

} // namespace
} // namespace pollenstall

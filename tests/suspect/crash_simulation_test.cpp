/** @file crash_simulation_test.cpp Simulated backend servers that crash randomly or by a request.
 */
#include "suspect/suspect.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <set>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds StepTime{10};
constexpr milliseconds RunTime{60'000};
constexpr milliseconds RestartTime{2'000};
/// Interval at which the suspects are published. The entries act on a list one interval after it
/// was published.
constexpr milliseconds PublishInterval{100};

struct simulation_plan {
  std::uint64_t Servers{18};
  milliseconds CrashInterval{2'700}; ///< Mean time between random crashes of single servers.
  milliseconds DomainLossAt{20'000}; ///< When a third of the servers crash at once.
  int CopiesPerBurst{0}; ///< Copies of the crashing request sent every 0.3 s, from 5 s on.
};

/// Simulates requests of 100 accounts, dozens of concurrent runs of the same request of one
/// account, and optionally a request that crashes the servers on which it runs.
class crash_simulation {
public:
  crash_simulation(const simulation_plan &PlanValues, std::uint64_t Seed)
      : Plan(PlanValues), Random(Seed) {}

  void simulate() {
    for (Now = milliseconds(0); Now < RunTime; Now += StepTime) {
      sendInnocentRequests();
      sendCrashingRequests();
      endRuns();
      crashAtRandom();
    }
  }

  std::size_t RefusedInnocents{0};
  std::size_t CrashedServers{0}; ///< Crashed by the crashing request.
  std::size_t LateCopies{0};     ///< Crashing requests sent later than 3 s after the third crash.

private:
  struct run {
    request_fingerprint Fingerprint;
    std::uint64_t Server{0};
    milliseconds EndsAt{0};
    bool CausesCrash{false};
  };

  [[nodiscard]] bool isBlocked(const request_fingerprint &Fingerprint) const {
    for (const published_suspect &Suspect : Published)
      if (Suspect.Fingerprint == Fingerprint)
        return Suspect.BlockedFor > Now - PublishedAt;
    return false;
  }
  [[nodiscard]] bool isPublished(const request_fingerprint &Fingerprint) const {
    for (const published_suspect &Suspect : Published)
      if (Suspect.Fingerprint == Fingerprint)
        return true;
    return false;
  }

  /// Lets the entries act on the list that was published one interval ago, and publishes a new one.
  void updatePublished() {
    if (Now - PublishedAt < PublishInterval)
      return;
    Published = std::exchange(NextPublished, Table.published(Now + Epoch));
    PublishedAt = Now;
  }

  void startRun(const request_fingerprint &Fingerprint, milliseconds Duration, bool CausesCrash) {
    std::vector<std::uint64_t> Running;
    for (std::uint64_t Server = 0; Server < Plan.Servers; ++Server)
      if (DownUntil[Server] <= Now)
        Running.push_back(Server);
    if (!Running.empty())
      Runs.push_back(
          {Fingerprint, Running[Random.below(Running.size())], Now + Duration, CausesCrash});
  }

  void sendInnocentRequests() {
    updatePublished();
    const auto Send = [this](const request_fingerprint &Fingerprint, milliseconds Duration) {
      if (isBlocked(Fingerprint))
        ++RefusedInnocents;
      else
        startRun(Fingerprint, Duration, false);
    };
    // 20 distinct requests per second.
    if (Random.below(5) == 0)
      Send({Random.below(100) + 10, ++LastRequest, LastRequest, LastRequest},
           milliseconds(200 + Random.below(3'000)));
    // One request, sent 20 times per second.
    if (Random.below(5) == 0)
      Send(FrequentRequest, milliseconds(200 + Random.below(1'500)));
  }

  void sendCrashingRequests() {
    if (Now < milliseconds(5'000) || Now.count() % 300 != 0)
      return;
    for (int Send = 0; Send < Plan.CopiesPerBurst; ++Send) {
      if (isBlocked(CrashingRequest))
        continue;
      LateCopies += ThirdCrashAt && Now > *ThirdCrashAt + milliseconds(3'000) ? 1 : 0;
      startRun(CrashingRequest, milliseconds(60 + Random.below(150)), true);
    }
  }

  void endRuns() {
    std::vector<run> Ending;
    std::erase_if(Runs, [&](const run &Run) {
      if (Run.EndsAt > Now)
        return false;
      Ending.push_back(Run);
      return true;
    });
    for (const run &Run : Ending) {
      if (Run.CausesCrash && DownUntil[Run.Server] <= Now) {
        ++CrashedServers;
        if (CrashedServers == 3)
          ThirdCrashAt = Now;
        crash(Run.Server, {Run.Fingerprint});
      } else if (!Run.CausesCrash && isPublished(Run.Fingerprint)) {
        Table.clearByHigh(Run.Fingerprint.High);
      }
    }
  }

  void crash(std::uint64_t Server, std::set<request_fingerprint> Fingerprints) {
    if (DownUntil[Server] > Now)
      return;
    DownUntil[Server] = Now + RestartTime;
    std::vector<run> BrokenRuns;
    std::erase_if(Runs, [&](const run &Run) {
      if (Run.Server != Server)
        return false;
      Fingerprints.insert(Run.Fingerprint);
      BrokenRuns.push_back(Run);
      return true;
    });
    Table.recordCrash({Fingerprints.begin(), Fingerprints.end()}, incarnation(++LastIncarnation),
                      Now + Epoch);
    for (const run &Run : BrokenRuns) // Retried at another server.
      if (!isBlocked(Run.Fingerprint))
        startRun(Run.Fingerprint, milliseconds(200 + Random.below(1'500)), Run.CausesCrash);
  }

  void crashAtRandom() {
    if (Random.below(static_cast<std::uint64_t>(Plan.CrashInterval / StepTime)) == 0)
      crash(Random.below(Plan.Servers), {});
    if (Now == Plan.DomainLossAt)
      for (std::uint64_t Server = 0; Server < Plan.Servers / 3; ++Server)
        crash(Server, {});
  }

  const milliseconds Epoch{1'000'000'000};
  const request_fingerprint FrequentRequest{1, 1, 1, 1};
  const request_fingerprint CrashingRequest{2, 2, 2, 2};
  simulation_plan Plan;
  random_source Random;
  suspect_table Table;
  milliseconds Now{0};
  std::map<std::uint64_t, milliseconds> DownUntil;
  std::vector<run> Runs;
  std::vector<published_suspect> Published;
  std::vector<published_suspect> NextPublished;
  milliseconds PublishedAt{0};
  std::optional<milliseconds> ThirdCrashAt;
  std::uint64_t LastIncarnation{0};
  std::uint64_t LastRequest{100};
};

std::uint64_t seeds() {
  const char *Value = std::getenv("POLLENSTALL_SEEDS");
  return Value == nullptr ? 100 : std::strtoull(Value, nullptr, 10);
}

// Guards against refusing innocent requests because servers crash randomly or a failure domain is
// lost.
TEST(CrashSimulationTest, RefusesNoInnocentRequestWhileServersCrashAtRandom) {
  std::size_t Refused = 0;
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
    crash_simulation Simulation({}, Seed);
    Simulation.simulate();
    EXPECT_EQ(Simulation.RefusedInnocents, 0U) << "seed " << Seed;
    Refused += Simulation.RefusedInnocents;
  }
  std::cout << "innocent requests refused: " << Refused << " in " << seeds() << " runs\n";
}

// Guards against a request that continues to crash servers after the third one.
TEST(CrashSimulationTest, BlocksTheRequestThatCrashesServers) {
  std::size_t MaxCrashedServers = 0;
  std::size_t Refused = 0;
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed)
    for (const int Requests : {1, 3}) {
      simulation_plan Plan;
      Plan.CopiesPerBurst = Requests;
      crash_simulation Simulation(Plan, Seed);
      Simulation.simulate();
      EXPECT_LE(Simulation.LateCopies, 3U) << "seed " << Seed << ", " << Requests << " at once";
      MaxCrashedServers = std::max(MaxCrashedServers, Simulation.CrashedServers);
      Refused += Simulation.RefusedInnocents;
    }
  std::cout << "most servers crashed in one run: " << MaxCrashedServers
            << "; innocent requests refused in total: " << Refused << " in " << 2 * seeds()
            << " runs\n";
}

} // namespace
} // namespace pollenstall

/** @file total_loss_test.cpp How soon a log has a leader again after all processes ended. */
#include "consensus/fake_cluster_base.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Voters = 5;
constexpr std::uint64_t Seeds = 60;

replica_options shortTimeouts() {
  replica_options Options;
  Options.MinElectionTimeout = 300ms;
  Options.MaxElectionTimeout = 600ms;
  Options.EarlyElectionTimeout = 37ms;
  Options.HeartbeatInterval = 50ms;
  Options.MaxClockStep = 150ms;
  return Options;
}

/// A fleet whose control hosts all lost their processes, a while after a leader was elected.
struct a_log_without_processes {
  explicit a_log_without_processes(std::uint64_t Seed) : Cluster(Voters, Seed, shortTimeouts()) {
    Cluster.Rates.MaxDelay = 2ms;
    Cluster.Rates.MaxSync = 10ms;
    EXPECT_TRUE(Cluster.runUntil([this] { return Cluster.isWhole(); }));
    EXPECT_TRUE(Cluster.propose(*Cluster.leader()));
    Cluster.run(200ms);
    Former = Cluster.leader()->Id;
    for (fake_host &Host : Cluster.hosts())
      Cluster.crash(Host);
  }

  /// Starts all but one within 60 ms. @return From the last start until a leader has committed.
  mono_duration timeToLeader(std::optional<member_id> Missing) {
    for (fake_host &Host : Cluster.hosts()) {
      Cluster.run(mono_duration(Cluster.random().below(15ms / 1ns)));
      if (Host.Id != Missing)
        Cluster.start(Host);
    }
    mono_duration Took{0};
    while (Cluster.leader() == nullptr && Took < 5s) {
      Cluster.run(1ms);
      Took += 1ms;
    }
    return Took;
  }

  fake_cluster Cluster;
  member_id Former;
};

mono_duration percentile(std::vector<mono_duration> Times, std::size_t Percent) {
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() * Percent / 100];
}

// All control hosts are killed and are back within a second. Requests wait at the entries until a
// leader has told the declaration in force. The former leader answers, so no lease is left that
// voters would have to let pass: what remains is a vote's way and its syncs.
TEST(AfterALossOfAllProcesses, ALeaderIsElectedWithoutAnElectionTimeout) {
  std::vector<mono_duration> Times;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Times.push_back(a_log_without_processes(Seed).timeToLeader(std::nullopt));
  EXPECT_LT(percentile(Times, 50), 100ms);
  // Two that ask in the same moment may share the votes: then a timeout passes, seldom.
  EXPECT_LT(percentile(Times, 90), 150ms);
  EXPECT_LT(percentile(Times, 99), 1500ms);
  std::printf("a leader after a loss of all: p50 %ld ms, p90 %ld ms, most %ld ms\n",
              static_cast<long>(percentile(Times, 50) / 1ms),
              static_cast<long>(percentile(Times, 90) / 1ms),
              static_cast<long>(percentile(Times, 99) / 1ms));
}

// The same, but the former leader's host stays away. Its process may run still, cut off, and hold
// its lease: the others let the minimum timeout pass.
TEST(AfterALossOfAllProcesses, TheLeaseOfALeaderThatIsNotHeardIsWaitedFor) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    a_log_without_processes Log(Seed);
    const mono_duration Took = Log.timeToLeader(Log.Former);
    EXPECT_GE(Took, 225ms) << "seed " << Seed << ": 300 ms from the start of three of them";
    EXPECT_LT(Took, 2s) << "seed " << Seed;
  }
}

} // namespace
} // namespace pollenstall

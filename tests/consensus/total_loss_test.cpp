/** @file total_loss_test.cpp Time to a new leader after a restart of all processes. */
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

/// A cluster in which all processes were killed some time after a leader was elected.
struct a_cluster_without_processes {
  explicit a_cluster_without_processes(std::uint64_t Seed)
      : Cluster(Voters, Seed, shortTimeouts()) {
    Cluster.Rates.MaxDelay = 2ms;
    Cluster.Rates.MaxSync = 10ms;
    EXPECT_TRUE(Cluster.runUntil([this] { return Cluster.hasConverged(); }));
    EXPECT_TRUE(Cluster.propose(*Cluster.leader()));
    Cluster.run(200ms);
    FormerLeader = Cluster.leader()->Id;
    for (fake_host &Host : Cluster.hosts())
      Cluster.crash(Host);
  }

  /// Starts all hosts but AbsentHost within 60 ms. @return The time from the last start until a
  /// leader has committed an entry.
  mono_duration timeToLeader(std::optional<member_id> AbsentHost) {
    for (fake_host &Host : Cluster.hosts()) {
      Cluster.run(mono_duration(Cluster.random().below(15ms / 1ns)));
      if (Host.Id != AbsentHost)
        Cluster.start(Host);
    }
    mono_duration Elapsed{0};
    while (Cluster.leader() == nullptr && Elapsed < 5s) {
      Cluster.run(1ms);
      Elapsed += 1ms;
    }
    return Elapsed;
  }

  fake_cluster Cluster;
  member_id FormerLeader;
};

mono_duration percentile(std::vector<mono_duration> Times, std::size_t Percent) {
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() * Percent / 100];
}

// All control hosts are killed and restart within a second. Requests wait at the entries until a
// leader has sent the declaration in force. The former leader replies, so voters need not wait for
// a lease. The remaining time is that of the vote messages and their syncs.
TEST(AfterARestartOfAllProcesses, ALeaderIsElectedWithoutAnElectionTimeout) {
  std::vector<mono_duration> Times;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Times.push_back(a_cluster_without_processes(Seed).timeToLeader(std::nullopt));
  EXPECT_LT(percentile(Times, 50), 100ms);
  // Rarely, two candidates that start at the same time split the votes and another timeout passes.
  EXPECT_LT(percentile(Times, 90), 150ms);
  EXPECT_LT(percentile(Times, 99), 1500ms);
  std::printf(
      "time to a leader after a restart of all processes: p50 %ld ms, p90 %ld ms, max %ld ms\n",
      static_cast<long>(percentile(Times, 50) / 1ms),
      static_cast<long>(percentile(Times, 90) / 1ms),
      static_cast<long>(percentile(Times, 99) / 1ms));
}

// The former leader's host does not return. Its process may still run behind a partition and hold
// its lease, so the others wait for the minimum election timeout.
TEST(AfterARestartOfAllProcesses, VotersWaitForTheLeaseOfAnAbsentLeader) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    a_cluster_without_processes StoppedCluster(Seed);
    const mono_duration Elapsed = StoppedCluster.timeToLeader(StoppedCluster.FormerLeader);
    EXPECT_GE(Elapsed, 225ms) << "seed " << Seed
                              << ": the timeout of 300 ms begins when three hosts have started";
    EXPECT_LT(Elapsed, 2s) << "seed " << Seed;
  }
}

} // namespace
} // namespace pollenstall

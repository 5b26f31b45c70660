/** @file self_managed_run_test.cpp Randomized runs with automatic replacement of lost members. */
#include "consensus/fake_cluster_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace pollenstall {
namespace {

constexpr std::uint64_t SeedsInCi = 600;
constexpr std::size_t Target = 5;
constexpr std::size_t MaxLostDisks = 2;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t DefaultValue) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? DefaultValue : std::strtoull(Text, nullptr, 10);
}

replica_options selfManaged(random_source &Random) {
  replica_options Options;
  Options.Tolerance = loss_tolerance{.Hosts = MaxLostDisks};
  Options.SnapshotEvery = Random.chance(0.5) ? 10 + Random.below(40) : 100000;
  Options.KeepAfterSnapshot = Random.below(10);
  Options.CaughtUpWithin = Random.below(8);
  return Options;
}

/// Loses at most two disks at a time, so that a quorum remains, while other hosts crash, freeze and
/// are partitioned.
class replacement_run {
public:
  replacement_run(std::size_t Hosts, std::uint64_t Seed, bool SameAddresses)
      : Faults(Seed ^ 0x5E1F), Cluster(Hosts, Seed, selfManaged(Faults)) {
    Cluster.ReplacesLostMembers = true;
    Cluster.SameAddresses = SameAddresses;
  }

  void run() {
    ASSERT_TRUE(survivesLosses()) << "not bootstrapped\n" << Cluster.dumpReplicas();
    for (int Round = 0; Round < 12; ++Round) {
      injectFaults();
      for (std::uint64_t Call = 0; Call < 6; ++Call)
        sendRequest();
      if (Faults.chance(0.4))
        loseDisks();
      Cluster.run(mono_duration(Faults.below(3s / 1ns)));
      if (Faults.chance(0.5)) {
        Cluster.heal();
        ASSERT_TRUE(survivesLosses()) << Cluster.dumpReplicas();
      }
    }
    Cluster.heal();
    ASSERT_TRUE(survivesLosses()) << Cluster.dumpReplicas();
    const std::size_t CommittedBefore = Cluster.checker().committedCount();
    ASSERT_TRUE(Cluster.propose(*Cluster.leader()));
    ASSERT_TRUE(survivesLosses()) << Cluster.dumpReplicas();
    ASSERT_GT(Cluster.checker().committedCount(), CommittedBefore);
  }

  [[nodiscard]] std::uint64_t replaced() const { return ReplacedHosts; }

private:
  bool survivesLosses() {
    return Cluster.runUntil([this] { return Cluster.survivesToleratedLosses(); }, 120s);
  }
  fake_host &randomHost() { return Cluster.hosts()[Faults.below(Cluster.hosts().size())]; }

  void sendRequest() {
    fake_host &Host = Cluster.leader() != nullptr ? *Cluster.leader() : randomHost();
    if (Faults.chance(0.7))
      Cluster.propose(Host);
    else
      Cluster.read(Host);
    Cluster.run(mono_duration(Faults.below(30ms / 1ns)));
  }

  void injectFaults() {
    switch (Faults.below(6)) {
    case 0:
      return Cluster.freeze(randomHost(), mono_duration(Faults.below(4s / 1ns)));
    case 1:
      return Cluster.isolate(Faults.below(Cluster.hosts().size()));
    case 2: {
      // All hosts lose power at the same time and restart at the same time.
      for (fake_host &Host : Cluster.hosts())
        if (Host.Process)
          Cluster.crash(Host);
      Cluster.run(mono_duration(Faults.below(1s / 1ns)));
      for (fake_host &Host : Cluster.hosts())
        Cluster.start(Host);
      return;
    }
    case 3: {
      fake_host &Host = randomHost();
      if (Host.Process)
        Cluster.crash(Host);
      Cluster.start(Host);
      return;
    }
    default:
      return;
    }
  }

  void loseDisks() {
    // Until a host at a new address is a voter, that host and the host that it replaces both count
    // as lost disks.
    if (!Cluster.SameAddresses && !Cluster.survivesToleratedLosses())
      return;
    if (!Cluster.SameAddresses)
      return loseDiskIfAllowed(randomHost());
    const std::uint64_t Count = 1 + Faults.below(2);
    for (std::uint64_t DisksLost = 0; DisksLost < Count; ++DisksLost)
      loseDiskIfAllowed(randomHost());
  }

  /// At most two hosts may be without their disks at a time, be they voters or learners. A host
  /// counts until the cluster has its target number of voters again.
  void loseDiskIfAllowed(fake_host &Host) {
    if (Cluster.survivesToleratedLosses())
      HostsWithoutDisk.clear();
    const auto HostIndex = static_cast<std::size_t>(&Host - Cluster.hosts().data());
    const std::size_t Others = HostsWithoutDisk.size() - HostsWithoutDisk.count(HostIndex);
    if (Others >= MaxLostDisks)
      return;
    HostsWithoutDisk.insert(HostIndex);
    ++ReplacedHosts;
    Cluster.replace(Host);
  }

  random_source Faults;
  fake_cluster Cluster;
  std::set<std::size_t> HostsWithoutDisk; ///< Indexes in hosts().
  std::uint64_t ReplacedHosts{0};
};

void runAll(bool SameAddresses) {
  const std::uint64_t Seeds = fromEnvironment("POLLENSTALL_SEEDS", SeedsInCi);
  const std::uint64_t First = fromEnvironment("POLLENSTALL_FIRST_SEED", 1);
  std::uint64_t ReplacedHosts = 0;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    replacement_run Run(Seed % 2 == 0 ? Target : Target + 1, Seed, SameAddresses);
    Run.run();
    ReplacedHosts += Run.replaced();
    ASSERT_FALSE(testing::Test::HasFatalFailure()) << "failing seed: " << Seed;
  }
  std::printf("self-managed random run: schedules %llu replaced %llu\n",
              static_cast<unsigned long long>(Seeds),
              static_cast<unsigned long long>(ReplacedHosts));
}

TEST(SelfManagedRun, LosesNothingIfHostsReturnEmptyAtTheSameAddresses) { runAll(true); }
TEST(SelfManagedRun, LosesNothingIfHostsAreReplacedAtOtherAddresses) { runAll(false); }

/// Starts the hosts in the given order and expects that they bootstrap one cluster.
void expectOneCluster(const std::vector<std::size_t> &Order, mono_duration StartInterval) {
  random_source Options(1);
  fake_cluster Cluster(Target, 1 + Order[0], selfManaged(Options));
  Cluster.ReplacesLostMembers = true;
  for (fake_host &Host : Cluster.hosts())
    Cluster.crash(Host);
  for (const std::size_t HostIndex : Order) {
    EXPECT_EQ(Cluster.leader(), nullptr) << "a change could be accepted by too few disks";
    Cluster.start(Cluster.hosts()[HostIndex]);
    Cluster.run(StartInterval);
  }
  ASSERT_TRUE(Cluster.runUntil([&Cluster] { return Cluster.survivesToleratedLosses(); }, 30s))
      << Cluster.dumpReplicas();
  std::set<cluster_id> Logs;
  for (const fake_host &Host : Cluster.hosts())
    Logs.insert(Cluster.statusOf(Host).Members.Cluster);
  EXPECT_EQ(Logs.size(), 1U);
  EXPECT_EQ(*Logs.begin(), Cluster.statusOf(Cluster.hosts()[0]).Members.Cluster);
}

// Five hosts with empty disks start shortly after each other in any order, and messages to a host
// that has not started are lost. In each order all five must bootstrap one cluster, and no change
// may be committed before.
TEST(SelfManagedStart, BootstrapsOneClusterInEveryStartOrder) {
  std::vector<std::size_t> Order{0, 1, 2, 3, 4};
  std::size_t Orders = 0;
  do {
    expectOneCluster(Order, 50ms);
    expectOneCluster(Order, 700ms);
    ASSERT_FALSE(testing::Test::HasFailure()) << "order " << Orders;
    ++Orders;
  } while (std::next_permutation(Order.begin(), Order.end()));
  EXPECT_EQ(Orders, 120U);
}

} // namespace
} // namespace pollenstall

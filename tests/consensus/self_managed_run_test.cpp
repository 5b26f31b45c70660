/** @file self_managed_run_test.cpp Random runs in which hosts come back as other members and nobody
 * repairs by hand. */
#include "consensus/fake_cluster_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace pollenstall {
namespace {

constexpr std::uint64_t SeedsInCi = 600;
constexpr std::size_t Target = 5;
constexpr std::size_t Tolerated = 2;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Otherwise) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Otherwise : std::strtoull(Text, nullptr, 10);
}

replica_options selfManaged(random_source &Random) {
  replica_options Options;
  Options.TargetVoters = Target;
  Options.SnapshotEvery = Random.chance(0.5) ? 10 + Random.below(40) : 100000;
  Options.KeepAfterSnapshot = Random.below(10);
  Options.CaughtUpWithin = Random.below(8);
  return Options;
}

/// Disks are lost, two at once at most and never more than leave a quorum, while the others crash,
/// freeze and are cut off.
class replacement_run {
public:
  replacement_run(std::size_t Hosts, std::uint64_t Seed, bool SameAddresses)
      : Faults(Seed ^ 0x5E1F), Cluster(Hosts, Seed, selfManaged(Faults)) {
    Cluster.SelfManaged = true;
    Cluster.SameAddresses = SameAddresses;
  }

  void run() {
    ASSERT_TRUE(settles()) << "not founded\n" << Cluster.dumps();
    for (int Round = 0; Round < 12; ++Round) {
      disturb();
      for (std::uint64_t Call = 0; Call < 6; ++Call)
        call();
      if (Faults.chance(0.4))
        loseDisks();
      Cluster.run(mono_duration(Faults.below(3s / 1ns)));
      if (Faults.chance(0.5)) {
        Cluster.heal();
        ASSERT_TRUE(settles()) << Cluster.dumps();
      }
    }
    Cluster.heal();
    ASSERT_TRUE(settles()) << Cluster.dumps();
    const std::size_t Before = Cluster.checker().committedCount();
    ASSERT_TRUE(Cluster.propose(*Cluster.leader()));
    ASSERT_TRUE(settles()) << Cluster.dumps();
    ASSERT_GT(Cluster.checker().committedCount(), Before);
  }

  [[nodiscard]] std::uint64_t replaced() const { return Replaced; }

private:
  bool settles() {
    return Cluster.runUntil([this] { return Cluster.hasTargetVoters(); }, 120s);
  }
  fake_host &anyHost() { return Cluster.hosts()[Faults.below(Cluster.hosts().size())]; }

  void call() {
    fake_host &Host = Cluster.leader() != nullptr ? *Cluster.leader() : anyHost();
    if (Faults.chance(0.7))
      Cluster.propose(Host);
    else
      Cluster.read(Host);
    Cluster.run(mono_duration(Faults.below(30ms / 1ns)));
  }

  void disturb() {
    switch (Faults.below(6)) {
    case 0:
      return Cluster.freeze(anyHost(), mono_duration(Faults.below(4s / 1ns)));
    case 1:
      return Cluster.cutOff(Faults.below(Cluster.hosts().size()));
    case 2: {
      // All lose power in one moment and are back in another.
      for (fake_host &Host : Cluster.hosts())
        if (Host.Process)
          Cluster.crash(Host);
      Cluster.run(mono_duration(Faults.below(1s / 1ns)));
      for (fake_host &Host : Cluster.hosts())
        Cluster.start(Host);
      return;
    }
    case 3: {
      fake_host &Host = anyHost();
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
    // A host at a new address and the one that it stands for both count as lost until it votes.
    if (!Cluster.SameAddresses && !Cluster.hasTargetVoters())
      return;
    if (!Cluster.SameAddresses)
      return loseDiskIfAllowed(anyHost());
    const std::uint64_t Count = 1 + Faults.below(2);
    for (std::uint64_t Lost = 0; Lost < Count; ++Lost)
      loseDiskIfAllowed(anyHost());
  }

  /// Two hosts may be without their disks at once, whether they vote, are about to, or stand by;
  /// one that lost its disk counts until the log has all its voters again.
  void loseDiskIfAllowed(fake_host &Host) {
    if (Cluster.hasTargetVoters())
      Emptied.clear();
    const auto Place = static_cast<std::size_t>(&Host - Cluster.hosts().data());
    const std::size_t Others = Emptied.size() - Emptied.count(Place);
    if (Others >= Tolerated)
      return;
    Emptied.insert(Place);
    ++Replaced;
    Cluster.replace(Host);
  }

  random_source Faults;
  fake_cluster Cluster;
  std::set<std::size_t> Emptied; ///< Hosts, by their places.
  std::uint64_t Replaced{0};
};

void runAll(bool SameAddresses) {
  const std::uint64_t Seeds = fromEnvironment("POLLENSTALL_SEEDS", SeedsInCi);
  const std::uint64_t First = fromEnvironment("POLLENSTALL_FIRST_SEED", 1);
  std::uint64_t Replaced = 0;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    replacement_run Run(Seed % 2 == 0 ? Target : Target + 1, Seed, SameAddresses);
    Run.run();
    Replaced += Run.replaced();
    ASSERT_FALSE(testing::Test::HasFatalFailure()) << "failing seed: " << Seed;
  }
  std::printf("self-managed random run: schedules %llu replaced %llu\n",
              static_cast<unsigned long long>(Seeds), static_cast<unsigned long long>(Replaced));
}

TEST(SelfManagedRun, LosesNothingWhileEmptiedHostsComeBackWhereTheyWere) { runAll(true); }
TEST(SelfManagedRun, LosesNothingWhileHostsAreReplacedAtOtherAddresses) { runAll(false); }

/// Hosts that start one after the other, each a moment after the one before.
void expectOneLog(const std::vector<std::size_t> &Order, mono_duration Apart) {
  random_source Options(1);
  fake_cluster Cluster(Target, 1 + Order[0], selfManaged(Options));
  Cluster.SelfManaged = true;
  for (fake_host &Host : Cluster.hosts())
    Cluster.crash(Host);
  for (const std::size_t Place : Order) {
    EXPECT_EQ(Cluster.leader(), nullptr) << "a change could be accepted by too few disks";
    Cluster.start(Cluster.hosts()[Place]);
    Cluster.run(Apart);
  }
  ASSERT_TRUE(Cluster.runUntil([&Cluster] { return Cluster.hasTargetVoters(); }, 30s))
      << Cluster.dumps();
  std::set<cluster_id> Logs;
  for (const fake_host &Host : Cluster.hosts())
    Logs.insert(Cluster.statusOf(Host).Members.Cluster);
  EXPECT_EQ(Logs.size(), 1U);
  EXPECT_EQ(*Logs.begin(), Cluster.statusOf(Cluster.hosts()[0]).Members.Cluster);
}

// Five hosts with empty disks start within a second in any order; the others are not listening yet.
// Whatever the order, one log is founded, by all five, and nothing is accepted before.
TEST(SelfManagedStart, FoundsOneLogInEveryOrderOfStarts) {
  std::vector<std::size_t> Order{0, 1, 2, 3, 4};
  std::size_t Orders = 0;
  do {
    expectOneLog(Order, 50ms);
    expectOneLog(Order, 700ms);
    ASSERT_FALSE(testing::Test::HasFailure()) << "order " << Orders;
    ++Orders;
  } while (std::next_permutation(Order.begin(), Order.end()));
  EXPECT_EQ(Orders, 120U);
}

} // namespace
} // namespace pollenstall

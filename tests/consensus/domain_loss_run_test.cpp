/** @file domain_loss_run_test.cpp Randomized runs in which whole failure domains lose their disks.
 */
#include "consensus/fake_cluster_base.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

namespace pollenstall {
namespace {

constexpr std::uint64_t SeedsInCi = 60;
constexpr int Rounds = 6;

struct domain_run {
  const char *Name;
  std::vector<std::size_t> HostsByDomain;
  loss_tolerance Tolerance;
};

replica_options optionsFor(const domain_run &Run, random_source &Random) {
  replica_options Options;
  Options.Tolerance = Run.Tolerance;
  Options.SnapshotEvery = Random.chance(0.5) ? 10 + Random.below(40) : 100000;
  Options.KeepAfterSnapshot = Random.below(10);
  return Options;
}

/// Control hosts in failure domains, one of which loses its disks at a time.
class domains_of_hosts {
public:
  domains_of_hosts(const domain_run &Run, std::uint64_t Seed)
      : Domains(Run.HostsByDomain.size()), Faults(Seed ^ 0xD03A1),
        Cluster(totalOf(Run), Seed, optionsFor(Run, Faults)) {
    Cluster.ReplacesLostMembers = true;
    Cluster.SameAddresses = Faults.chance(0.5);
    for (std::size_t Domain = 0; Domain < Domains; ++Domain)
      for (std::size_t Host = 0; Host < Run.HostsByDomain[Domain]; ++Host)
        Cluster.Domains.emplace_back("domain-" + std::to_string(Domain));
  }

  void run() {
    ASSERT_TRUE(survivesAgain()) << "not bootstrapped\n" << Cluster.dumpReplicas();
    for (int Round = 0; Round < Rounds; ++Round) {
      for (std::uint64_t Call = Faults.below(5); Call > 0; --Call)
        Cluster.propose(*Cluster.leader());
      Cluster.run(mono_duration(Faults.below(30ms / 1ns)));
      const std::size_t Committed = Cluster.checker().committedCount();
      if (Faults.chance(0.3))
        restartAll();
      loseDomain(failure_domain_name("domain-" + std::to_string(Faults.below(Domains))));
      ASSERT_TRUE(survivesAgain()) << Cluster.dumpReplicas();
      ASSERT_TRUE(Cluster.propose(*Cluster.leader()));
      ASSERT_TRUE(survivesAgain()) << Cluster.dumpReplicas();
      ASSERT_GT(Cluster.checker().committedCount(), Committed);
    }
  }

private:
  static std::size_t totalOf(const domain_run &Run) {
    std::size_t Hosts = 0;
    for (const std::size_t Count : Run.HostsByDomain)
      Hosts += Count;
    return Hosts;
  }

  void restartAll() {
    for (fake_host &Host : Cluster.hosts())
      Cluster.crash(Host);
    for (fake_host &Host : Cluster.hosts())
      Cluster.start(Host);
  }

  void loseDomain(const failure_domain_name &Domain) {
    for (std::size_t Host = 0; Host < Cluster.hosts().size(); ++Host)
      if (Cluster.Domains[Host] == Domain)
        Cluster.replace(Cluster.hosts()[Host]);
  }

  bool survivesAgain() {
    return Cluster.runUntil([this] { return Cluster.survivesToleratedLosses(); }, 120s);
  }

  std::size_t Domains;
  random_source Faults;
  fake_cluster Cluster;
};

struct a_log_across_domains : testing::TestWithParam<domain_run> {};

// All disks of one failure domain come back empty, at times after a restart of every process. What
// was acknowledged must still be there, and the voters must again survive the loss of any domain.
TEST_P(a_log_across_domains, LosesNothingIfOneDomainLosesItsDisks) {
  const char *Text = std::getenv("POLLENSTALL_SEEDS");
  const std::uint64_t Seeds = Text == nullptr ? SeedsInCi : std::strtoull(Text, nullptr, 10);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    domains_of_hosts(GetParam(), Seed).run();
    ASSERT_FALSE(HasFatalFailure()) << "failing seed: " << Seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Layouts, a_log_across_domains,
                         testing::Values(domain_run{"2_2_1", {2, 2, 1}, {0, 1, 0}},
                                         domain_run{"2_2_1_and_two_hosts", {2, 2, 1}, {2, 1, 0}},
                                         domain_run{"3_1_1", {3, 1, 1}, {1, 1, 0}},
                                         domain_run{"3_2_2", {3, 2, 2}, {2, 1, 0}},
                                         domain_run{"1_1_1_1_1", {1, 1, 1, 1, 1}, {0, 2, 0}}),
                         [](const auto &Run) { return std::string(Run.param.Name); });

} // namespace
} // namespace pollenstall

/** @file domain_loss_test.cpp Control hosts of one failure domain lose their disks. */
#include "control/control_cluster.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Ok = 200;
constexpr const char *OneDomain = "tolerated_losses = 0\ntolerated_domains = 1\n";

/// Five control hosts in three failure domains.
struct five_control_hosts {
  explicit five_control_hosts(const std::string &Tolerance)
      : Cluster({{"a", "b", "c", "a", "b"}, Tolerance}) {}

  void acceptChanges(std::uint64_t Count) {
    for (; Count > 0; --Count, ++Revision)
      ASSERT_EQ(Cluster.change("c" + std::to_string(Revision), Revision, declarationText(1)).Status,
                Ok);
  }

  /// Waits until the leader reports that its voters survive what the settings name.
  void waitUntilMet(std::size_t Domains) {
    EXPECT_TRUE(eventually([&] {
      const auto Status = Cluster.status(Cluster.waitForLeader());
      if (!Status.at("tolerance").is_object())
        return false;
      const auto &Tolerance = Status.at("tolerance").as_object();
      return Tolerance.at("met").as_bool() &&
             Tolerance.at("domains").to_number<std::size_t>() == Domains;
    })) << Cluster.get(Cluster.waitForLeader(), "/v1/status").Body;
  }

  /// The hosts of the first domain are killed and come back with empty disks.
  void loseDisksOfFirstDomain() {
    for (const std::size_t Host : {0U, 3U})
      Cluster.kill(Host);
    for (const std::size_t Host : {0U, 3U}) {
      Cluster.loseDisk(Host);
      Cluster.start(Host);
    }
  }

  control_cluster Cluster;
  std::uint64_t Revision{0};
};

// Five hosts in three domains made one voter, since the tolerance of one domain was not read. The
// disks of that voter's domain were lost right after an acknowledgement, and every read was
// answered 503 from then on.
TEST(DomainLoss, KeepsWhatWasAcknowledged) {
  five_control_hosts Hosts(OneDomain);
  Hosts.acceptChanges(3);
  Hosts.loseDisksOfFirstDomain();
  Hosts.acceptChanges(2);
  Hosts.waitUntilMet(1);
}

// Each host restarts with settings that tolerate a domain, which the settings before did not.
TEST(DomainLoss, KeepsWhatWasAcknowledgedOnceHostsRestartedWithTheTolerance) {
  five_control_hosts Hosts("tolerated_losses = 0\n");
  Hosts.acceptChanges(2);
  Hosts.Cluster.setTolerance(OneDomain);
  for (std::size_t Host = 0; Host < Hosts.Cluster.size(); ++Host) {
    Hosts.Cluster.terminate(Host);
    Hosts.Cluster.start(Host);
    Hosts.Cluster.waitForLeader();
  }
  Hosts.waitUntilMet(1);
  Hosts.acceptChanges(1);
  Hosts.loseDisksOfFirstDomain();
  Hosts.acceptChanges(2);
}

// Two failure domains never survive the loss of either. Changes are accepted all the same, and the
// status and the log say what is survived.
TEST(DomainLoss, OfTwoDomainsIsReportedAsNotSurvived) {
  control_cluster Cluster({{"a", "a", "b", "b"}, OneDomain});
  EXPECT_EQ(Cluster.change("c0", 0, declarationText(1)).Status, Ok);
  const std::size_t Leader = Cluster.waitForLeader();
  EXPECT_TRUE(eventually([&] { return Cluster.status(Leader).at("tolerance").is_object(); }));
  const auto Status = Cluster.status(Leader);
  const auto &Tolerance = Status.at("tolerance").as_object();
  EXPECT_FALSE(Tolerance.at("met").as_bool());
  EXPECT_EQ(Tolerance.at("survived_domains").to_number<int>(), 0);
  EXPECT_EQ(Tolerance.at("survived_hosts").to_number<int>(), 1);
  EXPECT_NE(Cluster.log(Leader).find("tolerance_not_met"), std::string::npos);
}

} // namespace
} // namespace pollenstall

/** @file disk_test.cpp A control host loses its disk; right after the repair another host is lost.
 */
#include "control/control_cluster.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Ok = 200;

class DiskLossTest : public testing::Test {
protected:
  control_cluster Cluster;
};

TEST_F(DiskLossTest, ReadmitsTheMemberAndSurvivesASecondLoss) {
  // A follower restarts with an empty disk. It has lost its votes and entries, so it must not count
  // until it is admitted again and has caught up; the status reports that. Right after that the
  // leader is lost permanently: every accepted change must still exist.
  const std::size_t Leader = Cluster.waitForLeader();
  const std::size_t Lost = (Leader + 1) % Cluster.size();
  std::uint64_t Base = 0;
  for (; Base < 10; ++Base)
    ASSERT_EQ(Cluster.change("a" + std::to_string(Base), Base, declarationText(1)).Status, Ok);
  Cluster.kill(Lost);
  Cluster.loseDisk(Lost);
  Cluster.start(Lost);
  ASSERT_TRUE(eventually([&] { return Cluster.asksAdmission(Leader, Lost + 1); }));
  EXPECT_TRUE(Cluster.status(Leader).at("repair_unfinished").as_bool());
  for (; Base < 20; ++Base)
    ASSERT_EQ(Cluster.change("a" + std::to_string(Base), Base, declarationText(2)).Status, Ok);

  const std::string Admit = R"({"action":"admit","member":)" + std::to_string(Lost + 1) + "}";
  ASSERT_TRUE(eventually([&] { return Cluster.post(Leader, "/v1/members", Admit).Status == Ok; }));
  ASSERT_TRUE(eventually([&] { return Cluster.repairIsFinished(Leader); }))
      << Cluster.get(Leader, "/v1/status").Body;
  Cluster.kill(Leader);

  const auto Again = Cluster.change("a0", 0, declarationText(1));
  ASSERT_EQ(Again.Status, Ok) << Again.Body;
  EXPECT_TRUE(Again.json().as_object().at("repeated").as_bool());
  const auto More = Cluster.change("more", Base, declarationText(3));
  EXPECT_EQ(More.Status, Ok) << More.Body;
  const std::size_t Next = Cluster.waitForLeader();
  const auto History = objectIn(Cluster.get(Next, "/v1/history"));
  EXPECT_EQ(History.at("changes").as_array().size(), 21U);
}

TEST_F(DiskLossTest, OfTheBootstrapHostStartsNoOtherLog) {
  // The host with "bootstrap" in its settings restarts with an empty disk. If it bootstrapped
  // another log, operators who reach it would see an empty declaration.
  Cluster.waitForLeader();
  ASSERT_EQ(Cluster.change("kept", 0, declarationText(1)).Status, Ok);
  Cluster.kill(0);
  Cluster.loseDisk(0);
  Cluster.start(0);
  const std::size_t Leader = Cluster.waitForLeader(0);
  ASSERT_TRUE(eventually([&] { return Cluster.asksAdmission(Leader, 1); }));
  EXPECT_NE(Cluster.get(0, "/v1/declaration").Status, Ok);
  EXPECT_FALSE(Cluster.status(0).at("serving").as_bool());
}

} // namespace
} // namespace pollenstall

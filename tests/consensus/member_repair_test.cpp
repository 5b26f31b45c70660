/** @file member_repair_test.cpp Who is replaced, and who is not. */
#include "consensus/replica_driver_base.h"

namespace pollenstall {
namespace {

member_progress heard(std::uint64_t Id, member_standing Standing, mono_span Since) {
  return {{{member_id(Id), disk_identity(Id)}, Standing}, log_index(100), Since};
}

/// Five voters, the leader among them; the test says how long the others have been silent.
struct a_leader_of_five : testing::Test {
  member_repair_options Options{.TargetVoters = 5};
  replica_status Status;

  void SetUp() override {
    Status.Role = replica_role::Leader;
    Status.LeaseValid = true;
    Status.LastIndex = log_index(100);
    Status.Members.Cluster = TestCluster;
    for (std::uint64_t Id = 1; Id <= 5; ++Id)
      Status.Members.Members.push_back(
          {{member_id(Id), disk_identity(Id)}, member_standing::Voter});
    for (std::uint64_t Id = 2; Id <= 5; ++Id)
      Status.Progress.push_back(heard(Id, member_standing::Voter, 50ms));
  }
  void silence(std::size_t Place) { Status.Progress[Place].SinceHeard = 3s; }
  void standBy(mono_span Since = 50ms) {
    Status.Progress.push_back(heard(9, member_standing::Learner, Since));
  }
};

TEST_F(a_leader_of_five, KeepsALostVoterWhileNobodyStandsBy) {
  silence(0);
  EXPECT_EQ(memberToExpel(Status, Options), std::nullopt);
}

TEST_F(a_leader_of_five, ReplacesALostVoterByOneThatHasCaughtUp) {
  silence(0);
  standBy();
  EXPECT_EQ(memberToExpel(Status, Options), member_id(2));
  Status.Progress.back().Match = log_index(1);
  EXPECT_EQ(memberToExpel(Status, Options), std::nullopt) << "it has not caught up";
}

TEST_F(a_leader_of_five, ReplacesNobodyThatAnswers) {
  standBy();
  EXPECT_EQ(memberToExpel(Status, Options), std::nullopt);
}

// Three voters are silent: with the leader two answer, and no change of members could be committed.
TEST_F(a_leader_of_five, ChangesNothingThatNoQuorumCouldCommit) {
  silence(0);
  silence(1);
  silence(2);
  standBy();
  EXPECT_EQ(memberToExpel(Status, Options), std::nullopt);
}

TEST_F(a_leader_of_five, WaitsForThePromotionBeforeItReplacesASecondOne) {
  silence(0);
  silence(1);
  standBy();
  Status.Members = withoutMember(Status.Members, member_id(2));
  Status.Progress.erase(Status.Progress.begin());
  EXPECT_EQ(memberToExpel(Status, Options), std::nullopt);
}

TEST_F(a_leader_of_five, ForgetsALearnerThatIsGone) {
  standBy(11s);
  EXPECT_EQ(memberToExpel(Status, Options), member_id(9));
}

TEST_F(a_leader_of_five, DoesNothingWithoutItsLease) {
  silence(0);
  standBy();
  Status.LeaseValid = false;
  EXPECT_EQ(memberToExpel(Status, Options), std::nullopt);
}

struct a_founder_with_a_target : ReplicaTest {
  void SetUp() override {
    Founds = true;
    replica_options Bounds;
    Bounds.TargetVoters = 3;
    start({}, Bounds);
  }
  void askFrom(const member_key &From) {
    Replica->learnPeer(From.Member);
    Replica->receive({{}, From, MemberA, {}, admission_request{}}, Now);
    collect();
  }
};

// The first change may be accepted only by as many disks as outlive the loss that is to be borne,
// so the log is not founded by fewer.
TEST_F(a_founder_with_a_target, WaitsForSoManyEmptyDisks) {
  askFrom(MemberB);
  pass(5s);
  EXPECT_TRUE(status().Empty);
  askFrom(MemberC);
  pass(100ms);
  EXPECT_EQ(status().Members, threeVoters());
}

TEST_F(a_founder_with_a_target, LetsNoMoreVoteThanTheTarget) {
  const member_key More{member_id(4), disk_identity(14)};
  askFrom(MemberB);
  askFrom(More);
  askFrom(MemberC);
  pass(100ms);
  EXPECT_EQ(voterCount(status().Members), 3U);
}

} // namespace
} // namespace pollenstall

/** @file member_repair_test.cpp Who is replaced, and who is not. */
#include "consensus/replica_driver_base.h"

namespace pollenstall {
namespace {

member_progress heard(std::uint64_t Id, voting_status VotingStatus, mono_duration Since) {
  return {{{member_id(Id), disk_identity(Id)}, VotingStatus}, log_index(100), Since};
}

/// Five voters, the leader among them; the test says how long the others have been silent.
struct a_leader_of_five : testing::Test {
  member_repair_options Options{.TargetVoters = 5};
  replica_status Status;
  std::set<member_id> Emptied;

  void SetUp() override {
    Status.Role = replica_role::Leader;
    Status.LeaseValid = true;
    Status.LastIndex = log_index(100);
    Status.Members.Cluster = TestCluster;
    for (std::uint64_t Id = 1; Id <= 5; ++Id)
      Status.Members.Members.push_back({{member_id(Id), disk_identity(Id)}, voting_status::Voter});
    for (std::uint64_t Id = 2; Id <= 5; ++Id)
      Status.Progress.push_back(heard(Id, voting_status::Voter, 50ms));
  }
  [[nodiscard]] std::optional<member_change> repair() const {
    return nextMemberRepair(Status, Emptied, Options);
  }
  void silence(std::size_t Place) { Status.Progress[Place].SinceLastReply = 3s; }
  void standBy(mono_duration Since = 50ms) {
    Status.Progress.push_back(heard(9, voting_status::Learner, Since));
  }
};

TEST_F(a_leader_of_five, KeepsALostVoterWhileNobodyStandsBy) {
  silence(0);
  EXPECT_EQ(repair(), std::nullopt);
}

// The silent voter may only be cut off, with its disk and all that it has promised. Were it
// expelled first, two lost disks among the four that are left would end the log for good, although
// three of the five disks are there.
TEST_F(a_leader_of_five, PromotesAnotherBeforeItGivesASilentVoterUp) {
  silence(0);
  standBy();
  EXPECT_EQ(repair(), member_change(promote_member{{member_id(9), disk_identity(9)}}));
  Status.Progress.back().Member.VotingStatus = voting_status::Voter;
  Status.Members = withVoter(withLearner(Status.Members, {member_id(9), disk_identity(9)}),
                             {member_id(9), disk_identity(9)});
  EXPECT_EQ(repair(), member_change(expel_member{member_id(2)}));
}

// Two disks are known to be gone: the other three are the quorum of five. A sixth voter would ask
// for a fourth that has only just come.
TEST_F(a_leader_of_five, ExpelsFirstWhereTheDiskIsKnownToBeGone) {
  silence(0);
  silence(1);
  standBy();
  Emptied = {member_id(2), member_id(3)};
  EXPECT_EQ(repair(), member_change(expel_member{member_id(2)}));
}

TEST_F(a_leader_of_five, LetsNobodyVoteThatHasNotCaughtUp) {
  silence(0);
  standBy();
  Status.Progress.back().Match = log_index(1);
  EXPECT_EQ(repair(), std::nullopt);
}

TEST_F(a_leader_of_five, ReplacesNobodyThatAnswers) {
  standBy();
  EXPECT_EQ(repair(), std::nullopt);
}

// Three voters are silent: with the leader two answer, and no change of members could be committed.
TEST_F(a_leader_of_five, ChangesNothingThatNoQuorumCouldCommit) {
  silence(0);
  silence(1);
  silence(2);
  standBy();
  EXPECT_EQ(repair(), std::nullopt);
}

TEST_F(a_leader_of_five, WaitsForThePromotionBeforeItReplacesASecondOne) {
  silence(0);
  silence(1);
  standBy();
  Emptied = {member_id(2), member_id(3)};
  Status.Members = withoutMember(Status.Members, member_id(2));
  Status.Progress.erase(Status.Progress.begin());
  EXPECT_EQ(repair(), std::nullopt);
}

TEST_F(a_leader_of_five, ForgetsALearnerThatIsGone) {
  standBy(11s);
  EXPECT_EQ(repair(), member_change(expel_member{member_id(9)}));
}

TEST_F(a_leader_of_five, DoesNothingWithoutItsLease) {
  silence(0);
  standBy();
  Status.LeaseValid = false;
  EXPECT_EQ(repair(), std::nullopt);
}

struct a_founder_with_a_target : ReplicaTest {
  void SetUp() override {
    Founds = true;
    replica_options Bounds;
    Bounds.TargetVoters = 3;
    start({}, Bounds);
  }
  void askFrom(const member_key &From) {
    Replica->addPeer(From.Member);
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

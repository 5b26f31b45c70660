/** @file member_repair_test.cpp Tests of the automatic replacement of lost members. */
#include "consensus/replica_driver_base.h"

namespace pollenstall {
namespace {

member_progress makeProgress(std::uint64_t Id, voting_status VotingStatus,
                             mono_duration SinceReply) {
  return {{{member_id(Id), disk_identity(Id)}, VotingStatus}, log_index(100), SinceReply};
}

/// Five voters including the leader; the test sets the times since their last replies.
struct a_leader_of_five : testing::Test {
  member_repair_options Options{.Tolerance = loss_tolerance{.Hosts = 2}};
  replica_status Status;
  std::set<member_id> MembersWithoutDisk;

  void SetUp() override {
    Status.Self = {member_id(1), disk_identity(1)};
    Status.Role = replica_role::Leader;
    Status.LeaseValid = true;
    Status.LastIndex = log_index(100);
    Status.Members.Cluster = TestCluster;
    for (std::uint64_t Id = 1; Id <= 5; ++Id)
      Status.Members.Members.push_back({{member_id(Id), disk_identity(Id)}, voting_status::Voter});
    for (std::uint64_t Id = 2; Id <= 5; ++Id)
      Status.Progress.push_back(makeProgress(Id, voting_status::Voter, 50ms));
  }
  [[nodiscard]] std::optional<member_change> nextRepair() const {
    return nextMemberRepair(Status, MembersWithoutDisk, Options);
  }
  void makeUnresponsive(std::size_t Index) { Status.Progress[Index].SinceLastReply = 3s; }
  void addLearner(mono_duration SinceReply = 50ms) {
    Status.Progress.push_back(makeProgress(9, voting_status::Learner, SinceReply));
    Status.Members = withLearner(Status.Members, {member_id(9), disk_identity(9)});
  }
};

TEST_F(a_leader_of_five, KeepsALostVoterWithoutACaughtUpLearner) {
  makeUnresponsive(0);
  EXPECT_EQ(nextRepair(), std::nullopt);
}

// The unresponsive voter may only be partitioned and still have its disk. If it were expelled
// first, the loss of two disks among the remaining four would destroy the quorum, although three of
// the five disks still exist.
TEST_F(a_leader_of_five, PromotesALearnerBeforeItExpelsAnUnresponsiveVoter) {
  makeUnresponsive(0);
  addLearner();
  EXPECT_EQ(nextRepair(), member_change(promote_member{{member_id(9), disk_identity(9)}}));
  Status.Progress.back().Member.VotingStatus = voting_status::Voter;
  Status.Members = withVoter(withLearner(Status.Members, {member_id(9), disk_identity(9)}),
                             {member_id(9), disk_identity(9)});
  EXPECT_EQ(nextRepair(), member_change(expel_member{member_id(2)}));
}

// Two disks are known to be lost; the other three are the quorum of five. A sixth voter would raise
// the quorum to four, which the three remaining disks reach only with the voter just promoted.
TEST_F(a_leader_of_five, ExpelsFirstIfTheDiskIsKnownToBeLost) {
  makeUnresponsive(0);
  makeUnresponsive(1);
  addLearner();
  MembersWithoutDisk = {member_id(2), member_id(3)};
  EXPECT_EQ(nextRepair(), member_change(expel_member{member_id(2)}));
}

TEST_F(a_leader_of_five, PromotesNoLearnerThatHasNotCaughtUp) {
  makeUnresponsive(0);
  addLearner();
  Status.Progress.back().Match = log_index(1);
  EXPECT_EQ(nextRepair(), std::nullopt);
}

TEST_F(a_leader_of_five, ReplacesNoResponsiveVoter) {
  addLearner();
  EXPECT_EQ(nextRepair(), std::nullopt);
}

// Three voters are unresponsive. With the leader only two remain, so no membership change could be
// committed.
TEST_F(a_leader_of_five, ProposesNoChangeThatNoQuorumCouldCommit) {
  makeUnresponsive(0);
  makeUnresponsive(1);
  makeUnresponsive(2);
  addLearner();
  EXPECT_EQ(nextRepair(), std::nullopt);
}

// One of two voters without disks is expelled already. If the other one were expelled too before
// the learner votes, a change could be accepted by two disks, one fewer than two losses require.
TEST_F(a_leader_of_five, PromotesTheReplacementBeforeItExpelsASecondVoter) {
  makeUnresponsive(0);
  makeUnresponsive(1);
  addLearner();
  MembersWithoutDisk = {member_id(2), member_id(3)};
  Status.Members = withoutMember(Status.Members, member_id(2));
  Status.Progress.erase(Status.Progress.begin());
  EXPECT_EQ(nextRepair(), member_change(promote_member{{member_id(9), disk_identity(9)}}));
}

TEST_F(a_leader_of_five, ExpelsAnUnresponsiveLearner) {
  addLearner(11s);
  EXPECT_EQ(nextRepair(), member_change(expel_member{member_id(9)}));
}

TEST_F(a_leader_of_five, DoesNothingWithoutItsLease) {
  makeUnresponsive(0);
  addLearner();
  Status.LeaseValid = false;
  EXPECT_EQ(nextRepair(), std::nullopt);
}

struct a_bootstrapping_host_with_a_voter_target : ReplicaTest {
  void SetUp() override {
    MayBootstrap = true;
    replica_options TestOptions;
    TestOptions.Tolerance = loss_tolerance{.Hosts = 1};
    start({}, TestOptions);
  }
  void requestAdmissionFrom(const member_key &From) {
    Replica->addPeer(From.Member);
    Replica->receive({{}, From, MemberA, {}, admission_request{}}, Now);
    collectActions();
  }
  void reportEmptyFor(const member_key &From, mono_duration Span) {
    for (mono_duration Passed{0}; Passed < Span; Passed += 100ms) {
      requestAdmissionFrom(From);
      advanceTime(100ms);
    }
  }
};

// The first change must be accepted by enough disks to survive the number of losses that the
// cluster must tolerate, so the bootstrapping host waits for them.
TEST_F(a_bootstrapping_host_with_a_voter_target, WaitsForTheTargetNumberOfEmptyDisks) {
  reportEmptyFor(MemberB, Options.BootstrapWait - 200ms);
  EXPECT_TRUE(status().Empty);
  requestAdmissionFrom(MemberC);
  advanceTime(100ms);
  EXPECT_EQ(status().Members, threeVoters());
}

// One of the hosts is lost right after the first start, as the tolerance allows. Without a limit to
// the wait there would never be a leader, and no change would be accepted.
TEST_F(a_bootstrapping_host_with_a_voter_target, CountsAbsentHostsAsLostAfterAWait) {
  reportEmptyFor(MemberB, Options.BootstrapWait + 200ms);
  EXPECT_EQ(voterCount(status().Members), 2U);
  EXPECT_TRUE(isVoter(status().Members, MemberB));
}

// Alone it would accept changes on one disk, with more hosts absent than may be lost.
TEST_F(a_bootstrapping_host_with_a_voter_target, NeverBootstrapsIfMoreHostsAreAbsentThanTolerated) {
  advanceTime(60s);
  EXPECT_TRUE(status().Empty);
}

TEST_F(a_bootstrapping_host_with_a_voter_target, DoesNotCountAHostThatReportsNoMore) {
  requestAdmissionFrom(MemberB);
  advanceTime(60s);
  EXPECT_TRUE(status().Empty);
}

TEST_F(a_bootstrapping_host_with_a_voter_target, CreatesNoMoreVotersThanTheTarget) {
  const member_key AnotherMember{member_id(4), disk_identity(14)};
  requestAdmissionFrom(MemberB);
  requestAdmissionFrom(AnotherMember);
  requestAdmissionFrom(MemberC);
  advanceTime(100ms);
  EXPECT_EQ(voterCount(status().Members), 3U);
}

} // namespace
} // namespace pollenstall

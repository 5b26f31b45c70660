/** @file member_test.cpp Tests of bootstrap, admission, promotion and refused membership changes.
 */
#include "consensus/replica_driver_base.h"

namespace pollenstall {
namespace {

const member_key NewB{MemberB.Member, disk_identity(22)};

proposal_error reasonOf(const proposal_result &Result) {
  EXPECT_FALSE(succeeded(Result));
  return errorOf(Result).Reason;
}

TEST(AMemberSet, DecodesItsOwnEncoding) {
  const member_set Set = withLearner(threeVoters(), NewB);
  EXPECT_EQ(decodeMembers(encodeMembers(Set)), Set);
  EXPECT_EQ(voterCount(Set), 2U);
  EXPECT_TRUE(isVoter(withVoter(Set, NewB), NewB));
  for (const char *Text : {"", "1", "1v", "1v2", "1v2/", "1v2/3x", "1v2/3v1/3", "1l2/3"})
    EXPECT_EQ(decodeMembers(Text), std::nullopt) << Text;
}

class a_bootstrapping_host : public ReplicaTest {
protected:
  void SetUp() override {
    MayBootstrap = true;
    start({});
  }
  void requestAdmissionFrom(const member_key &From, disk_identity NamedDisk,
                            cluster_id Cluster = {}) {
    Replica->receive({Cluster, From, {MemberA.Member, NamedDisk}, {}, admission_request{}}, Now);
    collectActions();
  }
};

TEST_F(a_bootstrapping_host, BootstrapsOnceEveryPeerHasReportedAnEmptyDisk) {
  requestAdmissionFrom(MemberB, MemberA.Disk);
  advanceTime(1s);
  EXPECT_TRUE(status().Empty);
  requestAdmissionFrom(MemberC, MemberA.Disk);
  advanceTime(100ms);
  EXPECT_EQ(status().Members, threeVoters());
}

// This host bootstrapped the cluster and lost its disk. A request that B sent before the bootstrap
// arrives late, although B is no longer empty. A second bootstrap would lose all committed entries.
TEST_F(a_bootstrapping_host, IgnoresAPeerThatDidNotNameItsDisk) {
  requestAdmissionFrom(MemberC, MemberA.Disk);
  requestAdmissionFrom(MemberB, disk_identity());
  requestAdmissionFrom(MemberB, disk_identity(99));
  advanceTime(1s);
  EXPECT_TRUE(status().Empty);
  EXPECT_GE(countSent<bootstrap_probe>(), 1U);
}

TEST_F(a_bootstrapping_host, DoesNotCountAPeerThatBelongsToACluster) {
  requestAdmissionFrom(MemberB, MemberA.Disk, TestCluster);
  requestAdmissionFrom(MemberC, MemberA.Disk);
  advanceTime(1s);
  EXPECT_TRUE(status().Empty);
}

class an_empty_disk : public ReplicaTest {};

// The disk of the bootstrapping host is replaced while that host collects replies. If this member
// remembered the first disk, it would send all later requests to a disk that is lost.
TEST_F(an_empty_disk, RequestsAdmissionFromEveryPeerWithAnyDisk) {
  start({});
  const member_key LostDisk{MemberB.Member, disk_identity(99)};
  Replica->receive({{}, LostDisk, MemberA, {}, bootstrap_probe{}}, Now);
  collectActions();
  EXPECT_EQ(Sent.back().To, LostDisk);
  Sent.clear();
  advanceTime(1s);
  for (const consensus_message &Message : Sent)
    EXPECT_EQ(Message.To.Disk, disk_identity());
  EXPECT_GE(countSent<admission_request>(), 2U);
}

TEST_F(an_empty_disk, NeverStartsAnElection) {
  start({});
  advanceTime(10s);
  EXPECT_EQ(countSent<pre_vote_request>(), 0U);
}

// A leader admits a disk and fails before the admission is committed. Its successor does not know
// the disk and sends it nothing, so the disk must request admission again or the repair never
// completes.
TEST_F(an_empty_disk, RequestsAdmissionAgainIfItsAdmissionWasTruncated) {
  start({});
  const member_set OldMembers{TestCluster,
                              {{{MemberA.Member, disk_identity(99)}, voting_status::Voter},
                               {MemberB, voting_status::Voter}}};
  entriesFrom(MemberB, 2, {}, 0,
              {{log_index(1), term_number(1), entry_kind::Membership, encodeMembers(OldMembers)}});
  Sent.clear();
  advanceTime(1s);
  EXPECT_EQ(countSent<admission_request>(), 0U);
  advanceTime(2s);
  EXPECT_GE(countSent<admission_request>(), 2U);
}

class a_membership_change : public ReplicaTest {};

TEST_F(a_membership_change, ReplacesTheOldDiskAndPromotesTheNewOneOnceCaughtUp) {
  replica_options TestOptions;
  TestOptions.CaughtUpWithin = 0;
  start(bootstrappedLog(), TestOptions);
  becomeLeaderAndCommit();
  const auto BothReply = [this] {
    acknowledge(MemberC, status().LastIndex);
    advanceTime(100ms);
  };
  for (int Count = 0; Count < 25; ++Count)
    BothReply();
  ASSERT_TRUE(succeeded(Replica->admit(NewB, Now)));
  collectActions();
  EXPECT_EQ(voterCount(status().Members), 2U);
  BothReply();
  ASSERT_EQ(status().Commit, status().LastIndex);
  EXPECT_EQ(voterCount(status().Members), 2U) << "it has not replied yet";
  acknowledge(NewB, status().LastIndex);
  BothReply();
  BothReply();
  EXPECT_TRUE(isVoter(status().Members, NewB));
}

// Two hosts run with the same id by mistake. If each replaced the other, the cluster would lose a
// voter with every change.
TEST_F(a_membership_change, IsRefusedForADiskThatReplies) {
  start(bootstrappedLog());
  becomeLeaderAndCommit();
  EXPECT_EQ(reasonOf(Replica->admit(NewB, Now)), proposal_error::MemberActive);
  EXPECT_EQ(reasonOf(Replica->admit(MemberB, Now)), proposal_error::AlreadyMember);
}

// Two concurrent changes, or a change on top of a predecessor's that may still be overwritten,
// could lead to quorums that do not intersect.
TEST_F(a_membership_change, IsRefusedDuringAnotherOneAndBeforeAnEntryOfTheTerm) {
  start(bootstrappedLog());
  becomeLeader();
  EXPECT_EQ(reasonOf(Replica->expel(MemberC.Member, Now)), proposal_error::NotReady);
  acknowledge(MemberB, log_index(2));
  EXPECT_TRUE(succeeded(Replica->expel(MemberC.Member, Now)));
  EXPECT_EQ(reasonOf(Replica->expel(MemberB.Member, Now)), proposal_error::ChangeInProgress);
}

TEST_F(a_membership_change, CanExpelTheLeader) {
  start(bootstrappedLog());
  becomeLeaderAndCommit();
  ASSERT_TRUE(succeeded(Replica->expel(MemberA.Member, Now)));
  collectActions();
  acknowledge(MemberC, log_index(3));
  EXPECT_EQ(status().Role, replica_role::Leader) << "one of the two remaining voters is no quorum";
  acknowledge(MemberB, log_index(3));
  EXPECT_EQ(status().Role, replica_role::Learner);
}

} // namespace
} // namespace pollenstall

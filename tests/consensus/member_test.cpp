/** @file member_test.cpp Founding, admission, promotion and the changes that are refused. */
#include "consensus/replica_driver_base.h"

namespace pollenstall {
namespace {

const member_key NewB{MemberB.Member, disk_identity(22)};

proposal_error reasonOf(const proposal_result &Result) {
  EXPECT_FALSE(succeeded(Result));
  return errorOf(Result).Reason;
}

TEST(AMemberSet, ReadsBackWhatItWrote) {
  const member_set Set = withLearner(threeVoters(), NewB);
  EXPECT_EQ(decodeMembers(encodeMembers(Set)), Set);
  EXPECT_EQ(voterCount(Set), 2U);
  EXPECT_TRUE(isVoter(withVoter(Set, NewB), NewB));
  for (const char *Text : {"", "1", "1v", "1v2", "1v2/", "1v2/3x", "1v2/3v1/3", "1l2/3"})
    EXPECT_EQ(decodeMembers(Text), std::nullopt) << Text;
}

class a_founder : public ReplicaTest {
protected:
  void SetUp() override {
    Founds = true;
    start({});
  }
  void askFrom(const member_key &From, disk_identity Named, cluster_id Cluster = {}) {
    Replica->receive({Cluster, From, {MemberA.Member, Named}, {}, admission_request{}}, Now);
    collect();
  }
};

TEST_F(a_founder, FoundsOnceEveryPeerHasSaidThatItIsEmpty) {
  askFrom(MemberB, MemberA.Disk);
  pass(1s);
  EXPECT_TRUE(status().Empty);
  askFrom(MemberC, MemberA.Disk);
  pass(100ms);
  EXPECT_EQ(status().Members, threeVoters());
}

// This host founded the log, lost its disk, and a request that B had sent before the founding comes
// late. B is not empty any more; a second log beside the first would lose all that was accepted.
TEST_F(a_founder, DoesNotBelieveAPeerThatDidNotNameThisDisk) {
  askFrom(MemberC, MemberA.Disk);
  askFrom(MemberB, disk_identity());
  askFrom(MemberB, disk_identity(99));
  pass(1s);
  EXPECT_TRUE(status().Empty);
  EXPECT_GE(countSent<bootstrap_probe>(), 1U);
}

TEST_F(a_founder, DoesNotCountAPeerThatBelongsToALog) {
  askFrom(MemberB, MemberA.Disk, TestCluster);
  askFrom(MemberC, MemberA.Disk);
  pass(1s);
  EXPECT_TRUE(status().Empty);
}

class an_empty_disk : public ReplicaTest {};

// A founder's disk is replaced while it collects answers. Who remembered the first disk would send
// all later requests to a disk that is gone.
TEST_F(an_empty_disk, AsksEveryPeerWhateverItsDisk) {
  start({});
  const member_key Gone{MemberB.Member, disk_identity(99)};
  Replica->receive({{}, Gone, MemberA, {}, bootstrap_probe{}}, Now);
  collect();
  EXPECT_EQ(Sent.back().To, Gone);
  Sent.clear();
  pass(1s);
  for (const consensus_message &Message : Sent)
    EXPECT_EQ(Message.To.Disk, disk_identity());
  EXPECT_GE(countSent<admission_request>(), 2U);
}

TEST_F(an_empty_disk, NeverStands) {
  start({});
  pass(10s);
  EXPECT_EQ(countSent<pre_vote_request>(), 0U);
}

// A leader admits a disk and falls before the admission is committed; its successor does not know
// the disk and sends it nothing. It must ask again, or the repair never ends.
TEST_F(an_empty_disk, AsksAgainWhereItsAdmissionWasTruncated) {
  start({});
  const member_set Before{TestCluster,
                          {{{MemberA.Member, disk_identity(99)}, voting_status::Voter},
                           {MemberB, voting_status::Voter}}};
  entriesFrom(MemberB, 2, {}, 0,
              {{log_index(1), term_number(1), entry_kind::Membership, encodeMembers(Before)}});
  Sent.clear();
  pass(1s);
  EXPECT_EQ(countSent<admission_request>(), 0U);
  pass(2s);
  EXPECT_GE(countSent<admission_request>(), 2U);
}

class a_leaders_set : public ReplicaTest {};

TEST_F(a_leaders_set, PutsAnEmptyDiskInTheOldOnesPlaceAndPromotesItOnceCaughtUp) {
  replica_options Bounds;
  Bounds.CaughtUpWithin = 0;
  start(foundedLog(), Bounds);
  leadAndCommit();
  const auto BothAnswer = [this] {
    ack(MemberC, status().LastIndex);
    pass(100ms);
  };
  for (int Count = 0; Count < 25; ++Count)
    BothAnswer();
  ASSERT_TRUE(succeeded(Replica->admit(NewB, Now)));
  collect();
  EXPECT_EQ(voterCount(status().Members), 2U);
  BothAnswer();
  ASSERT_EQ(status().Commit, status().LastIndex);
  EXPECT_EQ(voterCount(status().Members), 2U) << "it has answered nothing yet";
  ack(NewB, status().LastIndex);
  BothAnswer();
  BothAnswer();
  EXPECT_TRUE(isVoter(status().Members, NewB));
}

// Two hosts were given the same id. Each asks to be let in, and if each replaced the other the log
// would lose a voter with every change.
TEST_F(a_leaders_set, RefusesToReplaceADiskThatAnswers) {
  start(foundedLog());
  leadAndCommit();
  EXPECT_EQ(reasonOf(Replica->admit(NewB, Now)), proposal_error::MemberActive);
  EXPECT_EQ(reasonOf(Replica->admit(MemberB, Now)), proposal_error::AlreadyMember);
}

// Two changes under way at once, or one on top of a predecessor's that may yet be overwritten, give
// quorums that do not meet.
TEST_F(a_leaders_set, ChangesOneAtATimeAndOnlyAfterAnEntryOfItsTerm) {
  start(foundedLog());
  lead();
  EXPECT_EQ(reasonOf(Replica->expel(MemberC.Member, Now)), proposal_error::NotReady);
  ack(MemberB, log_index(2));
  EXPECT_TRUE(succeeded(Replica->expel(MemberC.Member, Now)));
  EXPECT_EQ(reasonOf(Replica->expel(MemberB.Member, Now)), proposal_error::ChangeInProgress);
}

TEST_F(a_leaders_set, LetsTheLeaderTakeItselfOut) {
  start(foundedLog());
  leadAndCommit();
  ASSERT_TRUE(succeeded(Replica->expel(MemberA.Member, Now)));
  collect();
  ack(MemberC, log_index(3));
  EXPECT_EQ(status().Role, replica_role::Leader) << "one of the two that are left is no quorum";
  ack(MemberB, log_index(3));
  EXPECT_EQ(status().Role, replica_role::Learner);
}

} // namespace
} // namespace pollenstall

/** @file election_test.cpp Tests of voting, pre-votes and candidates. */
#include "consensus/replica_driver_base.h"

namespace pollenstall {
namespace {

class a_voter : public ReplicaTest {
protected:
  const vote_request UpToDateRequest{log_index(9), term_number(9)};
};

// If a vote were sent before it is durable, the voter could crash, restart without it and vote for
// another candidate in the same term. Two leaders would win that term.
TEST_F(a_voter, SendsAVoteOnlyAfterItIsSynced) {
  start(bootstrappedLog());
  advanceTime(1s);
  SyncImmediately = false;
  deliver(MemberB, 5, UpToDateRequest);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
  syncAndCollect();
  EXPECT_TRUE(lastSent<vote_reply>(MemberB).Granted);
}

TEST_F(a_voter, VotesOncePerTermAndRepeatsThatVote) {
  start(bootstrappedLog());
  advanceTime(1s);
  deliver(MemberB, 5, UpToDateRequest);
  deliver(MemberC, 5, UpToDateRequest);
  EXPECT_FALSE(lastSent<vote_reply>(MemberC).Granted);
  Sent.clear();
  deliver(MemberB, 5, UpToDateRequest);
  EXPECT_TRUE(lastSent<vote_reply>(MemberB).Granted);
}

// A leader's lease depends on recent replies from a quorum. If one of these members voted for
// another candidate too early, both would act as leader for the rest of the lease.
TEST_F(a_voter, IgnoresCandidatesWhileInContactWithALeader) {
  start(bootstrappedLog());
  advanceTime(999ms);
  heartbeatFrom(MemberB, 2);
  advanceTime(999ms);
  deliver(MemberC, 9, UpToDateRequest);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
  EXPECT_EQ(status().Term, term_number(2));
  advanceTime(1ms);
  deliver(MemberC, 9, UpToDateRequest);
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

// A member that receives nothing because of a one-way partition requests pre-votes from members
// that are in contact with the leader. If they granted them, it would repeatedly increment the term
// and depose that leader.
TEST_F(a_voter, GrantsNoPreVoteWhileInContactWithALeader) {
  start(bootstrappedLog());
  advanceTime(1s);
  heartbeatFrom(MemberB, 2);
  const pre_vote_request Request{term_number(3), log_index(9), term_number(9)};
  deliver(MemberC, 2, Request);
  EXPECT_FALSE(lastSent<pre_vote_reply>(MemberC).Granted);
  advanceTime(1s);
  deliver(MemberC, 2, Request);
  EXPECT_TRUE(lastSent<pre_vote_reply>(MemberC).Granted);
}

// A voter that restarts right after its reply to a leader has no record of the time of that reply,
// but the leader's lease still depends on it.
TEST_F(a_voter, GrantsNoVoteRightAfterARestart) {
  start(bootstrappedLog());
  advanceTime(999ms);
  deliver(MemberB, 5, UpToDateRequest);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

/// The log of a member that has replied to Leader, the leader of term 1, before its process ended.
restored_log logThatFollowed(const member_key &Leader) {
  restored_log State = bootstrappedLog();
  State.Hard.FollowedLeader = {term_number(1), Leader};
  return State;
}

/// All processes were restarted, so the former leader's lease ended with its process.
struct a_restarted_voter : a_voter {
  const pre_vote_request PreVote{term_number(2), log_index(9), term_number(9)};
};

// Every member was killed and restarted within the election timeout, and requests at the entries
// wait for a leader. The former leader reports that it does not lead, so there is no lease to wait
// for.
TEST_F(a_restarted_voter, VotesOnceItsLeaderReportsThatItNoLongerLeads) {
  start(logThatFollowed(MemberB));
  deliver(MemberC, 1, PreVote);
  EXPECT_FALSE(lastSent<pre_vote_reply>(MemberC).Granted)
      << "B has not reported that it no longer leads";
  deliver(MemberB, 1, PreVote);
  EXPECT_TRUE(lastSent<pre_vote_reply>(MemberB).Granted);
  deliver(MemberC, 2, UpToDateRequest);
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

// B's messages from before its election are delayed and arrive while B leads.
TEST_F(a_restarted_voter, IgnoresReportsThatItsLeaderSentBeforeItsTerm) {
  restored_log State = logThatFollowed(MemberB);
  State.Hard = {term_number(3), {}, {term_number(3), MemberB}};
  start(State);
  deliver(MemberB, 2, pre_vote_request{term_number(3), log_index(9), term_number(9)});
  deliver(MemberB, 2, pre_vote_reply{term_number(3), true, true});
  deliver(MemberB, 3, pre_vote_reply{term_number(4), false, false});
  deliver(MemberC, 4, UpToDateRequest);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

// A report of any other member does not end the lease that depends on this member.
TEST_F(a_restarted_voter, WaitsIfOnlyOtherMembersReport) {
  start(logThatFollowed(MemberB));
  deliver(MemberC, 7, pre_vote_reply{term_number(8), false, true});
  deliver(MemberC, 8, UpToDateRequest);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

TEST_F(a_restarted_voter, VotesImmediatelyIfItWasTheLeader) {
  start(logThatFollowed(MemberA));
  deliver(MemberC, 2, UpToDateRequest);
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

TEST_F(a_restarted_voter, GrantsNoVoteAfterContactWithANewLeader) {
  start(logThatFollowed(MemberB));
  deliver(MemberB, 1, PreVote);
  heartbeatFrom(MemberC, 2);
  deliver(MemberB, 2, PreVote);
  deliver(MemberB, 5, UpToDateRequest);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

// A leader's lease depends on a member's reply. If the member did not remember after a restart
// which leader it replied to, it could vote while that lease is valid.
TEST_F(a_voter, RepliesToALeaderOnlyAfterItsIdentityIsSynced) {
  start(bootstrappedLog());
  SyncImmediately = false;
  heartbeatFrom(MemberB, 1);
  EXPECT_EQ(countSent<append_reply>(), 0U);
  syncAndCollect();
  EXPECT_EQ(countSent<append_reply>(), 1U);
  heartbeatFrom(MemberB, 1);
  EXPECT_EQ(countSent<append_reply>(), 2U) << "no sync for the same leader";
}

// A follower's clock is set forward while its process is stopped. By that clock the election
// timeout has passed, although the leader was in contact a moment ago.
TEST_F(a_voter, RestartsItsTimeoutAfterAClockJump) {
  start(bootstrappedLog());
  heartbeatFrom(MemberB, 2);
  Now += 5s;
  deliver(MemberC, 9, UpToDateRequest);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

// A member with a shorter log requests a vote without a pre-vote, as a delayed message may. With
// this vote it would win and overwrite entries that were reported committed.
TEST_F(a_voter, RefusesACandidateWithAnOlderLog) {
  restored_log State = bootstrappedLog();
  State.Entries.push_back(commandAt(2, 1));
  start(State);
  advanceTime(1s);
  deliver(MemberB, 5, vote_request{log_index(1), term_number(1)});
  EXPECT_FALSE(lastSent<vote_reply>(MemberB).Granted);
  deliver(MemberC, 5, vote_request{log_index(2), term_number(1)});
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

// Host A's disk was replaced, and requests to the old disk arrive late. A reply of the new disk
// would be counted as a vote of the old one.
TEST_F(a_voter, IgnoresMessagesToAnOlderDisk) {
  start(bootstrappedLog());
  advanceTime(1s);
  deliver(MemberB, 5, UpToDateRequest, {MemberA.Member, disk_identity(99)});
  EXPECT_EQ(status().Term, term_number(1));
}

TEST_F(a_voter, IgnoresAnotherCluster) {
  start(bootstrappedLog());
  advanceTime(1s);
  Replica->receive({cluster_id(5), MemberB, MemberA, term_number(5), UpToDateRequest}, Now);
  collectActions();
  EXPECT_EQ(status().Term, term_number(1));
}

// The log is compacted up to a snapshot without a later membership entry. The voter must take the
// member set from the snapshot; otherwise, after three such restarts no member would start an
// election.
TEST_F(a_voter, RemainsAVoterAfterARestartFromASnapshotAlone) {
  restored_log State;
  State.Snapshot = std::make_shared<const log_snapshot>(
      log_snapshot{log_index(7), term_number(3), threeVoters(), "state"});
  start(State);
  EXPECT_EQ(status().Role, replica_role::Follower);
}

class a_candidate : public ReplicaTest {};

// A partitioned member starts elections repeatedly. If each incremented its term, it would depose a
// working leader as soon as the partition ends.
TEST_F(a_candidate, IncrementsNoTermBeforeAQuorumGrantsPreVotes) {
  start(bootstrappedLog());
  advanceTime(30s);
  EXPECT_EQ(status().Term, term_number(1));
  EXPECT_GT(countSent<pre_vote_request>(), 10U);
}

// The candidate's own vote counts like any other: after a restart before its sync, the member could
// vote for another candidate in the same term.
TEST_F(a_candidate, SyncsItsOwnVoteBeforeRequestingAndCountingVotes) {
  start(bootstrappedLog());
  startPreVoteWithOwnVote();
  SyncImmediately = false;
  deliver(MemberB, 1, pre_vote_reply{term_number(2), true});
  EXPECT_EQ(countSent<vote_request>(), 0U);
  deliver(MemberB, 2, vote_reply{true});
  EXPECT_EQ(status().Role, replica_role::Candidate);
  syncAndCollect();
  EXPECT_EQ(countSent<vote_request>(), 2U);
  EXPECT_EQ(status().Role, replica_role::Leader);
}

// A leader steps down while its lease is valid. Writes that the lease permits may still happen on
// another thread. If it reported that it no longer leads, a successor could act before those
// writes.
TEST_F(a_candidate, ReportsThatItNoLongerLeadsOnlyAfterItsLease) {
  start(bootstrappedLog());
  becomeLeaderAndCommit();
  ASSERT_TRUE(Replica->leaseValid(Now));
  deliver(MemberB, 9, vote_reply{false}); // The higher term makes it step down.
  ASSERT_NE(status().Role, replica_role::Leader);
  Sent.clear();
  const pre_vote_request PreVote{term_number(10), log_index(9), term_number(9)};
  deliver(MemberC, 9, PreVote);
  EXPECT_FALSE(lastSent<pre_vote_reply>(MemberC).WillNotLead);
  advanceTime(Options.MinElectionTimeout / 2);
  EXPECT_EQ(countSent<pre_vote_request>(), 0U) << "a pre-vote request would report the same";
  advanceTime(Options.MinElectionTimeout);
  deliver(MemberC, 9, PreVote);
  EXPECT_TRUE(lastSent<pre_vote_reply>(MemberC).WillNotLead);
}

// The whole fleet waits for a leader. An early pre-vote request does no harm, because members in
// contact with a leader refuse it.
TEST_F(a_candidate, RequestsPreVotesSoonAfterItsStartAndAgain) {
  start(bootstrappedLog());
  advanceTime(Options.EarlyElectionTimeout);
  EXPECT_GE(countSent<pre_vote_request>(), 2U);
  advanceTime(4 * Options.EarlyElectionTimeout);
  EXPECT_GE(countSent<pre_vote_request>(), 4U);
  EXPECT_EQ(status().Term, term_number(1));
}

// While the former leader's lease may depend on a member, that member must not count its own
// pre-vote.
TEST_F(a_candidate, CountsItsOwnVoteOnlyOnceItMayVote) {
  restored_log State = bootstrappedLog();
  State.Hard.FollowedLeader = {term_number(1), MemberB};
  start(State);
  advanceTime(Options.EarlyElectionTimeout);
  ASSERT_EQ(status().Role, replica_role::PreCandidate);
  deliver(MemberC, 1, pre_vote_reply{term_number(2), true, true});
  EXPECT_EQ(status().Role, replica_role::PreCandidate);
  deliver(MemberB, 1, pre_vote_reply{term_number(2), true, true});
  EXPECT_EQ(status().Role, replica_role::Candidate);
}

TEST_F(a_candidate, DoesNotCountAVoteOfAnUnknownDisk) {
  start(bootstrappedLog());
  startPreVoteWithOwnVote();
  deliver({MemberB.Member, disk_identity(99)}, 1, pre_vote_reply{term_number(2), true});
  EXPECT_EQ(status().Role, replica_role::PreCandidate);
}

} // namespace
} // namespace pollenstall

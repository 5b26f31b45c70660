/** @file election_test.cpp When a replica votes, and whom it lets in on what. */
#include "consensus/replica_driver_base.h"

namespace pollenstall {
namespace {

class a_voter : public ReplicaTest {
protected:
  const vote_request UpToDate{log_index(9), term_number(9)};
};

// A voter answers, crashes, and comes back without having written its vote. It would vote again in
// the same term, for another, and two leaders would win it.
TEST_F(a_voter, TellsAVoteOnlyOnceItIsSynced) {
  start(foundedLog());
  pass(1s);
  SyncsAtOnce = false;
  deliver(MemberB, 5, UpToDate);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
  syncAndCollect();
  EXPECT_TRUE(lastSent<vote_reply>(MemberB).Granted);
}

TEST_F(a_voter, VotesOncePerTermAndRepeatsThatVote) {
  start(foundedLog());
  pass(1s);
  deliver(MemberB, 5, UpToDate);
  deliver(MemberC, 5, UpToDate);
  EXPECT_FALSE(lastSent<vote_reply>(MemberC).Granted);
  Sent.clear();
  deliver(MemberB, 5, UpToDate);
  EXPECT_TRUE(lastSent<vote_reply>(MemberB).Granted);
}

// A leader holds its lease because a quorum has just answered it. If one of them helped another to
// office at once, both would act as leader for the rest of the lease.
TEST_F(a_voter, IgnoresCandidatesWhileItHearsALeader) {
  start(foundedLog());
  pass(999ms);
  heartbeatFrom(MemberB, 2);
  pass(999ms);
  deliver(MemberC, 9, UpToDate);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
  EXPECT_EQ(status().Term, term_number(2));
  pass(1ms);
  deliver(MemberC, 9, UpToDate);
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

// A member that hears nobody, by a cut in one direction, asks the others, who hear the leader well.
// If they agreed it would raise the term and depose that leader again and again.
TEST_F(a_voter, AgreesToNoElectionWhileItHearsALeader) {
  start(foundedLog());
  pass(1s);
  heartbeatFrom(MemberB, 2);
  const pre_vote_request Request{term_number(3), log_index(9), term_number(9)};
  deliver(MemberC, 2, Request);
  EXPECT_FALSE(lastSent<pre_vote_reply>(MemberC).Granted);
  pass(1s);
  deliver(MemberC, 2, Request);
  EXPECT_TRUE(lastSent<pre_vote_reply>(MemberC).Granted);
}

// A voter answers a leader and restarts at once. It has forgotten the answer, but the leader still
// counts on it for its lease.
TEST_F(a_voter, VotesForNobodyRightAfterARestart) {
  start(foundedLog());
  pass(999ms);
  deliver(MemberB, 5, UpToDate);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

/// A disk whose member has answered B, the leader of term 1, before its process ended.
restored_log answeredLog(const member_key &Leader) {
  restored_log State = foundedLog();
  State.Hard.FollowedLeader = {term_number(1), Leader};
  return State;
}

/// All processes ended and are back: the lease of the leader that was ended with it.
struct a_voter_that_is_back : a_voter {
  const pre_vote_request Asks{term_number(2), log_index(9), term_number(9)};
};

// Every member was killed and is back within the election timeout. Requests wait at the entries
// for a leader; the one they had answers, and it does not lead. No lease is left to wait for.
TEST_F(a_voter_that_is_back, VotesOnceItsLeaderSaysThatItLeadsNoMore) {
  start(answeredLog(MemberB));
  deliver(MemberC, 1, Asks);
  EXPECT_FALSE(lastSent<pre_vote_reply>(MemberC).Granted) << "B may lead still";
  deliver(MemberB, 1, Asks);
  EXPECT_TRUE(lastSent<pre_vote_reply>(MemberB).Granted);
  deliver(MemberC, 2, UpToDate);
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

// B answered before it was elected; that answer was under way for long, and B leads now.
TEST_F(a_voter_that_is_back, IsNotMisledByWhatItsLeaderSaidBeforeItLed) {
  restored_log State = answeredLog(MemberB);
  State.Hard = {term_number(3), {}, {term_number(3), MemberB}};
  start(State);
  deliver(MemberB, 2, pre_vote_request{term_number(3), log_index(9), term_number(9)});
  deliver(MemberB, 2, pre_vote_reply{term_number(3), true, true});
  deliver(MemberB, 3, pre_vote_reply{term_number(4), false, false});
  deliver(MemberC, 4, UpToDate);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

// What any other member says of itself tells nothing about the lease that counts on this one.
TEST_F(a_voter_that_is_back, WaitsWhereOnlyOthersAreHeard) {
  start(answeredLog(MemberB));
  deliver(MemberC, 7, pre_vote_reply{term_number(8), false, true});
  deliver(MemberC, 8, UpToDate);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

TEST_F(a_voter_that_is_back, VotesAtOnceWhereItLedItself) {
  start(answeredLog(MemberA));
  deliver(MemberC, 2, UpToDate);
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

TEST_F(a_voter_that_is_back, CountsANewLeaderForAllItDidForTheOldOne) {
  start(answeredLog(MemberB));
  deliver(MemberB, 1, Asks);
  heartbeatFrom(MemberC, 2);
  deliver(MemberB, 2, Asks);
  deliver(MemberB, 5, UpToDate);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

// A leader counts its lease on an answer. A member that could forget whom it answered would vote
// against that lease after a restart.
TEST_F(a_voter, AnswersALeaderOnlyOnceItWillRememberWhichOne) {
  start(foundedLog());
  SyncsAtOnce = false;
  heartbeatFrom(MemberB, 1);
  EXPECT_EQ(countSent<append_reply>(), 0U);
  syncAndCollect();
  EXPECT_EQ(countSent<append_reply>(), 1U);
  heartbeatFrom(MemberB, 1);
  EXPECT_EQ(countSent<append_reply>(), 2U) << "no sync for the same leader";
}

// The clock of a follower is set forward while it is stopped. By that clock the leader has been
// silent for long; in truth it was heard a moment ago.
TEST_F(a_voter, CountsAnewAfterAClockJump) {
  start(foundedLog());
  heartbeatFrom(MemberB, 2);
  Now += 5s;
  deliver(MemberC, 9, UpToDate);
  EXPECT_EQ(countSent<vote_reply>(), 0U);
}

// A member with a shorter log asks without a pre-vote, as a delayed message may. With this vote it
// would win and overwrite entries that were reported committed.
TEST_F(a_voter, RefusesACandidateWithAnOlderLog) {
  restored_log State = foundedLog();
  State.Entries.push_back(commandAt(2, 1));
  start(State);
  pass(1s);
  deliver(MemberB, 5, vote_request{log_index(1), term_number(1)});
  EXPECT_FALSE(lastSent<vote_reply>(MemberB).Granted);
  deliver(MemberC, 5, vote_request{log_index(2), term_number(1)});
  EXPECT_TRUE(lastSent<vote_reply>(MemberC).Granted);
}

// Host A's disk was replaced. Requests to the old disk arrive late; an answer from the new one
// would be counted for promises that the old one took along.
TEST_F(a_voter, IgnoresMessagesToAnOlderDisk) {
  start(foundedLog());
  pass(1s);
  deliver(MemberB, 5, UpToDate, {MemberA.Member, disk_identity(99)});
  EXPECT_EQ(status().Term, term_number(1));
}

TEST_F(a_voter, IgnoresAnotherCluster) {
  start(foundedLog());
  pass(1s);
  Replica->receive({cluster_id(5), MemberB, MemberA, term_number(5), UpToDate}, Now);
  collect();
  EXPECT_EQ(status().Term, term_number(1));
}

// Its log was compacted behind a snapshot, and no change of members follows. The snapshot's set
// must make it a voter again, or three such restarts leave nobody who stands.
TEST_F(a_voter, IsOneAgainAfterARestartFromASnapshotAlone) {
  restored_log State;
  State.Snapshot = std::make_shared<const log_snapshot>(
      log_snapshot{log_index(7), term_number(3), threeVoters(), "state"});
  start(State);
  EXPECT_EQ(status().Role, replica_role::Follower);
}

class a_candidate : public ReplicaTest {};

// A member that was cut off stands again and again. With terms that rise each time it would depose
// a leader that works as soon as it is back.
TEST_F(a_candidate, RaisesNoTermBeforeAQuorumWouldVoteForIt) {
  start(foundedLog());
  pass(30s);
  EXPECT_EQ(status().Term, term_number(1));
  EXPECT_GT(countSent<pre_vote_request>(), 10U);
}

// The candidate's vote for itself counts like any other: before it is synced a restart would forget
// it and could give it to another.
TEST_F(a_candidate, SyncsItsOwnVoteBeforeItAsksAndCounts) {
  start(foundedLog());
  standWithItsOwnVote();
  SyncsAtOnce = false;
  deliver(MemberB, 1, pre_vote_reply{term_number(2), true});
  EXPECT_EQ(countSent<vote_request>(), 0U);
  deliver(MemberB, 2, vote_reply{true});
  EXPECT_EQ(status().Role, replica_role::Candidate);
  syncAndCollect();
  EXPECT_EQ(countSent<vote_request>(), 2U);
  EXPECT_EQ(status().Role, replica_role::Leader);
}

// A leader leaves office while its lease runs: what it was allowed to write under the lease may
// still be written, on another thread. Were it to say that it leads no more, a successor could act
// before that.
TEST_F(a_candidate, SaysThatItLeadsNoMoreOnlyOnceItsLeaseIsOver) {
  start(foundedLog());
  leadAndCommit();
  ASSERT_TRUE(Replica->leaseValid(Now));
  deliver(MemberB, 9, vote_reply{false}); // Another term is known: it steps down.
  ASSERT_NE(status().Role, replica_role::Leader);
  Sent.clear();
  const pre_vote_request Asks{term_number(10), log_index(9), term_number(9)};
  deliver(MemberC, 9, Asks);
  EXPECT_FALSE(lastSent<pre_vote_reply>(MemberC).WillNotLead);
  pass(Options.MinElectionTimeout / 2);
  EXPECT_EQ(countSent<pre_vote_request>(), 0U) << "asking would tell the same";
  pass(Options.MinElectionTimeout);
  deliver(MemberC, 9, Asks);
  EXPECT_TRUE(lastSent<pre_vote_reply>(MemberC).WillNotLead);
}

// The whole fleet waits for a leader. Asking costs nothing: whoever hears a leader refuses.
TEST_F(a_candidate, AsksSoonAfterItsStartAndAgain) {
  start(foundedLog());
  pass(Options.EarlyElectionTimeout);
  EXPECT_GE(countSent<pre_vote_request>(), 2U);
  pass(4 * Options.EarlyElectionTimeout);
  EXPECT_GE(countSent<pre_vote_request>(), 4U);
  EXPECT_EQ(status().Term, term_number(1));
}

// Until its own promise to the former leader is over it must not count its own vote either.
TEST_F(a_candidate, CountsItselfOnlyOnceItMayVote) {
  restored_log State = foundedLog();
  State.Hard.FollowedLeader = {term_number(1), MemberB};
  start(State);
  pass(Options.EarlyElectionTimeout);
  ASSERT_EQ(status().Role, replica_role::PreCandidate);
  deliver(MemberC, 1, pre_vote_reply{term_number(2), true, true});
  EXPECT_EQ(status().Role, replica_role::PreCandidate);
  deliver(MemberB, 1, pre_vote_reply{term_number(2), true, true});
  EXPECT_EQ(status().Role, replica_role::Candidate);
}

TEST_F(a_candidate, DoesNotCountAVoteOfAnUnknownDisk) {
  start(foundedLog());
  standWithItsOwnVote();
  deliver({MemberB.Member, disk_identity(99)}, 1, pre_vote_reply{term_number(2), true});
  EXPECT_EQ(status().Role, replica_role::PreCandidate);
}

} // namespace
} // namespace pollenstall

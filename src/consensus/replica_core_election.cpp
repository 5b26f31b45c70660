/** @file replica_core_election.cpp Pre-votes, votes and the start of a leader's term. */
#include "consensus/replica_core_base.h"

namespace pollenstall {

bool replica_core::mayVote(mono_time Now) const {
  // A member that replied to a leader votes for no other member until the minimum election timeout
  // has passed. The leader's lease depends on this. It also prevents a member that was partitioned
  // from deposing a working leader.
  if (role() == replica_role::Leader)
    return Now >= leaseEnd();
  if (LeaseReleased)
    return true;
  return Now - LastLeaderContact >= Options.MinElectionTimeout;
}

void replica_core::recordLeaderContact(mono_time Now) {
  LastLeaderContact = Now;
  LeaseReleased = false;
  EarlyElectionsUntil = Now;
  randomizeElectionDeadline(Now);
}

void replica_core::recordFollowedLeader(const member_key &Member) {
  const term_leader FollowedLeader{Hard.Term, Member};
  if (Hard.FollowedLeader == FollowedLeader)
    return;
  Hard.FollowedLeader = FollowedLeader;
  PersistTracker.recordHardState(Hard);
}

/**
 * Releases this member from the lease of the leader that it replied to last, if that leader reports
 * that it no longer leads. Without this, after a restart of all processes every voter would wait
 * for the minimum election timeout for a lease that ended with the old leader process, and the
 * cluster would commit nothing for that time (0.4 s with a shorter timeout than the default). The
 * release is safe because a member leads a term at most once, and not after it has reported in that
 * term, as a follower, that it does not lead.
 */
void replica_core::handleWillNotLead(const consensus_message &Message, mono_time Now) {
  const bool FromFollowedLeader =
      Message.From == Hard.FollowedLeader.Member && Message.Term >= Hard.FollowedLeader.Term;
  if (!FromFollowedLeader || LeaseReleased || role() == replica_role::Leader)
    return;
  LeaseReleased = true;
  EarlyElectionsUntil = Now + Options.MinElectionTimeout;
  if (role() != replica_role::Candidate)
    randomizeEarlyDeadline(Now, mono_duration());
}

void replica_core::randomizeElectionDeadline(mono_time Now) {
  const mono_duration Spread = Options.MaxElectionTimeout - Options.MinElectionTimeout;
  const auto RandomDelay = Random.below(static_cast<std::uint64_t>(Spread.count()) + 1);
  ElectionDeadline =
      Now + Options.MinElectionTimeout + mono_duration(static_cast<long>(RandomDelay));
}

void replica_core::randomizeEarlyDeadline(mono_time Now, mono_duration Delay) {
  const auto Spread = static_cast<std::uint64_t>(Options.EarlyElectionTimeout.count());
  ElectionDeadline = Now + Delay + mono_duration(static_cast<long>(Random.below(Spread + 1)));
}

void replica_core::startPreVote(mono_time Now) {
  if (Now < FormerLeaseEnd) {
    // Receivers would conclude from the pre-vote request that this member's lease has ended.
    ElectionDeadline = FormerLeaseEnd;
    return;
  }
  Role.process(role_event::ElectionTimeout);
  Leader = {};
  Votes.clear();
  if (mayVote(Now))
    Votes.insert(Self);
  if (Now < EarlyElectionsUntil)
    randomizeEarlyDeadline(Now, Options.EarlyElectionTimeout);
  else
    randomizeElectionDeadline(Now);
  const pre_vote_request Request{Hard.Term.next(), Log.lastIndex(), Log.lastTerm()};
  for (const log_member &Member : members().Members)
    if (Member.VotingStatus == voting_status::Voter && Member.Key != Self)
      DeferredMessages.push_back(
          {PersistTracker.hardStateNumber(), makeMessage(Member.Key, Request)});
  countVotes(Now);
}

void replica_core::becomeCandidate(mono_time Now) {
  Role.process(role_event::PreVoteWon);
  setHardState({Hard.Term.next(), Self, Hard.FollowedLeader});
  Votes.clear();
  OwnVotePersist = PersistTracker.hardStateNumber();
  randomizeElectionDeadline(Now);
  const vote_request Request{Log.lastIndex(), Log.lastTerm()};
  for (const log_member &Member : members().Members)
    if (Member.VotingStatus == voting_status::Voter && Member.Key != Self)
      DeferredMessages.push_back({OwnVotePersist, makeMessage(Member.Key, Request)});
}

void replica_core::countOwnVote() {
  if (role() != replica_role::Candidate || !PersistTracker.isConfirmed(OwnVotePersist))
    return;
  if (Votes.insert(Self).second)
    countVotes(LastEvent);
}

void replica_core::countVotes(mono_time Now) {
  // Votes are counted by disk, so a member that lost its disk, and with it the record of its vote,
  // is never counted twice.
  if (!hasQuorum(members(), [this](const member_key &Key) { return Votes.count(Key) != 0; }))
    return;
  if (role() == replica_role::PreCandidate)
    becomeCandidate(Now);
  else if (role() == replica_role::Candidate)
    becomeLeader(Now);
}

void replica_core::becomeLeader(mono_time Now) {
  checkInvariant(LastLedTerm < Hard.Term, "a term is won once");
  checkInvariant(PersistTracker.isConfirmed(OwnVotePersist), "a leader's own vote is durable");
  Role.process(role_event::VoteWon);
  LastLedTerm = Hard.Term;
  Leader = Self;
  recordFollowedLeader(Self);
  LeadingSince = Now;
  LeaseRound = NextRound;
  resetProgress();
  // Entries of earlier terms are committed only by committing an entry of this term (Raft, 5.4.2).
  TermStartIndex = appendAsLeader(entry_kind::Noop, {});
  HeartbeatPending = true;
  Actions.emplace_back(became_leader{Hard.Term});
}

void replica_core::receiveBody(const consensus_message &Message, const pre_vote_request &Request,
                               mono_time Now) {
  handleWillNotLead(Message,
                    Now); // The sender of a pre-vote request neither leads nor is a candidate.
  const bool Granted = Request.ForTerm > Hard.Term && mayVote(Now) &&
                       Log.isUpToDate(Request.LastIndex, Request.LastTerm);
  // If several members start together, only the first requester continues: two candidates would
  // split the votes.
  if (Granted && Now < EarlyElectionsUntil && role() != replica_role::Candidate)
    randomizeEarlyDeadline(Now, Options.EarlyElectionTimeout);
  const bool LeadsOrCampaigns = role() == replica_role::Leader || role() == replica_role::Candidate;
  const bool WillNotLead = !LeadsOrCampaigns && Now >= FormerLeaseEnd;
  reply(Message, pre_vote_reply{Request.ForTerm, Granted, WillNotLead},
        PersistTracker.hardStateNumber());
}

void replica_core::receiveBody(const consensus_message &Message, const pre_vote_reply &Reply,
                               mono_time Now) {
  if (findMember(members(), Message.From) == nullptr)
    return;
  if (Reply.WillNotLead)
    handleWillNotLead(Message, Now);
  if (Message.Term > Hard.Term && !Reply.Granted) {
    adoptTerm(Message.Term);
    return;
  }
  const bool IsCurrent = role() == replica_role::PreCandidate && Reply.ForTerm == Hard.Term.next();
  if (!IsCurrent)
    return;
  if (mayVote(Now))
    Votes.insert(Self);
  if (Reply.Granted)
    Votes.insert(Message.From);
  countVotes(Now);
}

void replica_core::receiveBody(const consensus_message &Message, const vote_request &Request,
                               mono_time Now) {
  if (Message.Term < Hard.Term) {
    reply(Message, vote_reply{false}, PersistTracker.hardStateNumber());
    return;
  }
  const bool RepeatedVote = Message.Term == Hard.Term && Hard.Vote == Message.From;
  if (!RepeatedVote && !mayVote(Now))
    return;
  if (Message.Term > Hard.Term)
    adoptTerm(Message.Term);
  const bool NotVoted = Hard.Vote.Member == member_id();
  const bool Granted = NotVoted && Log.isUpToDate(Request.LastIndex, Request.LastTerm);
  if (Granted) {
    setHardState({Message.Term, Message.From, Hard.FollowedLeader});
    randomizeElectionDeadline(Now);
  }
  reply(Message, vote_reply{Granted || RepeatedVote}, PersistTracker.hardStateNumber());
}

void replica_core::receiveBody(const consensus_message &Message, const vote_reply &Reply,
                               mono_time Now) {
  if (findMember(members(), Message.From) == nullptr)
    return;
  if (Message.Term > Hard.Term) {
    adoptTerm(Message.Term);
    return;
  }
  const bool IsCurrent = role() == replica_role::Candidate && Message.Term == Hard.Term;
  if (!IsCurrent || !Reply.Granted)
    return;
  Votes.insert(Message.From);
  countVotes(Now);
}

} // namespace pollenstall

/** @file replica_core_election.cpp Pre-votes, votes and the start of a leader's term. */
#include "consensus/replica_core_base.h"

namespace pollenstall {

bool replica_core::mayVote(mono_time Now) const {
  // A leader counts on those who answered it: until they let the minimum timeout pass, none of them
  // helps another to office. This is what makes the lease hold, and it keeps a member that was cut
  // off from deposing a leader that works.
  if (role() == replica_role::Leader)
    return Now >= leaseEnd();
  if (PromiseOver)
    return true;
  return Now - LastHeard >= Options.MinElectionTimeout;
}

void replica_core::heardLeader(mono_time Now) {
  LastHeard = Now;
  PromiseOver = false;
  EarlyUntil = Now;
  drawElectionDeadline(Now);
}

void replica_core::follow(const member_key &Member) {
  const term_leader Followed{Hard.Term, Member};
  if (Hard.Followed == Followed)
    return;
  Hard.Followed = Followed;
  Ledger.hardState(Hard);
}

/**
 * After a loss of all processes every voter would let the minimum timeout pass for a lease that
 * ended with its holder: 0.4 s in which nothing is decided. A member leads a term once, and not
 * after it has said at that term, as a follower, that it does not; so once the leader that was
 * answered last says so, no lease counts on this member.
 */
void replica_core::noteLeadsNoMore(const consensus_message &Message, mono_time Now) {
  const bool Ended = Message.From == Hard.Followed.Member && Message.Term >= Hard.Followed.Term;
  if (!Ended || PromiseOver || role() == replica_role::Leader)
    return;
  PromiseOver = true;
  EarlyUntil = Now + Options.MinElectionTimeout;
  if (role() != replica_role::Candidate)
    drawEarlyDeadline(Now, mono_duration());
}

void replica_core::drawElectionDeadline(mono_time Now) {
  const mono_duration Spread = Options.MaxElectionTimeout - Options.MinElectionTimeout;
  const auto Drawn = Random.below(static_cast<std::uint64_t>(Spread.count()) + 1);
  ElectionDeadline = Now + Options.MinElectionTimeout + mono_duration(static_cast<long>(Drawn));
}

void replica_core::drawEarlyDeadline(mono_time Now, mono_duration After) {
  const auto Spread = static_cast<std::uint64_t>(Options.EarlyElectionTimeout.count());
  ElectionDeadline = Now + After + mono_duration(static_cast<long>(Random.below(Spread + 1)));
}

void replica_core::stand(mono_time Now) {
  if (Now < LedUntil) {
    ElectionDeadline = LedUntil; // Asking tells that this member leads no more.
    return;
  }
  Role.process(role_event::ElectionTimeout);
  Leader = {};
  Votes.clear();
  if (mayVote(Now))
    Votes.insert(Self);
  if (Now < EarlyUntil)
    drawEarlyDeadline(Now, Options.EarlyElectionTimeout);
  else
    drawElectionDeadline(Now);
  const pre_vote_request Request{Hard.Term.next(), Log.lastIndex(), Log.lastTerm()};
  for (const log_member &Member : members().Members)
    if (Member.Standing == member_standing::Voter && Member.Key != Self)
      Held.push_back({Ledger.coversHard(), makeMessage(Member.Key, Request)});
  countVotes(Now);
}

void replica_core::becomeCandidate(mono_time Now) {
  Role.process(role_event::PreVoteWon);
  setHardState({Hard.Term.next(), Self, Hard.Followed});
  Votes.clear();
  OwnVoteNeeds = Ledger.coversHard();
  drawElectionDeadline(Now);
  const vote_request Request{Log.lastIndex(), Log.lastTerm()};
  for (const log_member &Member : members().Members)
    if (Member.Standing == member_standing::Voter && Member.Key != Self)
      Held.push_back({OwnVoteNeeds, makeMessage(Member.Key, Request)});
}

void replica_core::countOwnVote() {
  if (role() != replica_role::Candidate || !Ledger.isConfirmed(OwnVoteNeeds))
    return;
  if (Votes.insert(Self).second)
    countVotes(LastEvent);
}

void replica_core::countVotes(mono_time Now) {
  // Votes are counted by disk: one that an emptied disk cannot remember is never counted twice.
  if (!hasQuorum(members(), [this](const member_key &Key) { return Votes.count(Key) != 0; }))
    return;
  if (role() == replica_role::PreCandidate)
    becomeCandidate(Now);
  else if (role() == replica_role::Candidate)
    becomeLeader(Now);
}

void replica_core::becomeLeader(mono_time Now) {
  check(LedTerm < Hard.Term, "a term is won once");
  check(Ledger.isConfirmed(OwnVoteNeeds), "a leader's own vote is on its disk");
  Role.process(role_event::VoteWon);
  LedTerm = Hard.Term;
  Leader = Self;
  follow(Self);
  LeadingSince = Now;
  LeaseRound = NextRound;
  resetProgress();
  // Entries of earlier terms count as committed only behind one of this term (Raft, 5.4.2).
  FirstOwnIndex = appendOwn(entry_kind::Noop, {});
  HeartbeatWanted = true;
  Actions.emplace_back(became_leader{Hard.Term});
}

void replica_core::receiveBody(const consensus_message &Message, const pre_vote_request &Request,
                               mono_time Now) {
  noteLeadsNoMore(Message, Now); // Whoever asks for a pre-vote neither leads nor stands yet.
  const bool Granted = Request.ForTerm > Hard.Term && mayVote(Now) &&
                       Log.isNoNewerThan(Request.LastIndex, Request.LastTerm);
  // Of several that start together the first to ask goes on alone: two candidates share the votes.
  if (Granted && Now < EarlyUntil && role() != replica_role::Candidate)
    drawEarlyDeadline(Now, Options.EarlyElectionTimeout);
  const bool InOffice = role() == replica_role::Leader || role() == replica_role::Candidate;
  const bool LeadsNoMore = !InOffice && Now >= LedUntil;
  reply(Message, pre_vote_reply{Request.ForTerm, Granted, LeadsNoMore}, Ledger.coversHard());
}

void replica_core::receiveBody(const consensus_message &Message, const pre_vote_reply &Reply,
                               mono_time Now) {
  if (findMember(members(), Message.From) == nullptr)
    return;
  if (Reply.LeadsNoMore)
    noteLeadsNoMore(Message, Now);
  if (Message.Term > Hard.Term && !Reply.Granted) {
    adoptTerm(Message.Term);
    return;
  }
  const bool Counts = role() == replica_role::PreCandidate && Reply.ForTerm == Hard.Term.next();
  if (!Counts)
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
    reply(Message, vote_reply{false}, Ledger.coversHard());
    return;
  }
  const bool Again = Message.Term == Hard.Term && Hard.Vote == Message.From;
  if (!Again && !mayVote(Now))
    return;
  if (Message.Term > Hard.Term)
    adoptTerm(Message.Term);
  const bool Free = Hard.Vote.Member == member_id();
  const bool Granted = Free && Log.isNoNewerThan(Request.LastIndex, Request.LastTerm);
  if (Granted) {
    setHardState({Message.Term, Message.From, Hard.Followed});
    drawElectionDeadline(Now);
  }
  reply(Message, vote_reply{Granted || Again}, Ledger.coversHard());
}

void replica_core::receiveBody(const consensus_message &Message, const vote_reply &Reply,
                               mono_time Now) {
  if (findMember(members(), Message.From) == nullptr)
    return;
  if (Message.Term > Hard.Term) {
    adoptTerm(Message.Term);
    return;
  }
  const bool Counts = role() == replica_role::Candidate && Message.Term == Hard.Term;
  if (!Counts || !Reply.Granted)
    return;
  Votes.insert(Message.From);
  countVotes(Now);
}

} // namespace pollenstall

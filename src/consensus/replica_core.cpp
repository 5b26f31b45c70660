/** @file replica_core.cpp Events, terms and outgoing messages of a replica. */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

replica_core::replica_core(replica_parts Parts, mono_time Now)
    : Self(Parts.Self), Options(Parts.Options), Peers(std::move(Parts.Peers)), Fresh(Parts.Fresh),
      Random(Parts.Seed), Hard(Parts.State.Hard), Log(Parts.State),
      Snapshot(std::move(Parts.State.Snapshot)), Ledger(Log.lastIndex()), LastEvent(Now),
      LastHeard(Now), NextHeartbeat(Now), NextJoin(Now) {
  if (Snapshot) {
    History.reset(Snapshot->Index, Snapshot->Members);
    Commit = Snapshot->Index;
    Applied = Commit;
    Actions.emplace_back(install_snapshot{Snapshot});
    membersChanged();
  }
  for (log_index Index = Commit.next(); Index <= Log.lastIndex(); Index = Index.next())
    if (Log.at(Index).Kind == entry_kind::Membership)
      restoreMembers(Log.at(Index));
  PromiseOver = Hard.Followed.Member == Self; // It led itself, and that lease ended with it.
  EarlyUntil = Now + Options.MinElectionTimeout;
  drawEarlyDeadline(Now, mono_duration());
}

void replica_core::restoreMembers(const log_entry &Entry) {
  auto Set = decodeMembers(Entry.Payload);
  check(Set.has_value(), "a set of members on the disk can be read");
  putMembers(Entry.Index, std::move(*Set));
}

void replica_core::check(bool Holds, std::string_view Name) const {
  requireInvariant(Holds, Name, [this] { return dump(); });
}

void replica_core::enter(mono_time Now) {
  if (isClockJump(Now))
    noteClockJump(Now);
  LastEvent = Now;
}

bool replica_core::isEmpty() const { return Log.lastIndex() == log_index(); }

void replica_core::tick(mono_time Now) {
  enter(Now);
  if (role() == replica_role::Leader) {
    checkQuorum(Now);
  } else if (role() != replica_role::Learner && Now >= ElectionDeadline) {
    stand(Now);
  }
  if (role() == replica_role::Leader && Now >= NextHeartbeat) {
    for (follower_progress &Progress : Followers)
      Progress.allowProbe();
    HeartbeatWanted = true;
    promoteLearner(Now);
  }
  askToJoin(Now);
  foundWhenAllAreEmpty();
}

bool replica_core::isAddressedHere(const consensus_message &Message) const {
  const bool Asks = std::holds_alternative<admission_request>(Message.Body);
  const bool Probes = std::holds_alternative<founder_probe>(Message.Body);
  const bool AnyDisk = Asks && Message.To.Disk == disk_identity();
  if (Message.To.Member != Self.Member || (Message.To.Disk != Self.Disk && !AnyDisk))
    return false;
  if (Message.From.Member == Self.Member)
    return false;
  if (Asks || Probes)
    return true;
  if (Message.Cluster == cluster_id())
    return false;
  if (cluster() != cluster_id() && Message.Cluster != cluster())
    return false;
  // A leader's set is the newest there is, so a disk that it has replaced is gone for good. Others
  // may know only an older set and must go on listening to a disk that is new to them.
  const log_member *Known = findMember(members(), Message.From.Member);
  return role() != replica_role::Leader || Known == nullptr || Known->Key == Message.From;
}

void replica_core::receive(consensus_message Message, mono_time Now) {
  enter(Now);
  if (!isAddressedHere(Message))
    return;
  std::visit([&](auto &Body) { receiveBody(Message, Body, Now); }, Message.Body);
}

void replica_core::persisted(persist_number Number, mono_time Now) {
  enter(Now);
  Ledger.confirm(Number);
  countOwnVote();
  if (role() == replica_role::Leader)
    advanceCommit();
}

proposal_result replica_core::propose(std::string Payload, mono_time Now) {
  enter(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  if (Payload.size() > Options.MaxPayloadBytes)
    return proposal_refusal{proposal_error::TooLarge, Leader};
  if (Log.lastIndex().value() - Commit.value() >= Options.MaxUncommitted)
    return proposal_refusal{proposal_error::TooManyInFlight, Leader};
  const log_index Index = appendOwn(entry_kind::Command, std::move(Payload));
  return proposal_place{Index, Hard.Term};
}

std::vector<consensus_action> replica_core::takeActions(mono_time Now) {
  enter(Now);
  if (role() == replica_role::Leader)
    broadcast();
  Ledger.flush(Actions);
  release();
  applyCommitted();
  answerReads();
  askForSnapshot();
  return std::exchange(Actions, {});
}

void replica_core::setHardState(hard_state Next) {
  const bool Free = Hard.Vote.Member == member_id();
  check(Next.Term > Hard.Term || (Next.Term == Hard.Term && Free), "a term has one vote");
  Hard = Next;
  Ledger.hardState(Hard);
}

void replica_core::adoptTerm(term_number Term) {
  leaveOffice();
  setHardState({Term, {}, Hard.Followed});
  std::erase_if(Held, [](const held_message &Message) {
    return std::holds_alternative<append_reply>(Message.Message.Body);
  });
}

void replica_core::leaveOffice() {
  const replica_role Before = role();
  if (Before == replica_role::Leader)
    LedUntil = leaseEnd();
  Leader = {};
  Role.process(role_event::SteppedDown);
  if (Before == replica_role::Follower || Before == replica_role::Learner)
    return;
  Votes.clear();
  drawElectionDeadline(LastEvent);
  if (Before != replica_role::Leader)
    return;
  Actions.emplace_back(stepped_down{Hard.Term});
  refuseReads();
  Followers.clear();
  HeartbeatWanted = false;
  if (!isVoter(members(), Self))
    Role.process(role_event::MadeLearner);
}

consensus_message replica_core::makeMessage(const member_key &To, consensus_body Body) const {
  return {cluster(), Self, To, Hard.Term, std::move(Body)};
}

void replica_core::sendNow(const member_key &To, consensus_body Body) {
  Actions.emplace_back(send_to_member{makeMessage(To, std::move(Body))});
}

void replica_core::reply(const consensus_message &Request, consensus_body Body,
                         persist_number Needs) {
  consensus_message Message = makeMessage(Request.From, std::move(Body));
  Message.Cluster = Request.Cluster;
  Held.push_back({Needs, std::move(Message)});
}

void replica_core::release() {
  // A vote or an acknowledgement that a crash could take back would let two leaders win one term,
  // or lose an entry that was reported committed; so it waits for its sync.
  const auto Waits = [this](const held_message &Message) {
    return !Ledger.isConfirmed(Message.Needs);
  };
  const auto Ready = std::stable_partition(Held.begin(), Held.end(), Waits);
  for (auto Message = Ready; Message != Held.end(); ++Message)
    Actions.emplace_back(send_to_member{std::move(Message->Message)});
  Held.erase(Ready, Held.end());
}

void replica_core::setCommit(log_index Index) {
  if (Index <= Commit)
    return;
  check(Index <= Log.lastIndex(), "only entries that are held are committed");
  Commit = Index;
  const bool MayLead = isVoter(members(), Self) || History.currentIndex() > Commit;
  if (role() == replica_role::Leader && !MayLead)
    leaveOffice();
}

void replica_core::applyCommitted() {
  while (Applied < Commit) {
    Applied = Applied.next();
    Actions.emplace_back(apply_entry{Log.at(Applied)});
  }
}

} // namespace pollenstall

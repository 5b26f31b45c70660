/** @file replica_core.cpp Events, terms and outgoing messages of a replica. */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

replica_core::replica_core(replica_arguments Arguments, mono_time Now)
    : Self(Arguments.Self), Options(Arguments.Options), Peers(std::move(Arguments.Peers)),
      NewCluster(Arguments.NewCluster), Random(Arguments.Seed), Hard(Arguments.State.Hard),
      Log(Arguments.State), Snapshot(std::move(Arguments.State.Snapshot)),
      PersistTracker(Log.lastIndex()), LastEvent(Now), LastLeaderContact(Now), NextHeartbeat(Now),
      NextAdmissionRequest(Now), StartedAt(Now) {
  if (Snapshot) {
    History.reset(Snapshot->Index, Snapshot->Members);
    Commit = Snapshot->Index;
    Applied = Commit;
    Actions.emplace_back(install_snapshot{Snapshot});
    handleMembersChange();
  }
  for (log_index Index = Commit.next(); Index <= Log.lastIndex(); Index = Index.next())
    if (Log.at(Index).Kind == entry_kind::Membership)
      restoreMembers(Log.at(Index));
  LeaseReleased = Hard.FollowedLeader.Member ==
                  Self; // This member led, and its lease ended with the old process.
  EarlyElectionsUntil = Now + Options.MinElectionTimeout;
  randomizeEarlyDeadline(Now, mono_duration());
}

void replica_core::restoreMembers(const log_entry &Entry) {
  auto Set = decodeMembers(Entry.Payload);
  checkInvariant(Set.has_value(), "a member set on the disk can be decoded");
  adoptMembers(Entry.Index, std::move(*Set));
}

void replica_core::checkInvariant(bool Holds, std::string_view Condition) const {
  requireInvariant(Holds, Condition, [this] { return dump(); });
}

void replica_core::beginEvent(mono_time Now) {
  if (isClockJump(Now))
    handleClockJump(Now);
  LastEvent = Now;
}

bool replica_core::isEmpty() const { return Log.lastIndex() == log_index(); }

void replica_core::tick(mono_time Now) {
  beginEvent(Now);
  if (role() == replica_role::Leader) {
    checkQuorum(Now);
  } else if (role() != replica_role::Learner && Now >= ElectionDeadline) {
    startPreVote(Now);
  }
  if (role() == replica_role::Leader && Now >= NextHeartbeat) {
    for (follower_progress &Progress : Followers)
      Progress.allowProbe();
    HeartbeatPending = true;
    promoteLearner(Now);
  }
  requestAdmission(Now);
  bootstrapWhenReady(Now);
}

bool replica_core::acceptsMessage(const consensus_message &Message) const {
  const bool IsAdmissionRequest = std::holds_alternative<admission_request>(Message.Body);
  const bool IsBootstrapProbe = std::holds_alternative<bootstrap_probe>(Message.Body);
  const bool DiskNotNamed = IsAdmissionRequest && Message.To.Disk == disk_identity();
  if (Message.To.Member != Self.Member || (Message.To.Disk != Self.Disk && !DiskNotNamed))
    return false;
  if (Message.From.Member == Self.Member)
    return false;
  if (IsAdmissionRequest || IsBootstrapProbe)
    return true;
  if (Message.Cluster == cluster_id())
    return false;
  if (cluster() != cluster_id() && Message.Cluster != cluster())
    return false;
  // A leader has the newest member set, so it ignores a disk that was replaced under the same id.
  // Other members may have only an older set and must accept messages from a disk not in their set.
  const log_member *KnownMember = findMember(members(), Message.From.Member);
  return role() != replica_role::Leader || KnownMember == nullptr ||
         KnownMember->Key == Message.From;
}

void replica_core::receive(consensus_message Message, mono_time Now) {
  beginEvent(Now);
  if (!acceptsMessage(Message))
    return;
  std::visit([&](auto &Body) { receiveBody(Message, Body, Now); }, Message.Body);
}

void replica_core::persisted(persist_number Number, mono_time Now) {
  beginEvent(Now);
  PersistTracker.confirm(Number);
  countOwnVote();
  if (role() == replica_role::Leader)
    advanceCommit();
}

proposal_result replica_core::propose(std::string Payload, mono_time Now) {
  beginEvent(Now);
  if (role() != replica_role::Leader)
    return proposal_refusal{proposal_error::NotLeader, Leader};
  if (Payload.size() > Options.MaxPayloadBytes)
    return proposal_refusal{proposal_error::TooLarge, Leader};
  if (Log.lastIndex().value() - Commit.value() >= Options.MaxUncommitted)
    return proposal_refusal{proposal_error::TooManyInFlight, Leader};
  const log_index Index = appendAsLeader(entry_kind::Command, std::move(Payload));
  return proposal_position{Index, Hard.Term};
}

std::vector<consensus_action> replica_core::takeActions(mono_time Now) {
  beginEvent(Now);
  if (role() == replica_role::Leader)
    broadcast();
  PersistTracker.flush(Actions);
  sendDeferredMessages();
  applyCommitted();
  answerReads();
  requestSnapshot();
  return std::exchange(Actions, {});
}

void replica_core::setHardState(hard_state Next) {
  const bool NotVoted = Hard.Vote.Member == member_id();
  checkInvariant(Next.Term > Hard.Term || (Next.Term == Hard.Term && NotVoted),
                 "a member votes at most once in a term");
  Hard = Next;
  PersistTracker.recordHardState(Hard);
}

void replica_core::adoptTerm(term_number Term) {
  stepDown();
  setHardState({Term, {}, Hard.FollowedLeader});
  std::erase_if(DeferredMessages, [](const deferred_message &Message) {
    return std::holds_alternative<append_reply>(Message.Message.Body);
  });
}

void replica_core::stepDown() {
  const replica_role PreviousRole = role();
  if (PreviousRole == replica_role::Leader)
    FormerLeaseEnd = leaseEnd();
  Leader = {};
  Role.process(role_event::SteppedDown);
  if (PreviousRole == replica_role::Follower || PreviousRole == replica_role::Learner)
    return;
  Votes.clear();
  randomizeElectionDeadline(LastEvent);
  if (PreviousRole != replica_role::Leader)
    return;
  Actions.emplace_back(stepped_down{Hard.Term});
  refuseReads();
  Followers.clear();
  HeartbeatPending = false;
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
                         persist_number RequiredPersist) {
  consensus_message Message = makeMessage(Request.From, std::move(Body));
  Message.Cluster = Request.Cluster;
  DeferredMessages.push_back({RequiredPersist, std::move(Message)});
}

void replica_core::sendDeferredMessages() {
  // Votes and acknowledgements are sent only after their state is synced. If a crash could revoke
  // them, two leaders could win one term, or an entry that was reported committed could be lost.
  const auto IsWaiting = [this](const deferred_message &Message) {
    return !PersistTracker.isConfirmed(Message.RequiredPersist);
  };
  const auto Ready =
      std::stable_partition(DeferredMessages.begin(), DeferredMessages.end(), IsWaiting);
  for (auto Message = Ready; Message != DeferredMessages.end(); ++Message)
    Actions.emplace_back(send_to_member{std::move(Message->Message)});
  DeferredMessages.erase(Ready, DeferredMessages.end());
}

void replica_core::setCommit(log_index Index) {
  if (Index <= Commit)
    return;
  checkInvariant(Index <= Log.lastIndex(), "only entries in the log are committed");
  Commit = Index;
  // A leader that is expelled leads until the change that expels it is committed.
  const bool MayLead = isVoter(members(), Self) || History.currentIndex() > Commit;
  if (role() == replica_role::Leader && !MayLead)
    stepDown();
}

void replica_core::applyCommitted() {
  while (Applied < Commit) {
    Applied = Applied.next();
    Actions.emplace_back(apply_entry{Log.at(Applied)});
  }
}

} // namespace pollenstall

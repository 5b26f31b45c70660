/** @file membership.cpp fleet_membership: public calls and messages from other hosts. */
#include "membership/membership.h"

#include <algorithm>

namespace pollenstall {

fleet_membership::fleet_membership(membership_identity OwnIdentity,
                                   const membership_settings &Values, std::uint64_t RandomSeed,
                                   mono_time Now)
    : Identity(std::move(OwnIdentity)), Settings(Values), Random(RandomSeed),
      Clock(Now, Values.PauseLimit, Values.ReceiveTimeout), Hosts(Identity.Self, Values.MaxHosts),
      Backends(Values), Detector(Values, Now), LoadBudgetAt(Now), NextGossip(Now), NextSync(Now),
      Started(Now), FreshUntil(Now), LastGossip(Now), NextContactPing(Now), LastContact(Now) {
  host_record Own;
  Own.Key = Identity.Self;
  Own.Domain = Identity.Domain;
  Own.Addresses = Identity.Addresses;
  requireInvariant(wellFormed(Own), "a host knows its name and its addresses");
  Hosts.setSelf(Own);
  publishHost(Own);
}

void fleet_membership::observe(mono_time Now) {
  if (!Clock.observe(Now, hasNoPeers()))
    return;
  // The process was paused and may have missed a Leaving or a new incarnation. Until another host
  // has compared its records with these, no decision may use the views and no host is suspected.
  Resyncing = true;
  ContactNonces.clear();
  FreshUntil = Now;
  Actions.emplace_back(views_fresh{Now});
  Detector.recordLocalFault(Now);
  NextSync = Now;
}

void fleet_membership::receive(const membership_message &Message, const peer_address &From,
                               mono_time Now) {
  observe(Now);
  if (Message.Sender.Host == Identity.Self.Host) {
    if (Message.Sender.Incarnation > Identity.Self.Incarnation)
      Actions.emplace_back(superseded{Message.Sender.Incarnation});
    return;
  }
  Clock.recordReceipt();
  for (const host_record &Record : Message.Hosts)
    mergeHost(Record);
  for (const backend_record &Record : Message.Backends)
    mergeBackend(Record, From);
  for (const load_digest &Digest : Message.Loads)
    mergeLoad(Digest, From);
  std::visit([&](const auto &Body) { handle(Body, Message, From); }, Message.Body);
}

result<done, announcement_error>
fleet_membership::announce(const backend_announcement &Announcement, const backend_load &Load,
                           mono_time Now) {
  observe(Now);
  if (!wellFormed(Announcement))
    return announcement_error::Malformed;
  if (wireBytes(backend_record{Announcement, 0, 0, {}, false}) > MaxRecordBytes)
    return announcement_error::TooLarge;
  Clock.recordReceipt();
  const backend_change Change = Backends.announce(Announcement, Load, eventTime());
  if (Change.Rejected)
    return announcement_error::TableFull;
  if (Change.Stale)
    return announcement_error::OlderIncarnation;
  publishBackendChange(Change);
  if (Change.LoadChanged && Backends.takeGossipTurn(Change.Subject, Clock.connectedTime()))
    queueLoad(Change.Subject);
  return done{};
}

void fleet_membership::advance(mono_time Now) {
  observe(Now);
  probe();
  declareDeadHosts();
  if (Now >= NextGossip)
    gossip();
  if (Now >= NextSync)
    sync();
  renewFreshness();
}

void fleet_membership::leave(mono_time Now) {
  observe(Now);
  host_record Own = Hosts.self();
  Own.Status = host_status::Left;
  Hosts.setSelf(Own);
  publishHost(Own);
  queueUpdate(subjectOf(Own.Key.Host), update_priority::Host, true);
  gossip();
}

mono_time fleet_membership::nextWake() const {
  return std::min({NextGossip, NextSync, Detector.nextWake()});
}

std::vector<membership_action> fleet_membership::takeActions() {
  std::vector<membership_action> Pending;
  Pending.swap(Actions);
  return Pending;
}

void fleet_membership::handle(const record_updates & /*Body*/,
                              const membership_message & /*Message*/,
                              const peer_address & /*From*/) {}

void fleet_membership::handle(const ping &Body, const membership_message &Message,
                              const peer_address &From) {
  if (Body.Target.Host != Identity.Self.Host)
    return;
  membership_message Answer = makeMessage(record_updates{});
  if (Body.Target.Incarnation == Identity.Self.Incarnation)
    Answer.Body = ping_ack{Body.Nonce, Identity.Self};
  else
    Answer.Hosts.push_back(Hosts.self()); // this process replaced the one that the ping names
  send(From, std::move(Answer));
  if (Hosts.find(Message.Sender.Host) == nullptr)
    sendSync(From);
}

void fleet_membership::handle(const ping_ack &Body, const membership_message & /*Message*/,
                              const peer_address & /*From*/) {
  if (const auto Relayed = Detector.takeRelayedPing(Body.Nonce))
    send(Relayed->Requester, makeMessage(ping_ack{Relayed->Nonce, Body.Target}));
  Detector.handleAck(Body.Nonce, Body.Target);
  const auto PendingNonce = ContactNonces.find(Body.Nonce);
  if (PendingNonce == ContactNonces.end())
    return;
  recordContact(PendingNonce->second);
  ContactNonces.erase(PendingNonce);
}

void fleet_membership::handle(const ping_request &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  const std::uint64_t Nonce = Random();
  Detector.addRelayedPing(Nonce, {From, Body.Nonce, Clock.now() + Settings.ProbeInterval});
  send(Body.Address, makeMessage(ping{Nonce, Body.Target}));
}

void fleet_membership::handle(const load_query &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  constexpr std::size_t DigestsPerAnswer = 48;
  membership_message Answer = makeMessage(record_updates{});
  for (const std::uint32_t Id : Body.Backends) {
    const auto Subject = Backends.subjectOfDigest(Id);
    if (Subject && !Backends.find(*Subject)->Lost && Answer.Loads.size() < DigestsPerAnswer)
      Answer.Loads.push_back(Backends.digest(*Subject, Clock.now()));
  }
  if (!Answer.Loads.empty())
    send(From, std::move(Answer));
}

void fleet_membership::mergeHost(const host_record &Record) {
  if (!wellFormed(Record))
    return;
  if (Record.Key.Host == Identity.Self.Host) {
    refute(Record);
    return;
  }
  const merge_outcome Outcome = Hosts.merge(Record, Clock.connectedTime());
  if (Outcome == merge_outcome::Changed)
    publishHost(Record);
  if (Outcome == merge_outcome::Changed || Outcome == merge_outcome::Confirmed)
    queueUpdate(subjectOf(Record.Key.Host), update_priority::Host, true);
}

void fleet_membership::refute(const host_record &Claim) {
  host_record Own = Hosts.self();
  if (Claim.Key.Incarnation > Own.Key.Incarnation) {
    Actions.emplace_back(superseded{Claim.Key.Incarnation});
    return;
  }
  const bool Current =
      Claim.Key.Incarnation == Own.Key.Incarnation && Claim.Refutation >= Own.Refutation;
  if (!Current || Claim.Status == host_status::Alive || Own.Status == host_status::Left)
    return;
  // Another host got no answer from this one. This host may then also fail to receive answers, so
  // it drops its own suspicion.
  Detector.recordLocalFault(Clock.now());
  Own.Refutation = Claim.Refutation + 1;
  Hosts.setSelf(Own);
  queueUpdate(subjectOf(Own.Key.Host), update_priority::Host, true);
}

void fleet_membership::mergeBackend(const backend_record &Record, const peer_address &From) {
  if (!wellFormed(Record))
    return;
  const backend_change Change = Backends.merge(Record, eventTime());
  if (Change.Stale)
    sendRecords({Change.Subject}, From);
  if (!Change.Rejected && !Change.Stale)
    publishBackendChange(Change);
}

void fleet_membership::mergeLoad(const load_digest &Digest, const peer_address &From) {
  const backend_change Change = Backends.merge(Digest, eventTime());
  if (Change.NeedsRecord)
    fetch({Change.Subject}, From);
  publishBackendChange(Change);
  if (Change.LoadChanged)
    queueLoad(Change.Subject);
}

void fleet_membership::publishBackendChange(const backend_change &Change) {
  if (Change.Replaced)
    Actions.emplace_back(backend_gone{*Change.Replaced});
  if (Change.viewChanged() && !Backends.find(Change.Subject)->Tombstone)
    Actions.emplace_back(backend_changed{Backends.view(Change.Subject)});
  if (Change.RecordChanged || Change.StatusChanged) {
    const backend_entry &Entry = *Backends.find(Change.Subject);
    update_priority Priority = Entry.Lost ? update_priority::Lost : update_priority::Announcement;
    if (Entry.Announcement.Leaving)
      Priority = update_priority::Leaving;
    queueUpdate(Change.Subject, Priority, Change.RecordChanged);
  } else if (Change.ReportedLossIsStale) {
    queueUpdate(Change.Subject, update_priority::Lost, false);
  }
}

void fleet_membership::publishHost(const host_record &Record) {
  Actions.emplace_back(host_changed{{Record.Key, Record.Domain, Record.Addresses, Record.Status}});
}

std::vector<backend_view> fleet_membership::views() const {
  std::vector<backend_view> Views;
  for (const auto &[Subject, Entry] : Backends.entries())
    if (!Entry.Tombstone)
      Views.push_back(Backends.view(Subject));
  return Views;
}

std::vector<host_view> fleet_membership::hosts() const {
  std::vector<host_view> Views;
  for (const auto &[Subject, Entry] : Hosts.entries())
    Views.push_back(
        {Entry.Record.Key, Entry.Record.Domain, Entry.Record.Addresses, Entry.Record.Status});
  return Views;
}

bool fleet_membership::hasNoPeers() const { return Hosts.liveHostCount() <= 1; }

} // namespace pollenstall

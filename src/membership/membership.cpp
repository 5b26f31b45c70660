/** @file membership.cpp fleet_membership: calls from outside and messages from other hosts. */
#include "membership/membership.h"

#include <algorithm>

namespace pollenstall {

fleet_membership::fleet_membership(membership_identity Who, const membership_settings &Values,
                                   std::uint64_t RandomSeed, mono_time Now)
    : Identity(std::move(Who)), Settings(Values), Random(RandomSeed),
      Clock(Now, Values.PauseLimit, Values.HearingLimit), Hosts(Identity.Self, Values.MaxHosts),
      Backends(Values), Detector(Values, Now), LoadBudgetAt(Now), NextGossip(Now), NextSync(Now),
      Started(Now), FreshUntil(Now), LastGossip(Now), NextContact(Now), LastContact(Now) {
  host_record Own;
  Own.Key = Identity.Self;
  Own.Domain = Identity.Domain;
  Own.Addresses = Identity.Addresses;
  requireInvariant(wellFormed(Own), "a host knows its name and its addresses");
  Hosts.putSelf(Own);
  publishHost(Own);
}

void fleet_membership::observe(mono_time Now) {
  if (!Clock.observe(Now, alone()))
    return;
  // Stopped and continued: a Leaving or a new incarnation may have passed by. Until another host
  // has compared its records with these, nothing here may be acted upon, and nobody is accused.
  Resyncing = true;
  ProofNonces.clear();
  FreshUntil = Now;
  Actions.emplace_back(views_fresh{Now});
  Detector.distrustSelf(Now);
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
  Clock.heard();
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
  Clock.heard();
  const backend_change Change = Backends.announce(Announcement, Load, time());
  if (Change.Refused)
    return announcement_error::TableFull;
  if (Change.Older)
    return announcement_error::OlderIncarnation;
  noteBackend(Change);
  if (Change.Load && Backends.takeRelease(Change.Subject, Clock.listened()))
    addLoad(Change.Subject);
  return done{};
}

void fleet_membership::advance(mono_time Now) {
  observe(Now);
  probe();
  buryOverdue();
  if (Now >= NextGossip)
    gossip();
  if (Now >= NextSync)
    sync();
  keepContact();
}

void fleet_membership::leave(mono_time Now) {
  observe(Now);
  host_record Own = Hosts.self();
  Own.Standing = host_standing::Left;
  Hosts.putSelf(Own);
  publishHost(Own);
  addNews(subjectOf(Own.Key.Host), news_priority::Host, true);
  gossip();
}

mono_time fleet_membership::nextWake() const {
  return std::min({NextGossip, NextSync, Detector.nextWake()});
}

std::vector<membership_action> fleet_membership::takeActions() {
  std::vector<membership_action> Taken;
  Taken.swap(Actions);
  return Taken;
}

void fleet_membership::handle(const news & /*Body*/, const membership_message & /*Message*/,
                              const peer_address & /*From*/) {}

void fleet_membership::handle(const ping &Body, const membership_message &Message,
                              const peer_address &From) {
  if (Body.Target.Host != Identity.Self.Host)
    return;
  membership_message Answer = envelope(news{});
  if (Body.Target.Incarnation == Identity.Self.Incarnation)
    Answer.Body = ping_ack{Body.Nonce, Identity.Self};
  else
    Answer.Hosts.push_back(Hosts.self()); // this process replaced the one that is asked for
  send(From, std::move(Answer));
  if (Hosts.find(Message.Sender.Host) == nullptr)
    sendSync(From);
}

void fleet_membership::handle(const ping_ack &Body, const membership_message & /*Message*/,
                              const peer_address & /*From*/) {
  if (const auto Relayed = Detector.takeRelayed(Body.Nonce))
    send(Relayed->AskedBy, envelope(ping_ack{Relayed->Nonce, Body.Target}));
  Detector.answered(Body.Nonce, Body.Target);
  const auto Proof = ProofNonces.find(Body.Nonce);
  if (Proof == ProofNonces.end())
    return;
  proveContact(Proof->second);
  ProofNonces.erase(Proof);
}

void fleet_membership::handle(const ping_request &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  const std::uint64_t Nonce = Random();
  Detector.relay(Nonce, {From, Body.Nonce, Clock.now() + Settings.ProbeInterval});
  send(Body.Address, envelope(ping{Nonce, Body.Target}));
}

void fleet_membership::handle(const load_query &Body, const membership_message & /*Message*/,
                              const peer_address &From) {
  constexpr std::size_t DigestsPerAnswer = 48;
  membership_message Answer = envelope(news{});
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
  const merge_outcome Outcome = Hosts.merge(Record, Clock.listened());
  if (Outcome == merge_outcome::Changed)
    publishHost(Record);
  if (Outcome == merge_outcome::Changed || Outcome == merge_outcome::Confirmed)
    addNews(subjectOf(Record.Key.Host), news_priority::Host, true);
}

void fleet_membership::refute(const host_record &Claim) {
  host_record Own = Hosts.self();
  if (Claim.Key.Incarnation > Own.Key.Incarnation) {
    Actions.emplace_back(superseded{Claim.Key.Incarnation});
    return;
  }
  const bool Current =
      Claim.Key.Incarnation == Own.Key.Incarnation && Claim.Refutation >= Own.Refutation;
  if (!Current || Claim.Standing == host_standing::Alive || Own.Standing == host_standing::Left)
    return;
  // Somebody got no answer from here, so others may get none either while this host accuses them.
  Detector.distrustSelf(Clock.now());
  Own.Refutation = Claim.Refutation + 1;
  Hosts.putSelf(Own);
  addNews(subjectOf(Own.Key.Host), news_priority::Host, true);
}

void fleet_membership::mergeBackend(const backend_record &Record, const peer_address &From) {
  if (!wellFormed(Record))
    return;
  const backend_change Change = Backends.merge(Record, time());
  if (Change.Older)
    sendRecords({Change.Subject}, From);
  if (!Change.Refused && !Change.Older)
    noteBackend(Change);
}

void fleet_membership::mergeLoad(const load_digest &Digest, const peer_address &From) {
  const backend_change Change = Backends.merge(Digest, time());
  if (Change.NeedsBody)
    fetch({Change.Subject}, From);
  noteBackend(Change);
  if (Change.Load)
    addLoad(Change.Subject);
}

void fleet_membership::noteBackend(const backend_change &Change) {
  if (Change.Replaced)
    Actions.emplace_back(backend_gone{*Change.Replaced});
  if (Change.any() && !Backends.find(Change.Subject)->Forgotten)
    Actions.emplace_back(backend_changed{Backends.view(Change.Subject)});
  if (Change.Record || Change.Standing) {
    const backend_entry &Entry = *Backends.find(Change.Subject);
    news_priority Priority = Entry.Lost ? news_priority::Lost : news_priority::Announcement;
    if (Entry.Announcement.Leaving)
      Priority = news_priority::Leaving;
    addNews(Change.Subject, Priority, Change.Record);
  } else if (Change.Contradicts) {
    addNews(Change.Subject, news_priority::Lost, false);
  }
}

void fleet_membership::publishHost(const host_record &Record) {
  Actions.emplace_back(
      host_changed{{Record.Key, Record.Domain, Record.Addresses, Record.Standing}});
}

std::vector<backend_view> fleet_membership::views() const {
  std::vector<backend_view> Views;
  for (const auto &[Subject, Entry] : Backends.entries())
    if (!Entry.Forgotten)
      Views.push_back(Backends.view(Subject));
  return Views;
}

std::vector<host_view> fleet_membership::hosts() const {
  std::vector<host_view> Views;
  for (const auto &[Subject, Entry] : Hosts.entries())
    Views.push_back(
        {Entry.Record.Key, Entry.Record.Domain, Entry.Record.Addresses, Entry.Record.Standing});
  return Views;
}

bool fleet_membership::alone() const { return Hosts.living() <= 1; }

} // namespace pollenstall

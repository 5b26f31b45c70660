/** @file membership_probe.cpp fleet_membership: which of the system's own hosts live. */
#include "membership/membership.h"

namespace pollenstall {

namespace {

constexpr mono_duration ProofLifetime =
    std::chrono::seconds(5); // an answer later than this proves nothing

} // namespace

void fleet_membership::probe() {
  const mono_time Now = Clock.now();
  if (const auto Failed = Detector.takeFailure(Now))
    suspect(*Failed);
  if (const auto Probe = Detector.takeIndirect(Now))
    askOthers(*Probe);
  if (!Detector.due(Now))
    return;
  const auto Target = Detector.nextTarget(Hosts.reachable(), Random);
  if (!Target) {
    Detector.skip(Now);
    return;
  }
  const host_record &Record = Hosts.find(*Target)->Record;
  const std::uint64_t Nonce = Random();
  Detector.begin(Record.Key, Nonce, Now);
  Detector.dropRelayed(Now);
  sendPing(Record, Nonce);
}

void fleet_membership::sendPing(const host_record &Target, std::uint64_t Nonce) {
  membership_message Message = envelope(ping{Nonce, Target.Key});
  // A suspected host must hear of it to be able to refute it, also where gossip misses it.
  if (Target.Standing != host_standing::Alive)
    Message.Hosts.push_back(Target);
  ProofNonces[Nonce] = Clock.now();
  send(Target.Addresses.front(), std::move(Message));
}

void fleet_membership::askOthers(const active_probe &Probe) {
  const host_entry *Entry = Hosts.find(Probe.Target.Host);
  const std::vector<peer_address> &Addresses = Entry->Record.Addresses;
  for (const peer_address &Peer : randomPeers(Settings.IndirectProbes, Probe.Target.Host)) {
    const peer_address &Address = Addresses[Random.below(Addresses.size())];
    send(Peer, envelope(ping_request{Probe.Nonce, Probe.Target, Address}));
  }
}

void fleet_membership::suspect(const process_key &Target) {
  const host_entry *Entry = Hosts.find(Target.Host);
  if (Entry == nullptr || Entry->Record.Key != Target)
    return;
  if (Entry->Record.Standing > host_standing::Suspect)
    return;
  host_record Claim = Entry->Record;
  Claim.Standing = host_standing::Suspect;
  Claim.Accuser = Identity.Self.Host;
  mergeHost(Claim);
}

void fleet_membership::buryOverdue() {
  for (host_record Claim : Hosts.overdue(Settings, Clock.listened())) {
    Claim.Standing = host_standing::Dead;
    mergeHost(Claim);
  }
}

void fleet_membership::keepContact() {
  const mono_time Now = Clock.now();
  std::erase_if(ProofNonces,
                [Now](const auto &Proof) { return Now - Proof.second > ProofLifetime; });
  if (!alone()) {
    askForProof();
    return;
  }
  // Nobody else is known to live, so nobody can know better.
  const bool NobodyToAsk = strangers().empty() || Now - Started >= Settings.StartGrace;
  Resyncing = Resyncing && !NobodyToAsk;
  proveContact(Now);
}

void fleet_membership::askForProof() {
  // The probe's own target may be the one that is dead; the views would then lapse with it.
  const mono_time Now = Clock.now();
  if (Now - LastContact < Settings.FreshSpan / 2 || Now < NextContact)
    return;
  NextContact = Now + Settings.GossipInterval;
  const std::vector<const host_record *> Peers = Hosts.reachable();
  sendPing(*Peers[Random.below(Peers.size())], Random());
}

void fleet_membership::proveContact(mono_time SentAt) {
  LastContact = std::max(LastContact, SentAt);
  const mono_time Until = LastContact + Settings.FreshSpan;
  if (Resyncing || Until <= FreshUntil)
    return;
  FreshUntil = Until;
  Actions.emplace_back(views_fresh{Until});
}

} // namespace pollenstall

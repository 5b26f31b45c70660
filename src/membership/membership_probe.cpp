/** @file membership_probe.cpp fleet_membership: failure detection among the system's own hosts. */
#include "membership/membership.h"

namespace pollenstall {

namespace {

constexpr mono_duration NonceLifetime =
    std::chrono::seconds(5); // later answers do not prove contact

} // namespace

void fleet_membership::probe() {
  const mono_time Now = Clock.now();
  if (const auto Failed = Detector.takeFailedTarget(Now))
    suspect(*Failed);
  if (const auto Probe = Detector.takeIndirectProbe(Now))
    sendIndirectPings(*Probe);
  if (!Detector.due(Now))
    return;
  const auto Target = Detector.nextTarget(Hosts.reachable(), Random);
  if (!Target) {
    Detector.postponeProbe(Now);
    return;
  }
  const host_record &Record = Hosts.find(*Target)->Record;
  const std::uint64_t Nonce = Random();
  Detector.startProbe(Record.Key, Nonce, Now);
  Detector.expireRelayedPings(Now);
  sendPing(Record, Nonce);
}

void fleet_membership::sendPing(const host_record &Target, std::uint64_t Nonce) {
  membership_message Message = makeMessage(ping{Nonce, Target.Key});
  // A suspected host must learn of the suspicion to refute it, even if gossip does not reach it.
  if (Target.Status != host_status::Alive)
    Message.Hosts.push_back(Target);
  ContactNonces[Nonce] = Clock.now();
  send(Target.Addresses.front(), std::move(Message));
}

void fleet_membership::sendIndirectPings(const active_probe &Probe) {
  const host_entry *Entry = Hosts.find(Probe.Target.Host);
  const std::vector<peer_address> &Addresses = Entry->Record.Addresses;
  for (const peer_address &Peer : randomPeers(Settings.IndirectProbes, Probe.Target.Host)) {
    const peer_address &Address = Addresses[Random.below(Addresses.size())];
    send(Peer, makeMessage(ping_request{Probe.Nonce, Probe.Target, Address}));
  }
}

void fleet_membership::suspect(const process_key &Target) {
  const host_entry *Entry = Hosts.find(Target.Host);
  if (Entry == nullptr || Entry->Record.Key != Target)
    return;
  if (Entry->Record.Status > host_status::Suspect)
    return;
  host_record Claim = Entry->Record;
  Claim.Status = host_status::Suspect;
  Claim.Accuser = Identity.Self.Host;
  mergeHost(Claim);
}

void fleet_membership::declareDeadHosts() {
  for (host_record Claim : Hosts.expiredSuspicions(Settings, Clock.connectedTime())) {
    Claim.Status = host_status::Dead;
    mergeHost(Claim);
  }
}

void fleet_membership::renewFreshness() {
  const mono_time Now = Clock.now();
  std::erase_if(ContactNonces, [Now](const auto &PendingNonce) {
    return Now - PendingNonce.second > NonceLifetime;
  });
  if (!hasNoPeers()) {
    pingForContact();
    return;
  }
  // No other host is known to be live, so no other host has newer records.
  const bool NoSyncTarget = unreachableAddresses().empty() || Now - Started >= Settings.StartGrace;
  Resyncing = Resyncing && !NoSyncTarget;
  recordContact(Now);
}

void fleet_membership::pingForContact() {
  // The target of the regular probe may be dead. Without an extra ping the views would then become
  // stale.
  const mono_time Now = Clock.now();
  if (Now - LastContact < Settings.FreshnessLease / 2 || Now < NextContactPing)
    return;
  NextContactPing = Now + Settings.GossipInterval;
  const std::vector<const host_record *> Peers = Hosts.reachable();
  sendPing(*Peers[Random.below(Peers.size())], Random());
}

void fleet_membership::recordContact(mono_time SentAt) {
  LastContact = std::max(LastContact, SentAt);
  const mono_time Until = LastContact + Settings.FreshnessLease;
  if (Resyncing || Until <= FreshUntil)
    return;
  FreshUntil = Until;
  Actions.emplace_back(views_fresh{Until});
}

} // namespace pollenstall

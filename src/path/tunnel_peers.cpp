/** @file tunnel_peers.cpp Peers that carry connections, and pauses of those that failed. */
#include "path/tunnel_peers_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

void tunnel_peers::setEntries(const std::vector<tunnel_peer> &Entries) {
  std::map<std::string, peer_state> Known = std::move(Peers);
  Peers.clear();
  IpAddresses.clear();
  for (const tunnel_peer &Entry : Entries) {
    if (Entry.Address.empty() || Entry.Address == OwnAddress)
      continue;
    const auto Earlier = Known.find(Entry.Address);
    peer_state State = Earlier == Known.end() ? peer_state() : Earlier->second;
    State.Domain = Entry.Domain;
    Peers.emplace(Entry.Address, State);
    IpAddresses.insert(Entry.Address.substr(0, Entry.Address.rfind(':')));
  }
}

tunnel_peers::preference
tunnel_peers::preferenceOf(const peer_state &Peer,
                           const std::map<failure_domain_name, std::size_t> &Tried,
                           mono_time Now) const {
  const auto Found = Domains.find(Peer.Domain);
  const domain_state Domain = Found == Domains.end() ? domain_state() : Found->second;
  const bool IsPaused = Domain.PausedUntil > Now;
  const auto TriedInDomain = Tried.find(Peer.Domain);
  const std::size_t Tries = TriedInDomain == Tried.end() ? 0 : TriedInDomain->second;
  const bool IsFar = Peer.Domain != OwnDomain;
  const bool IsInWorkingDomain = !IsPaused && (Domain.Carries || !IsFar);
  // After a failure, a peer chosen by lot may be behind the same partition as the one that failed.
  const bool IsUnproved = !Peer.Carries && !(Tried.empty() && IsInWorkingDomain);
  return {IsUnproved, Tries, IsPaused, IsFar};
}

std::optional<std::string> tunnel_peers::choose(const std::vector<std::string> &Tried,
                                                mono_time Now) {
  std::map<failure_domain_name, std::size_t> TriedByDomain;
  for (const std::string &Peer : Tried)
    if (const auto Found = Peers.find(Peer); Found != Peers.end())
      ++TriedByDomain[Found->second.Domain];
  std::vector<const std::string *> Choices;
  std::optional<preference> Best;
  for (const auto &[Address, State] : Peers) {
    if (State.PausedUntil > Now || std::find(Tried.begin(), Tried.end(), Address) != Tried.end())
      continue;
    const preference Preference = preferenceOf(State, TriedByDomain, Now);
    if (Best && Preference > *Best)
      continue;
    if (!Best || Preference < *Best)
      Choices.clear();
    Best = Preference;
    Choices.push_back(&Address);
  }
  if (Choices.empty())
    return std::nullopt;
  return *Choices[Random.below(Choices.size())];
}

std::optional<std::string> tunnel_peers::knownCarrier() {
  std::vector<const std::string *> Carriers;
  for (const auto &[Address, State] : Peers)
    if (State.Carries)
      Carriers.push_back(&Address);
  if (Carriers.empty())
    return std::nullopt;
  return *Carriers[Random.below(Carriers.size())];
}

void tunnel_peers::recordReferral(const std::string &Peer, mono_time Now) {
  const auto Found = Peers.find(Peer);
  // What this entry has seen itself a short time ago goes before.
  if (Found != Peers.end() && Found->second.PausedUntil <= Now)
    Found->second.Carries = true;
}

void tunnel_peers::recordSuccess(const std::string &Peer) {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return;
  Found->second.Failures = 0;
  Found->second.Carries = true;
  Domains[Found->second.Domain] = domain_state{{}, true, false};
}

void tunnel_peers::pause(pause_state &State, mono_time Now) const {
  constexpr std::uint32_t MaxDoublings = 10;
  const mono_duration Pause = Tuning.PeerPause * (1U << std::min(State.Failures, MaxDoublings));
  State.PausedUntil = Now + std::min(Pause, Tuning.MaxPeerPause);
  ++State.Failures;
}

void tunnel_peers::recordFailure(const std::string &Peer, tunnel_failure Failure, mono_time Now) {
  const auto Found = Peers.find(Peer);
  // A server that is down says nothing against the peer.
  if (Found == Peers.end() || Failure == tunnel_failure::ServerDown)
    return;
  Found->second.Carries = false;
  pause(Found->second, Now);
  // These say nothing of the peer's path.
  if (Failure == tunnel_failure::Busy || Failure == tunnel_failure::Forbidden)
    return;
  domain_state &Domain = Domains[Found->second.Domain];
  // A single peer may have ended, or be frozen.
  if (!std::exchange(Domain.FailedOnce, true))
    return;
  Domain.Carries = false;
  pause(Domain, Now);
}

} // namespace pollenstall

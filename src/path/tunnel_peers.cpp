/** @file tunnel_peers.cpp Peers that carry connections, and pauses of those that failed. */
#include "path/tunnel_peers_base.h"

#include <algorithm>

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

std::optional<std::string> tunnel_peers::choose(const std::vector<std::string> &Tried,
                                                mono_time Now) {
  std::vector<const std::string *> Near;
  std::vector<const std::string *> Far;
  for (const auto &[Address, State] : Peers)
    if (State.PausedUntil <= Now && std::find(Tried.begin(), Tried.end(), Address) == Tried.end())
      (State.Domain == OwnDomain ? Near : Far).push_back(&Address);
  const std::vector<const std::string *> &Choices = Near.empty() ? Far : Near;
  if (Choices.empty())
    return std::nullopt;
  return *Choices[Random.below(Choices.size())];
}

void tunnel_peers::recordSuccess(const std::string &Peer) {
  if (const auto Found = Peers.find(Peer); Found != Peers.end())
    Found->second.Failures = 0;
}

void tunnel_peers::recordFailure(const std::string &Peer, tunnel_failure Failure, mono_time Now) {
  const auto Found = Peers.find(Peer);
  // A server that is down says nothing against the peer.
  if (Found == Peers.end() || Failure == tunnel_failure::ServerDown)
    return;
  constexpr std::uint32_t MaxDoublings = 10;
  peer_state &State = Found->second;
  const mono_duration Pause = Tuning.PeerPause * (1U << std::min(State.Failures, MaxDoublings));
  State.PausedUntil = Now + std::min(Pause, Tuning.MaxPeerPause);
  ++State.Failures;
}

} // namespace pollenstall

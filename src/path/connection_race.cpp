/** @file connection_race.cpp The order of direct tries and tunnels, and what their ends show. */
#include "path/connection_race_base.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

namespace {

/// Peers that must say that the server is down before no further one is asked. The first one may be
/// behind the same partition and not know it yet.
constexpr std::uint32_t DownWitnesses = 2;

} // namespace

connection_race::connection_race(path_table &SharedPaths, tunnel_peers *SharedPeers,
                                 const path_tuning &InitialTuning, backend_key Target,
                                 mono_duration ConnectTimeout, mono_time Now)
    : Paths(SharedPaths), Peers(SharedPeers), Tuning(InitialTuning), Server(std::move(Target)),
      Plan(Peers ? Paths.planFor(Server, Now) : path_plan::Direct), Started(Now),
      Deadline(Now + ConnectTimeout + Tuning.HedgeDelay),
      HedgeAt(Plan == path_plan::Direct ? Now + Tuning.HedgeDelay : Now) {}

race_step connection_race::startDirect(mono_time Now) {
  TriedDirectly = true;
  DirectStarted = Now;
  ++Pending;
  return start_direct{};
}

bool connection_race::mayAskPeer(mono_time Now) const {
  const bool HadTheirTime = Now >= HedgeAt;
  const bool DirectIsLate = DirectFailed || !TriedDirectly || !Tried.empty() || HadTheirTime;
  const bool PeersAreLate = Unanswered.empty() || HadTheirTime;
  return DirectIsLate && PeersAreLate && SeenDown < DownWitnesses;
}

std::optional<std::string> connection_race::choosePeer(mono_time Now) {
  if (!Peers || Tried.size() >= Tuning.MaxPeerTries)
    return std::nullopt;
  return Peers->choose(Tried, Now);
}

race_step connection_race::next(mono_time Now) {
  if (Decided)
    return race_over{};
  if (Plan != path_plan::Tunnel && !TriedDirectly)
    return startDirect(Now);
  if (mayAskPeer(Now)) {
    HedgeAt = Now + Tuning.HedgeDelay;
    if (const auto Peer = choosePeer(Now)) {
      Tried.push_back(*Peer);
      Unanswered.insert(*Peer);
      ++Pending;
      return start_tunnel{*Peer};
    }
    if (!TriedDirectly)
      return startDirect(Now);
  }
  if (Pending == 0 || Now >= Deadline)
    return race_over{};
  return wait_for_tries{SeenDown < DownWitnesses ? HedgeAt : Deadline};
}

bool connection_race::recordDirect(bool Opened, mono_time Now) {
  --Pending;
  DirectFailed = !Opened;
  // A late success says little: the server's queue of connections may have been full.
  DirectWorks = Opened && (!Decided || Now - DirectStarted < Tuning.HedgeDelay);
  if (DirectWorks && Paths.recordDirect(Server, Now))
    Change = path_change{Server, {}};
  const bool Wins = Opened && !Decided;
  Connected = Connected || Wins;
  Decided = Decided || Wins;
  return Wins;
}

bool connection_race::recordTunnel(const std::string &Peer, std::optional<tunnel_failure> Failure,
                                   mono_time Now) {
  --Pending;
  Unanswered.erase(Peer);
  if (Failure) {
    SeenDown += *Failure == tunnel_failure::ServerDown ? 1 : 0;
    if (*Failure == tunnel_failure::ServerSilent)
      Silent.insert(Peer);
    else
      Peers->recordFailure(Peer, *Failure, Now);
    return false;
  }
  Peers->recordSuccess(Peer);
  if (Decided)
    return false;
  Decided = true;
  Connected = true;
  WinningPeer = Peer;
  return true;
}

void connection_race::finish(mono_time Now) {
  Decided = true;
  if (WinningPeer.empty())
    return;
  // The winner shows that the server answers: the peers that it did not answer are cut off as well.
  for (const auto *Slower : {&Silent, &Unanswered})
    for (const std::string &Peer : *Slower)
      Peers->recordFailure(Peer, tunnel_failure::ServerSilent, Now);
  // A connection that was not tried directly says nothing new of the direct path.
  if (TriedDirectly && !DirectWorks && Paths.recordTunnel(Server, Now))
    Change = path_change{Server, WinningPeer};
}

std::optional<connect_failure> connection_race::failure(mono_time Now) const {
  if (Connected)
    return std::nullopt;
  connect_failure Failure{Server};
  Failure.PeersAsked = static_cast<std::uint32_t>(Tried.size());
  Failure.OfOwnDomain = static_cast<std::uint32_t>(std::count_if(
      Tried.begin(), Tried.end(), [this](const auto &Peer) { return Peers->isOfOwnDomain(Peer); }));
  Failure.Silent = static_cast<std::uint32_t>(Silent.size() + Unanswered.size());
  Failure.Down = SeenDown;
  Failure.Took = Now - Started;
  return Failure;
}

std::optional<path_change> connection_race::takeChange() {
  return std::exchange(Change, std::nullopt);
}

} // namespace pollenstall

/** @file path_table.cpp Direct paths that work, and those that need a tunnel. */
#include "path/path_table_base.h"

namespace pollenstall {

void path_table::addServer(const path_server &Server) {
  const auto [Entry, IsNew] = Servers.try_emplace(Server.Key);
  Entry->second.Service = Server.Service;
  Entry->second.Group = &Groups.try_emplace({Server.Service, Server.Domain}).first->second;
  if (IsNew)
    Addresses.emplace(Server.Key.Address, Server.Key.Incarnation);
}

void path_table::removeServer(const backend_key &Server) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  DetourCount -= Found->second.RecheckAt ? 1 : 0;
  Servers.erase(Found);
  const auto [First, Last] = Addresses.equal_range(Server.Address);
  for (auto At = First; At != Last; ++At)
    if (At->second == Server.Incarnation) {
      Addresses.erase(At);
      return;
    }
}

path_plan path_table::planFor(const backend_key &Server, mono_time Now) const {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return path_plan::Direct;
  const server_path &Path = Found->second;
  if (Path.RecheckAt)
    return Now < *Path.RecheckAt ? path_plan::Tunnel : path_plan::Both;
  // Another server just needed a tunnel, so this one may need it as well.
  const bool TunnelOpenedJustNow =
      LastTunnel != mono_time::min() && Now - LastTunnel < Tuning.RecheckInterval;
  const bool MayBeCut = (Path.Group->CutOff || TunnelOpenedJustNow) && !mayReuse(Server, Now);
  return MayBeCut ? path_plan::Both : path_plan::Direct;
}

bool path_table::mayReuse(const backend_key &Server, mono_time Now) const {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return true;
  const mono_time LastHeard = Found->second.Group->LastHeard;
  return LastHeard != mono_time::min() && Now - LastHeard <= Tuning.FreshTime;
}

bool path_table::hearsService(const backend_key &Server, mono_time Now) const {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return false;
  // The groups of a service are as many as the failure domains.
  for (auto Group = Groups.lower_bound({Found->second.Service, failure_domain_name()});
       Group != Groups.end() && Group->first.first == Found->second.Service; ++Group)
    if (Group->second.LastHeard != mono_time::min() &&
        Now - Group->second.LastHeard < Tuning.RecheckInterval)
      return true;
  return false;
}

bool path_table::mayCarry(const backend_key &Server, mono_time Now) const {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end() || Found->second.RecheckAt)
    return false;
  return !Found->second.Group->CutOff || mayReuse(Server, Now);
}

bool path_table::isRecheckDue(const backend_key &Server, mono_time Now) const {
  const auto Found = Servers.find(Server);
  return Found != Servers.end() && Found->second.RecheckAt && Now >= *Found->second.RecheckAt &&
         !Found->second.Group->CutOff;
}

tunnel_failure path_table::recordFailedForPeer(const backend_key &Server, mono_time Now) {
  const auto Found = Servers.find(Server);
  if (Found != Servers.end() && Found->second.RecheckAt)
    Found->second.RecheckAt = Now + Tuning.RecheckInterval;
  // Behind a partition, this entry can't tell a server that has ended from one that it has lost.
  const bool IsDown = DetourCount == 0 && hearsService(Server, Now);
  return IsDown ? tunnel_failure::ServerDown : tunnel_failure::ServerSilent;
}

std::vector<backend_key> path_table::detouredServers() const {
  std::vector<backend_key> Detoured;
  for (const auto &[Server, Path] : Servers)
    if (Path.RecheckAt)
      Detoured.push_back(Server);
  return Detoured;
}

mono_time *path_table::lastHeard(const backend_key &Server) {
  const auto Found = Servers.find(Server);
  return Found == Servers.end() ? nullptr : &Found->second.Group->LastHeard;
}

bool path_table::recordDirect(const backend_key &Server, mono_time Now) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return false;
  Found->second.Group->LastHeard = Now;
  Found->second.Group->CutOff = false;
  if (!Found->second.RecheckAt)
    return false;
  Found->second.RecheckAt.reset();
  --DetourCount;
  return true;
}

bool path_table::recordTunnel(const backend_key &Server, mono_time Now) {
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return false;
  LastTunnel = Now;
  Found->second.Group->CutOff = true;
  std::optional<mono_time> &RecheckAt = Found->second.RecheckAt;
  const bool Begins = !RecheckAt;
  // Tunnels that are opened meanwhile must not put the recheck off.
  if (Begins || Now >= *RecheckAt)
    RecheckAt = Now + Tuning.RecheckInterval;
  DetourCount += Begins ? 1 : 0;
  return Begins;
}

} // namespace pollenstall

/** @file failure_detector.cpp Whom to probe, and whether a missing answer accuses the other host.
 */
#include "membership/failure_detector_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::size_t MaxRelayed = 256;

} // namespace

std::optional<host_name> failure_detector::nextTarget(const std::vector<const host_record *> &Hosts,
                                                      random_source &Random) {
  if (Round.empty()) {
    for (const host_record *Host : Hosts)
      Round.push_back(Host->Key.Host);
    for (std::size_t Left = Round.size(); Left > 1; --Left)
      std::swap(Round[Left - 1], Round[Random.below(Left)]);
  }
  while (!Round.empty()) {
    const host_name Host = Round.back();
    Round.pop_back();
    const bool Known = std::any_of(Hosts.begin(), Hosts.end(), [&](const host_record *Record) {
      return Record->Key.Host == Host;
    });
    if (Known)
      return Host;
  }
  return std::nullopt;
}

void failure_detector::begin(const process_key &Target, std::uint64_t Nonce, mono_time Now) {
  const auto Patience = static_cast<mono_duration::rep>(Health) + 1;
  Probe = active_probe{Target, Nonce, Now + Settings.ProbeTimeout * Patience,
                       Now + Settings.ProbeInterval * Patience, false};
  NextProbe = Now + Settings.ProbeInterval;
}

std::optional<active_probe> failure_detector::takeIndirect(mono_time Now) {
  if (!Probe || Probe->IndirectSent || Now < Probe->IndirectAt)
    return std::nullopt;
  Probe->IndirectSent = true;
  return Probe;
}

std::optional<process_key> failure_detector::takeFailure(mono_time Now) {
  if (!Probe || Now < Probe->EndsAt)
    return std::nullopt;
  const process_key Target = Probe->Target;
  Probe.reset();
  worsen();
  return Target;
}

bool failure_detector::answered(std::uint64_t Nonce, const process_key &From) {
  if (!Probe || Probe->Nonce != Nonce || Probe->Target != From)
    return false;
  Probe.reset();
  Health -= Health > 0 ? 1 : 0;
  return true;
}

void failure_detector::distrustSelf(mono_time Now) {
  // The answer may wait unread in the socket, behind whatever kept this process from running.
  Probe.reset();
  NextProbe = Now + Settings.ProbeTimeout;
  worsen();
}

mono_time failure_detector::nextWake() const {
  if (!Probe)
    return NextProbe;
  return Probe->IndirectSent ? Probe->EndsAt : Probe->IndirectAt;
}

void failure_detector::worsen() { Health = std::min(Health + 1, Settings.MaxLocalHealth); }

void failure_detector::relay(std::uint64_t Nonce, const relayed_ping &Ping) {
  if (Relayed.size() < MaxRelayed)
    Relayed.emplace(Nonce, Ping);
}

std::optional<relayed_ping> failure_detector::takeRelayed(std::uint64_t Nonce) {
  const auto Found = Relayed.find(Nonce);
  if (Found == Relayed.end())
    return std::nullopt;
  const relayed_ping Ping = Found->second;
  Relayed.erase(Found);
  return Ping;
}

void failure_detector::dropRelayed(mono_time Now) {
  std::erase_if(Relayed, [Now](const auto &Item) { return Item.second.EndsAt < Now; });
}

} // namespace pollenstall

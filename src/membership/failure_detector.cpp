/** @file failure_detector.cpp SWIM failure detector with Lifeguard's local health multiplier. */
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
    for (std::size_t Remaining = Round.size(); Remaining > 1; --Remaining)
      std::swap(Round[Remaining - 1], Round[Random.below(Remaining)]);
  }
  while (!Round.empty()) {
    const host_name Host = Round.back();
    Round.pop_back();
    const bool IsPresent = std::any_of(Hosts.begin(), Hosts.end(), [&](const host_record *Record) {
      return Record->Key.Host == Host;
    });
    if (IsPresent)
      return Host;
  }
  return std::nullopt;
}

void failure_detector::startProbe(const process_key &Target, std::uint64_t Nonce, mono_time Now) {
  const auto Multiplier = static_cast<mono_duration::rep>(HealthMultiplier) + 1;
  Probe = active_probe{Target, Nonce, Now + Settings.ProbeTimeout * Multiplier,
                       Now + Settings.ProbeInterval * Multiplier, false};
  NextProbe = Now + Settings.ProbeInterval;
}

std::optional<active_probe> failure_detector::takeIndirectProbe(mono_time Now) {
  if (!Probe || Probe->IndirectSent || Now < Probe->IndirectAt)
    return std::nullopt;
  Probe->IndirectSent = true;
  return Probe;
}

std::optional<process_key> failure_detector::takeFailedTarget(mono_time Now) {
  if (!Probe || Now < Probe->Deadline)
    return std::nullopt;
  const process_key Target = Probe->Target;
  Probe.reset();
  raiseMultiplier();
  return Target;
}

bool failure_detector::handleAck(std::uint64_t Nonce, const process_key &From) {
  if (!Probe || Probe->Nonce != Nonce || Probe->Target != From)
    return false;
  Probe.reset();
  HealthMultiplier -= HealthMultiplier > 0 ? 1 : 0;
  return true;
}

void failure_detector::recordLocalFault(mono_time Now) {
  // The answer may be unread in the socket, behind whatever blocked this process.
  Probe.reset();
  NextProbe = Now + Settings.ProbeTimeout;
  raiseMultiplier();
}

mono_time failure_detector::nextWake() const {
  if (!Probe)
    return NextProbe;
  return Probe->IndirectSent ? Probe->Deadline : Probe->IndirectAt;
}

void failure_detector::raiseMultiplier() {
  HealthMultiplier = std::min(HealthMultiplier + 1, Settings.MaxHealthMultiplier);
}

void failure_detector::addRelayedPing(std::uint64_t Nonce, const relayed_ping &Ping) {
  if (Relayed.size() < MaxRelayed)
    Relayed.emplace(Nonce, Ping);
}

std::optional<relayed_ping> failure_detector::takeRelayedPing(std::uint64_t Nonce) {
  const auto Found = Relayed.find(Nonce);
  if (Found == Relayed.end())
    return std::nullopt;
  const relayed_ping Ping = Found->second;
  Relayed.erase(Found);
  return Ping;
}

void failure_detector::expireRelayedPings(mono_time Now) {
  std::erase_if(Relayed, [Now](const auto &Entry) { return Entry.second.Deadline < Now; });
}

} // namespace pollenstall

/** @file orphan_reaper.cpp Decides which owners have ended and which host checks an engine. */
#include "orphan/orphan_reaper_base.h"

#include <algorithm>

namespace pollenstall {

void orphan_reaper::updateHost(const host_view &View, mono_time Now) {
  const auto Found = Hosts.find(View.Key.Host);
  const bool Unchanged = Found != Hosts.end() &&
                         Found->second.Incarnation == View.Key.Incarnation &&
                         Found->second.Status == View.Status;
  if (!Unchanged)
    Hosts.insert_or_assign(View.Key.Host, host_state{View.Key.Incarnation, View.Status, Now});
}

void orphan_reaper::addEngine(const backend_announcement &Announcement) {
  if (Announcement.Capabilities.Model)
    NextCheck.try_emplace(Announcement.Key, mono_time());
}

void orphan_reaper::removeEngine(const backend_key &Backend) { NextCheck.erase(Backend); }

bool orphan_reaper::isAssignedToThisHost(const backend_key &Backend) const {
  const std::uint64_t Seed = stableHash(Backend.Address.str());
  const std::uint64_t OwnScore = stableHash(Self.Host.str(), Seed);
  return std::all_of(Hosts.begin(), Hosts.end(), [&](const auto &Entry) {
    const auto &[Name, Host] = Entry;
    return Name == Self.Host || Host.Status != host_status::Alive ||
           stableHash(Name.str(), Seed) <= OwnScore;
  });
}

std::vector<backend_key> orphan_reaper::takeDueEngines(mono_time Now) {
  std::vector<backend_key> Engines;
  for (auto &[Backend, CheckAt] : NextCheck) {
    if (Now < CheckAt)
      continue;
    CheckAt = Now + Options.Interval;
    if (isAssignedToThisHost(Backend))
      Engines.push_back(Backend);
  }
  return Engines;
}

std::optional<mono_time> orphan_reaper::nextWake() const {
  std::optional<mono_time> Next;
  for (const auto &[Backend, CheckAt] : NextCheck)
    if (!Next || CheckAt < *Next)
      Next = CheckAt;
  return Next;
}

bool orphan_reaper::hasOwnerEnded(const host_state &Host, incarnation Incarnation,
                                  mono_time Now) const {
  if (Incarnation != Host.Incarnation)
    // A newer incarnation under the same name means that the older one has ended.
    return Incarnation < Host.Incarnation;
  if (Host.Status == host_status::Left)
    return true;
  return Host.Status == host_status::Dead && Now - Host.StatusSince >= Options.DeadHostGrace;
}

bool orphan_reaper::isUnknownForTooLong(const process_key &Owner, mono_time Now) {
  if (UnknownOwners.size() >= Options.MaxUnknownOwners && !UnknownOwners.contains(Owner))
    return false;
  const auto [Entry, Inserted] = UnknownOwners.try_emplace(Owner, Now);
  return Now - Entry->second >= Options.UnknownHostGrace;
}

bool orphan_reaper::isOrphan(const attempt_id &Attempt, mono_time Now) {
  const process_key &Owner = Attempt.Owner;
  if (Owner.Host == Self.Host)
    return Owner.Incarnation < Self.Incarnation;
  const auto Host = Hosts.find(Owner.Host);
  if (Host == Hosts.end())
    return isUnknownForTooLong(Owner, Now);
  UnknownOwners.erase(Owner);
  return hasOwnerEnded(Host->second, Owner.Incarnation, Now);
}

} // namespace pollenstall

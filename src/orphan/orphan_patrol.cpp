/** @file orphan_patrol.cpp Whose attempts are over, and who looks at which engine. */
#include "orphan/orphan_patrol_base.h"

#include <algorithm>

namespace pollenstall {

void orphan_patrol::noteHost(const host_view &View, mono_time Now) {
  const auto Found = Hosts.find(View.Key.Host);
  const bool Same = Found != Hosts.end() && Found->second.Incarnation == View.Key.Incarnation &&
                    Found->second.Standing == View.Standing;
  if (!Same)
    Hosts.insert_or_assign(View.Key.Host, known_host{View.Key.Incarnation, View.Standing, Now});
}

void orphan_patrol::noteBackend(const backend_announcement &Announcement) {
  if (Announcement.Capabilities.Model)
    NextLook.try_emplace(Announcement.Key, mono_time());
}

void orphan_patrol::forgetBackend(const backend_key &Backend) { NextLook.erase(Backend); }

bool orphan_patrol::isMine(const backend_key &Backend) const {
  const std::uint64_t Seed = stableHash(Backend.Address.str());
  const std::uint64_t Own = stableHash(Self.Host.str(), Seed);
  return std::all_of(Hosts.begin(), Hosts.end(), [&](const auto &Entry) {
    const auto &[Name, Host] = Entry;
    return Name == Self.Host || Host.Standing != host_standing::Alive ||
           stableHash(Name.str(), Seed) <= Own;
  });
}

std::vector<backend_key> orphan_patrol::due(mono_time Now) {
  std::vector<backend_key> Engines;
  for (auto &[Backend, Look] : NextLook) {
    if (Now < Look)
      continue;
    Look = Now + Settings.Interval;
    if (isMine(Backend))
      Engines.push_back(Backend);
  }
  return Engines;
}

std::optional<mono_time> orphan_patrol::nextWake() const {
  std::optional<mono_time> Next;
  for (const auto &[Backend, Look] : NextLook)
    if (!Next || Look < *Next)
      Next = Look;
  return Next;
}

bool orphan_patrol::ownerIsOver(const known_host &Host, incarnation Incarnation,
                                mono_time Now) const {
  if (Incarnation != Host.Incarnation)
    return Incarnation <
           Host.Incarnation; // A newer life answers under the name: the old one is gone.
  if (Host.Standing == host_standing::Left)
    return true;
  return Host.Standing == host_standing::Dead && Now - Host.Since >= Settings.DeadGrace;
}

bool orphan_patrol::unknownForLong(const process_key &Owner, mono_time Now) {
  if (Unknown.size() >= Settings.MaxUnknown && !Unknown.contains(Owner))
    return false;
  const auto [Entry, New] = Unknown.try_emplace(Owner, Now);
  return Now - Entry->second >= Settings.UnknownGrace;
}

bool orphan_patrol::isOrphan(const attempt_id &Attempt, mono_time Now) {
  const process_key &Owner = Attempt.Owner;
  if (Owner.Host == Self.Host)
    return Owner.Incarnation < Self.Incarnation;
  const auto Host = Hosts.find(Owner.Host);
  if (Host == Hosts.end())
    return unknownForLong(Owner, Now);
  Unknown.erase(Owner);
  return ownerIsOver(Host->second, Owner.Incarnation, Now);
}

} // namespace pollenstall

/** @file in_force_tracker.cpp The leader's count of the entries' leases. */
#include "control_state/in_force_tracker_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint32_t Permille = 1000;
/// Entries are listed for this many leases after they were last heard of.
constexpr int ListedLeases = 12;

} // namespace

mono_duration in_force_tracker::longest(mono_duration Lease) const {
  // The entry's clock may run slow and this one fast, each by the skew.
  return Lease + Lease * (2 * Options.ClockSkewPermille) / Permille;
}

mono_duration in_force_tracker::leaseFor(revision Confirmed, mono_time Now) const {
  // What was accepted longer ago than ConfirmWithin is below the floor, so nobody lags behind it.
  const auto Missed = std::find_if(Recent.begin(), Recent.end(),
                                   [&](const auto &Change) { return Confirmed < Change.first; });
  if (Missed == Recent.end())
    return Options.Lease;
  const mono_duration Left = Missed->second + Options.ApplyWithin - Now;
  return std::min(Options.Lease, Left * Permille / (Permille + 2 * Options.ClockSkewPermille));
}

void in_force_tracker::takeOffice(revision Declared, mono_time Now) {
  Current = Declared;
  Due = Declared;
  Recent.clear();
  Entries.clear();
  Reported.reset();
  PredecessorsEnd = Now + longest(Options.Lease);
}

void in_force_tracker::accepted(revision Declared, mono_time Now) {
  requireInvariant(Declared >= Current, "the revision only rises");
  if (Declared == Current)
    return;
  Current = Declared;
  Recent.emplace_back(Declared, Now);
}

revision in_force_tracker::leaseFloor(mono_time Now) {
  while (!Recent.empty() && Recent.front().second + Options.ConfirmWithin <= Now) {
    Due = Recent.front().first;
    Recent.pop_front();
  }
  const std::optional<revision> Known = inForce(Now);
  return Known ? std::max(Due, *Known) : Due;
}

std::optional<mono_duration> in_force_tracker::renew(const process_key &Process,
                                                     const failure_domain_name &Domain,
                                                     std::optional<revision> Confirmed,
                                                     mono_time Now) {
  const revision Floor = leaseFloor(Now);
  entry_lease &Entry = Entries[Process];
  const bool Reverts = Entry.Confirmed && (!Confirmed || *Confirmed < *Entry.Confirmed);
  Entry.Process = Process;
  Entry.Domain = Domain;
  Entry.LastSeen = Now;
  if (Reverts)
    return std::nullopt; // A delayed request of the same life: it proves nothing new.
  Entry.Confirmed = Confirmed;
  // Without this bound an entry that never takes a change would keep it from being in force for
  // ever; without a lease it turns unready and the change is in force without it.
  if (!Confirmed || *Confirmed < Floor || *Confirmed > Current)
    return std::nullopt;
  const mono_duration Lease = leaseFor(*Confirmed, Now);
  if (Lease <= mono_duration::zero())
    return std::nullopt;
  // An earlier lease, given before the change that it lags behind, may end later.
  Entry.LeaseEnd = std::max(Entry.LeaseEnd, Now + longest(Lease));
  return Lease;
}

std::optional<revision> in_force_tracker::inForce(mono_time Now) {
  if (Now < PredecessorsEnd)
    return std::nullopt;
  revision Lowest = Current;
  for (const auto &[Process, Entry] : Entries)
    if (Now < Entry.LeaseEnd && Entry.Confirmed)
      Lowest = std::min(Lowest, *Entry.Confirmed);
  requireInvariant(!Reported || Lowest >= *Reported, "what is in force never reverts");
  Reported = Lowest;
  forgetOldEntries(Now);
  return Reported;
}

bool in_force_tracker::mayAcknowledge(revision Accepted, mono_time Now) const {
  const mono_time Limit = Now + Options.ApplyWithin;
  if (Accepted > Current || Limit < PredecessorsEnd)
    return false;
  return std::all_of(Entries.begin(), Entries.end(), [&](const auto &Item) {
    const entry_lease &Entry = Item.second;
    return Entry.LeaseEnd <= Limit || (Entry.Confirmed && *Entry.Confirmed >= Accepted);
  });
}

void in_force_tracker::forgetOldEntries(mono_time Now) {
  for (auto Entry = Entries.begin(); Entry != Entries.end();)
    if (Entry->second.LeaseEnd <= Now &&
        Entry->second.LastSeen + ListedLeases * Options.Lease < Now)
      Entry = Entries.erase(Entry);
    else
      ++Entry;
}

std::vector<entry_lease> in_force_tracker::entries() const {
  std::vector<entry_lease> List;
  List.reserve(Entries.size());
  for (const auto &[Process, Entry] : Entries)
    List.push_back(Entry);
  return List;
}

} // namespace pollenstall

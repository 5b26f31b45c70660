/** @file in_force_tracker.cpp Bookkeeping of the entries' leases at the leader. */
#include "control_state/in_force_tracker_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr std::uint32_t Permille = 1000;
/// An entry stays listed for the duration of this many leases after its last request.
constexpr int EntryRetentionLeases = 12;

} // namespace

mono_duration in_force_tracker::maxLeaseDuration(mono_duration Lease) const {
  // The entry's clock may run slow and this host's clock fast, each by the skew.
  return Lease + Lease * (2 * Options.ClockSkewPermille) / Permille;
}

mono_duration in_force_tracker::leaseFor(revision Confirmed, mono_time Now) const {
  // Entries that lack a change accepted longer than ConfirmWithin ago get no lease, so only recent
  // changes matter here.
  const auto FirstMissed =
      std::find_if(RecentRevisions.begin(), RecentRevisions.end(),
                   [&](const auto &Change) { return Confirmed < Change.first; });
  if (FirstMissed == RecentRevisions.end())
    return Options.Lease;
  const mono_duration Remaining = FirstMissed->second + Options.ApplyWithin - Now;
  return std::min(Options.Lease, Remaining * Permille / (Permille + 2 * Options.ClockSkewPermille));
}

void in_force_tracker::beginTerm(revision Declared, mono_time Now) {
  Current = Declared;
  MinGrantedRevision = Declared;
  RecentRevisions.clear();
  Entries.clear();
  LastInForce.reset();
  PredecessorLeasesEnd = Now + maxLeaseDuration(Options.Lease);
}

void in_force_tracker::recordChange(revision Declared, mono_time Now) {
  requireInvariant(Declared >= Current, "the revision only rises");
  if (Declared == Current)
    return;
  Current = Declared;
  RecentRevisions.emplace_back(Declared, Now);
}

revision in_force_tracker::minLeasableRevision(mono_time Now) {
  while (!RecentRevisions.empty() &&
         RecentRevisions.front().second + Options.ConfirmWithin <= Now) {
    MinGrantedRevision = RecentRevisions.front().first;
    RecentRevisions.pop_front();
  }
  const std::optional<revision> InForce = inForce(Now);
  return InForce ? std::max(MinGrantedRevision, *InForce) : MinGrantedRevision;
}

std::optional<mono_duration> in_force_tracker::renew(const process_key &Process,
                                                     const failure_domain_name &Domain,
                                                     std::optional<revision> Confirmed,
                                                     mono_time Now) {
  const std::optional<mono_duration> Lease = offer(Process, Domain, Confirmed, Now);
  if (Lease)
    grant(Process, *Lease, Now);
  return Lease;
}

std::optional<mono_duration> in_force_tracker::offer(const process_key &Process,
                                                     const failure_domain_name &Domain,
                                                     std::optional<revision> Confirmed,
                                                     mono_time Now) {
  const revision MinRevision = minLeasableRevision(Now);
  tracked_entry &Entry = Entries[Process];
  const bool Reverts = Entry.Confirmed && (!Confirmed || *Confirmed < *Entry.Confirmed);
  Entry.Process = Process;
  Entry.Domain = Domain;
  Entry.LastSeen = Now;
  if (Reverts)
    // An older, delayed request of the same incarnation; the entry has confirmed a newer
    // revision since.
    return std::nullopt;
  Entry.Confirmed = Confirmed;
  // Without this bound an entry that never applies a change would keep it from ever being in force.
  // Without a lease the entry becomes unready, and the change is in force without it.
  if (!Confirmed || *Confirmed < MinRevision || *Confirmed > Current)
    return std::nullopt;
  const mono_duration Lease = leaseFor(*Confirmed, Now);
  if (Lease <= mono_duration::zero())
    return std::nullopt;
  return Lease;
}

void in_force_tracker::grant(const process_key &Process, mono_duration Lease, mono_time Now) {
  tracked_entry &Entry = Entries.at(Process);
  // The entry may still rely on an earlier, longer lease, granted before the change that it lacks.
  Entry.LeaseEnd = std::max(Entry.LeaseEnd, Now + maxLeaseDuration(Lease));
}

std::optional<revision> in_force_tracker::inForce(mono_time Now) {
  if (Now < PredecessorLeasesEnd)
    return std::nullopt;
  revision Lowest = Current;
  for (const auto &[Process, Entry] : Entries)
    if (Now < Entry.LeaseEnd && Entry.Confirmed)
      Lowest = std::min(Lowest, *Entry.Confirmed);
  requireInvariant(!LastInForce || Lowest >= *LastInForce, "what is in force never reverts");
  LastInForce = Lowest;
  evictStaleEntries(Now);
  return LastInForce;
}

bool in_force_tracker::mayAcknowledge(revision Accepted, mono_time Now) const {
  const mono_time Limit = Now + Options.ApplyWithin;
  if (Accepted > Current || Limit < PredecessorLeasesEnd)
    return false;
  return std::all_of(Entries.begin(), Entries.end(), [&](const auto &ProcessAndLease) {
    const tracked_entry &Entry = ProcessAndLease.second;
    return Entry.LeaseEnd <= Limit || (Entry.Confirmed && *Entry.Confirmed >= Accepted);
  });
}

void in_force_tracker::evictStaleEntries(mono_time Now) {
  for (auto Entry = Entries.begin(); Entry != Entries.end();)
    if (Entry->second.LeaseEnd <= Now &&
        Entry->second.LastSeen + EntryRetentionLeases * Options.Lease < Now)
      Entry = Entries.erase(Entry);
    else
      ++Entry;
}

std::vector<tracked_entry> in_force_tracker::entries() const {
  std::vector<tracked_entry> List;
  List.reserve(Entries.size());
  for (const auto &[Process, Entry] : Entries)
    List.push_back(Entry);
  return List;
}

} // namespace pollenstall

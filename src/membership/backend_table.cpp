/** @file backend_table.cpp backend_table: merging records, reports and digests. */
#include "membership/backend_table_base.h"

#include "membership/load_digest_func.h"
#include "membership/record_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

bool sameContent(const backend_announcement &A, backend_announcement B) {
  B.Leaving = A.Leaving; // Leaving sticks and is merged apart from the content
  return A == B;
}

bool isNew(const backend_entry &Entry) { return Entry.Announcement.Key.Address.empty(); }

} // namespace

backend_change backend_table::announce(const backend_announcement &Announcement,
                                       const backend_load &Load, event_time Time) {
  backend_change Change;
  Change.Subject = subjectOf(Announcement.Key.Address);
  backend_entry *Entry = findOrCreate(Change.Subject);
  Change.Rejected = Entry == nullptr;
  Change.Stale =
      Entry != nullptr && Announcement.Key.Incarnation < Entry->Announcement.Key.Incarnation;
  if (Change.Rejected || Change.Stale)
    return Change;
  if (isNew(*Entry) || Announcement.Key.Incarnation > Entry->Announcement.Key.Incarnation)
    replaceIncarnation(Change.Subject, *Entry, Announcement, Change);
  if (Announcement.Leaving)
    markLeaving(Change.Subject, *Entry, Change);
  const bool IsFirstReport = Change.RecordChanged && Load.Sequence == Entry->Load.Sequence;
  if (Load.Sequence <= Entry->Load.Sequence && !IsFirstReport)
    return Change; // duplicate or reordered
  // A return from Lost counts as a change: hosts that hold a tombstone need the announcement again.
  if (Entry->Lost || Entry->Tombstone || Change.RecordChanged ||
      !sameContent(Entry->Announcement, Announcement)) {
    replaceRecord(Change.Subject, *Entry, Announcement, Load.Sequence);
    Change.RecordChanged = true;
  }
  Change.StatusChanged = Change.StatusChanged || Entry->Lost;
  LiveBackends += Entry->Lost ? 1 : 0;
  const bool NextInRun = Load.Sequence == Entry->Load.Sequence + 1;
  Entry->DirectReports = NextInRun && !Change.RecordChanged ? Entry->DirectReports + 1 : 1;
  Entry->Load = Load;
  Entry->Lost = false;
  Entry->ReportedAt = Time.Now;
  Entry->ReportedConnectedTime = Time.ConnectedTime;
  Change.LoadChanged = true;
  return Change;
}

backend_change backend_table::merge(const backend_record &Record, event_time Time) {
  backend_change Change;
  Change.Subject = subjectOf(Record.Announcement.Key.Address);
  backend_entry *Entry = findOrCreate(Change.Subject);
  Change.Rejected = Entry == nullptr;
  Change.Stale =
      Entry != nullptr && Record.Announcement.Key.Incarnation < Entry->Announcement.Key.Incarnation;
  if (Change.Rejected || Change.Stale)
    return Change;
  if (isNew(*Entry) || Record.Announcement.Key.Incarnation > Entry->Announcement.Key.Incarnation)
    replaceIncarnation(Change.Subject, *Entry, Record.Announcement, Change);
  if (Record.Announcement.Leaving)
    markLeaving(Change.Subject, *Entry, Change);
  mergeRecord(Change.Subject, *Entry, Record, Change);
  mergeLoad(*Entry, unpackLoad(Record.Load, Record.LoadSequence), Record.Load, Time, Change);
  return Change;
}

backend_change backend_table::merge(const load_digest &Digest, event_time Time) {
  backend_change Change;
  const auto Subject = subjectOfDigest(Digest.Backend);
  if (!Subject)
    return Change;
  Change.Subject = *Subject;
  backend_entry &Entry = Entries.at(*Subject);
  if (unpackState(Digest).Leaving)
    markLeaving(*Subject, Entry, Change);
  mergeLoad(Entry, unpackLoad(Digest, Entry.Load.Sequence), Digest, Time, Change);
  Change.NeedsRecord = Entry.Tombstone && Change.LoadChanged;
  return Change;
}

void backend_table::mergeRecord(std::uint64_t Subject, backend_entry &Entry,
                                const backend_record &Record, backend_change &Change) {
  const bool Restores = Entry.Tombstone && !Record.Tombstone;
  const bool Newer = Record.Sequence > Entry.Sequence;
  if (!Newer && !Restores && !Change.RecordChanged)
    return;
  if (Newer || Restores || Record.Sequence == Entry.Sequence) {
    replaceRecord(Subject, Entry, Record.Announcement, std::max(Record.Sequence, Entry.Sequence));
    Entry.Tombstone = Record.Tombstone;
    Change.RecordChanged = true;
  }
}

void backend_table::mergeLoad(backend_entry &Entry, const backend_load &Load,
                              const load_digest &Digest, event_time Time, backend_change &Change) {
  const digest_state State = unpackState(Digest);
  const bool IsFirstReport = Change.Replaced.has_value() || Entry.ReportedAt == mono_time{};
  const mono_duration TimeSinceReport = Time.ConnectedTime - Entry.ReportedConnectedTime;
  if (Load.Sequence > Entry.Load.Sequence || IsFirstReport) {
    Change.StatusChanged = Change.StatusChanged || Entry.Lost != State.Lost;
    LiveBackends += Entry.Lost ? 1 : 0;
    LiveBackends -= State.Lost ? 1 : 0;
    Entry.Load = Load;
    Entry.Lost = State.Lost;
    Entry.ReportedAt = Time.Now - State.Age;
    Entry.ReportedConnectedTime = Time.ConnectedTime - State.Age;
    Entry.GossipedConnectedTime = Entry.ReportedConnectedTime;
    Entry.DirectReports = 0;
    Change.LoadChanged = true;
    return;
  }
  Change.ReportedLossIsStale = State.Lost && Load.Sequence < Entry.Load.Sequence && !Entry.Lost;
  // Another host claims a loss at the same report. The claim is ignored until half of the expiry
  // timeout has passed here since that report, because the other host's clock may be wrong. If the
  // backend server is in fact lost, this host's own timeout expires too.
  const bool RemoteClaimsLoss = Load.Sequence == Entry.Load.Sequence && State.Lost && !Entry.Lost;
  if (RemoteClaimsLoss && TimeSinceReport >= Settings.BackendExpiry / 2) {
    Entry.Lost = true;
    --LiveBackends;
    Change.StatusChanged = true;
  }
}

void backend_table::replaceIncarnation(std::uint64_t Subject, backend_entry &Entry,
                                       const backend_announcement &Announcement,
                                       backend_change &Change) {
  if (!isNew(Entry)) {
    requireInvariant(Announcement.Key.Incarnation > Entry.Announcement.Key.Incarnation,
                     "no older incarnation of a backend server replaces a newer one");
    if (!Entry.Tombstone)
      Change.Replaced = Entry.Announcement.Key;
    toggleBucket(Subject, Entry);
    dropDigestId(Subject, Entry.Announcement.Key);
    LiveBackends -= Entry.Lost ? 0 : 1;
  }
  Entry = backend_entry{};
  Entry.Announcement = Announcement;
  toggleBucket(Subject, Entry);
  ByDigest[digestId(Announcement.Key)].push_back(Subject);
  ++LiveBackends;
  Change.RecordChanged = true;
  Change.StatusChanged = true;
}

void backend_table::replaceRecord(std::uint64_t Subject, backend_entry &Entry,
                                  const backend_announcement &Announcement,
                                  std::uint64_t Sequence) {
  const bool Leaving = Entry.Announcement.Leaving || Announcement.Leaving;
  requireInvariant(Announcement.Key == Entry.Announcement.Key,
                   "a record is rewritten within one incarnation only");
  toggleBucket(Subject, Entry);
  Entry.Announcement = Announcement;
  Entry.Announcement.Leaving = Leaving;
  Entry.Sequence = Sequence;
  Entry.Tombstone = false;
  toggleBucket(Subject, Entry);
}

void backend_table::markLeaving(std::uint64_t Subject, backend_entry &Entry,
                                backend_change &Change) {
  if (Entry.Announcement.Leaving)
    return;
  toggleBucket(Subject, Entry);
  Entry.Announcement.Leaving = true;
  toggleBucket(Subject, Entry);
  Change.StatusChanged = true;
}

backend_entry *backend_table::findOrCreate(std::uint64_t Subject) {
  const auto Found = Entries.find(Subject);
  if (Found != Entries.end())
    return &Found->second;
  if (Entries.size() >= Settings.MaxBackends && !evictTombstone())
    return nullptr;
  return &Entries[Subject];
}

bool backend_table::evictTombstone() {
  auto Oldest = Entries.end();
  for (auto Entry = Entries.begin(); Entry != Entries.end(); ++Entry)
    if (Entry->second.Tombstone &&
        (Oldest == Entries.end() || Entry->second.ReportedAt < Oldest->second.ReportedAt))
      Oldest = Entry;
  if (Oldest == Entries.end())
    return false;
  toggleBucket(Oldest->first, Oldest->second);
  dropDigestId(Oldest->first, Oldest->second.Announcement.Key);
  Entries.erase(Oldest);
  return true;
}

void backend_table::toggleBucket(std::uint64_t Subject, const backend_entry &Entry) {
  Buckets[backendBucket(Subject)] ^= hashOf(versionOf(Entry.Announcement, Entry.Sequence));
}

void backend_table::dropDigestId(std::uint64_t Subject, const backend_key &Key) {
  const auto Found = ByDigest.find(digestId(Key));
  std::erase(Found->second, Subject);
  if (Found->second.empty())
    ByDigest.erase(Found);
}

} // namespace pollenstall

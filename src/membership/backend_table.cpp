/** @file backend_table.cpp Backend servers: which record prevails. */
#include "membership/backend_table_base.h"

#include "membership/load_digest_func.h"
#include "membership/record_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

bool sameContent(const backend_announcement &A, backend_announcement B) {
  B.Leaving = A.Leaving; // sticks by itself and is merged apart from the content
  return A == B;
}

bool isNew(const backend_entry &Entry) { return Entry.Announcement.Key.Address.empty(); }

} // namespace

backend_change backend_table::announce(const backend_announcement &Announcement,
                                       const backend_load &Load, table_time Time) {
  backend_change Change;
  Change.Subject = subjectOf(Announcement.Key.Address);
  backend_entry *Entry = admit(Change.Subject);
  Change.Refused = Entry == nullptr;
  Change.Older =
      Entry != nullptr && Announcement.Key.Incarnation < Entry->Announcement.Key.Incarnation;
  if (Change.Refused || Change.Older)
    return Change;
  if (isNew(*Entry) || Announcement.Key.Incarnation > Entry->Announcement.Key.Incarnation)
    replaceIncarnation(Change.Subject, *Entry, Announcement, Change);
  if (Announcement.Leaving)
    markLeaving(Change.Subject, *Entry, Change);
  const bool First = Change.Record && Load.Sequence == Entry->Load.Sequence;
  if (Load.Sequence <= Entry->Load.Sequence && !First)
    return Change; // a repeat, or overtaken on the way
  // A return from Lost counts as a change: hosts that forgot the announcement need it again.
  if (Entry->Lost || Entry->Forgotten || Change.Record ||
      !sameContent(Entry->Announcement, Announcement)) {
    rewrite(Change.Subject, *Entry, Announcement, Load.Sequence);
    Change.Record = true;
  }
  Change.Standing = Change.Standing || Entry->Lost;
  Present += Entry->Lost ? 1 : 0;
  const bool NextInRun = Load.Sequence == Entry->Load.Sequence + 1;
  Entry->DirectRun = NextInRun && !Change.Record ? Entry->DirectRun + 1 : 1;
  Entry->Load = Load;
  Entry->Lost = false;
  Entry->HeardAt = Time.Now;
  Entry->HeardListening = Time.Listened;
  Change.Load = true;
  return Change;
}

backend_change backend_table::merge(const backend_record &Record, table_time Time) {
  backend_change Change;
  Change.Subject = subjectOf(Record.Announcement.Key.Address);
  backend_entry *Entry = admit(Change.Subject);
  Change.Refused = Entry == nullptr;
  Change.Older =
      Entry != nullptr && Record.Announcement.Key.Incarnation < Entry->Announcement.Key.Incarnation;
  if (Change.Refused || Change.Older)
    return Change;
  if (isNew(*Entry) || Record.Announcement.Key.Incarnation > Entry->Announcement.Key.Incarnation)
    replaceIncarnation(Change.Subject, *Entry, Record.Announcement, Change);
  if (Record.Announcement.Leaving)
    markLeaving(Change.Subject, *Entry, Change);
  mergeBody(Change.Subject, *Entry, Record, Change);
  mergeLoad(*Entry, unpackLoad(Record.Load, Record.LoadSequence), Record.Load, Time, Change);
  return Change;
}

backend_change backend_table::merge(const load_digest &Digest, table_time Time) {
  backend_change Change;
  const auto Subject = subjectOfDigest(Digest.Backend);
  if (!Subject)
    return Change;
  Change.Subject = *Subject;
  backend_entry &Entry = Entries.at(*Subject);
  if (stateOf(Digest).Leaving)
    markLeaving(*Subject, Entry, Change);
  mergeLoad(Entry, unpackLoad(Digest, Entry.Load.Sequence), Digest, Time, Change);
  Change.NeedsBody = Entry.Forgotten && Change.Load;
  return Change;
}

void backend_table::mergeBody(std::uint64_t Subject, backend_entry &Entry,
                              const backend_record &Record, backend_change &Change) {
  const bool Restores = Entry.Forgotten && !Record.Forgotten;
  const bool Newer = Record.Sequence > Entry.Sequence;
  if (!Newer && !Restores && !Change.Record)
    return;
  if (Newer || Restores || Record.Sequence == Entry.Sequence) {
    rewrite(Subject, Entry, Record.Announcement, std::max(Record.Sequence, Entry.Sequence));
    Entry.Forgotten = Record.Forgotten;
    Change.Record = true;
  }
}

void backend_table::mergeLoad(backend_entry &Entry, const backend_load &Load,
                              const load_digest &Digest, table_time Time, backend_change &Change) {
  const digest_state State = stateOf(Digest);
  const bool First = Change.Replaced.has_value() || Entry.HeardAt == mono_time{};
  const mono_duration Silence = Time.Listened - Entry.HeardListening;
  if (Load.Sequence > Entry.Load.Sequence || First) {
    Change.Standing = Change.Standing || Entry.Lost != State.Lost;
    Present += Entry.Lost ? 1 : 0;
    Present -= State.Lost ? 1 : 0;
    Entry.Load = Load;
    Entry.Lost = State.Lost;
    Entry.HeardAt = Time.Now - State.Age;
    Entry.HeardListening = Time.Listened - State.Age;
    Entry.ReleasedListening = Entry.HeardListening;
    Entry.DirectRun = 0;
    Change.Load = true;
    return;
  }
  Change.Contradicts = State.Lost && Load.Sequence < Entry.Load.Sequence && !Entry.Lost;
  // The same report, given up elsewhere. Where it is young here, the other's clock is not believed:
  // if the silence is real, this host comes to the same end by itself.
  const bool Agrees = Load.Sequence == Entry.Load.Sequence && State.Lost && !Entry.Lost;
  if (Agrees && Silence >= Settings.BackendExpiry / 2) {
    Entry.Lost = true;
    --Present;
    Change.Standing = true;
  }
}

void backend_table::replaceIncarnation(std::uint64_t Subject, backend_entry &Entry,
                                       const backend_announcement &Announcement,
                                       backend_change &Change) {
  if (!isNew(Entry)) {
    requireInvariant(Announcement.Key.Incarnation > Entry.Announcement.Key.Incarnation,
                     "no older incarnation of a backend server replaces a newer one");
    if (!Entry.Forgotten)
      Change.Replaced = Entry.Announcement.Key;
    toggleBucket(Subject, Entry);
    dropDigestId(Subject, Entry.Announcement.Key);
    Present -= Entry.Lost ? 0 : 1;
  }
  Entry = backend_entry{};
  Entry.Announcement = Announcement;
  toggleBucket(Subject, Entry);
  ByDigest[digestId(Announcement.Key)].push_back(Subject);
  ++Present;
  Change.Record = true;
  Change.Standing = true;
}

void backend_table::rewrite(std::uint64_t Subject, backend_entry &Entry,
                            const backend_announcement &Announcement, std::uint64_t Sequence) {
  const bool Leaving = Entry.Announcement.Leaving || Announcement.Leaving;
  requireInvariant(Announcement.Key == Entry.Announcement.Key,
                   "a record is rewritten within one incarnation only");
  toggleBucket(Subject, Entry);
  Entry.Announcement = Announcement;
  Entry.Announcement.Leaving = Leaving;
  Entry.Sequence = Sequence;
  Entry.Forgotten = false;
  toggleBucket(Subject, Entry);
}

void backend_table::markLeaving(std::uint64_t Subject, backend_entry &Entry,
                                backend_change &Change) {
  if (Entry.Announcement.Leaving)
    return;
  toggleBucket(Subject, Entry);
  Entry.Announcement.Leaving = true;
  toggleBucket(Subject, Entry);
  Change.Standing = true;
}

backend_entry *backend_table::admit(std::uint64_t Subject) {
  const auto Found = Entries.find(Subject);
  if (Found != Entries.end())
    return &Found->second;
  if (Entries.size() >= Settings.MaxBackends && !evictOne())
    return nullptr;
  return &Entries[Subject];
}

bool backend_table::evictOne() {
  auto Oldest = Entries.end();
  for (auto Entry = Entries.begin(); Entry != Entries.end(); ++Entry)
    if (Entry->second.Forgotten &&
        (Oldest == Entries.end() || Entry->second.HeardAt < Oldest->second.HeardAt))
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

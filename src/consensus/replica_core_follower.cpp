/** @file replica_core_follower.cpp Receiving entries and snapshots from a leader. */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

bool replica_core::acceptLeader(const consensus_message &Message, mono_time Now) {
  if (Message.Term < Hard.Term)
    return false;
  const bool Campaigning =
      role() == replica_role::PreCandidate || role() == replica_role::Candidate;
  if (Message.Term > Hard.Term)
    adoptTerm(Message.Term);
  else if (Campaigning)
    stepDown();
  const bool OneLeader = Leader.Member == member_id() || Leader == Message.From;
  checkInvariant(role() != replica_role::Leader && OneLeader, "a term has one leader");
  Leader = Message.From;
  recordFollowedLeader(Leader);
  recordLeaderContact(Now);
  return true;
}

bool replica_core::isWellFormed(const append_request &Request, term_number Term) const {
  log_index Index = Request.PrevIndex;
  term_number PreviousTerm = Request.PrevTerm;
  for (const log_entry &Entry : Request.Entries) {
    if (Entry.Index != Index.next() || Entry.Term < PreviousTerm || Entry.Term > Term)
      return false;
    if (Entry.Kind == entry_kind::Membership && !decodeMembers(Entry.Payload))
      return false;
    Index = Entry.Index;
    PreviousTerm = Entry.Term;
  }
  return PreviousTerm <= Term;
}

void replica_core::receiveBody(const consensus_message &Message, append_request &Request,
                               mono_time Now) {
  if (!isWellFormed(Request, Message.Term))
    return;
  if (!acceptLeader(Message, Now)) {
    rejectAppend(Message, Request);
    return;
  }
  if (Request.PrevIndex < Commit) {
    // Committed entries are the same on all members, so only the entries after them are checked.
    std::erase_if(Request.Entries, [this](const log_entry &Old) { return Old.Index <= Commit; });
    Request.PrevIndex = Commit;
    Request.PrevTerm = *Log.termAt(Commit);
  }
  if (!Log.matches(Request.PrevIndex, Request.PrevTerm)) {
    rejectAppend(Message, Request);
    return;
  }
  storeEntries(Message, Request);
}

void replica_core::rejectAppend(const consensus_message &Message, const append_request &Request) {
  const log_index HintIndex =
      std::max(Commit, Log.lastIndexWithTermAtMost(Request.PrevIndex, Request.PrevTerm));
  const term_number HintTerm = Log.termAt(HintIndex).value_or(term_number());
  reply(Message,
        append_reply{false, log_index(), Request.PrevIndex, HintIndex, HintTerm, Request.Round,
                     Request.SentAt},
        PersistTracker.hardStateNumber());
}

void replica_core::storeEntries(const consensus_message &Message, const append_request &Request) {
  bool AnyStored = false;
  for (const log_entry &Entry : Request.Entries)
    AnyStored |= storeEntry(Entry);
  const log_index LastIndex(Request.PrevIndex.value() + Request.Entries.size());
  setCommit(std::min(Request.Commit, LastIndex));
  append_reply Reply{true, LastIndex, {}, {}, {}, Request.Round, Request.SentAt};
  if (!AnyStored)
    Reply.Match = std::min(LastIndex, PersistTracker.durable());
  // The reply to a heartbeat does not wait for entries that are still being written: a slow disk
  // delays the commit but does not make the leader lose its lease.
  reply(Message, Reply, AnyStored ? PersistTracker.lastNumber() : PersistTracker.hardStateNumber());
}

bool replica_core::storeEntry(const log_entry &Entry) {
  if (Entry.Index <= Log.lastIndex()) {
    if (Log.termAt(Entry.Index) == Entry.Term) {
      checkInvariant(Log.at(Entry.Index) == Entry,
                     "entries with the same index and term are equal");
      return false;
    }
    checkInvariant(Entry.Index > Commit, "committed entries are never truncated");
    Log.truncateFrom(Entry.Index);
    PersistTracker.truncateFrom(Entry.Index);
    if (History.currentIndex() >= Entry.Index) {
      History.truncateFrom(Entry.Index);
      handleMembersChange();
    }
  }
  Log.append(Entry);
  PersistTracker.append(Entry);
  if (Entry.Kind == entry_kind::Membership)
    adoptMembers(Entry.Index, *decodeMembers(Entry.Payload));
  return true;
}

void replica_core::receiveBody(const consensus_message &Message, snapshot_request &Request,
                               mono_time Now) {
  const log_snapshot &OfferedSnapshot = Request.Snapshot;
  if (OfferedSnapshot.State.size() > Options.MaxSnapshotBytes ||
      voterCount(OfferedSnapshot.Members) == 0)
    return;
  append_reply Reply{true, {}, {}, {}, {}, Request.Round, Request.SentAt};
  if (!acceptLeader(Message, Now)) {
    Reply.Matched = false;
    reply(Message, Reply, PersistTracker.hardStateNumber());
    return;
  }
  if (Log.matches(OfferedSnapshot.Index, OfferedSnapshot.Term))
    setCommit(OfferedSnapshot.Index);
  if (OfferedSnapshot.Index <= Commit) {
    Reply.Match = std::min(Commit, PersistTracker.durable());
    reply(Message, Reply, PersistTracker.hardStateNumber());
    return;
  }
  Snapshot = std::make_shared<const log_snapshot>(std::move(Request.Snapshot));
  Log.reset(Snapshot->Index, Snapshot->Term);
  PersistTracker.resetToSnapshot(Snapshot);
  Commit = Snapshot->Index;
  Applied = Snapshot->Index;
  History.reset(Snapshot->Index, Snapshot->Members);
  handleMembersChange();
  Actions.emplace_back(install_snapshot{Snapshot});
  Reply.Match = Snapshot->Index;
  reply(Message, Reply, PersistTracker.lastNumber());
}

} // namespace pollenstall

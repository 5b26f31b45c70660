/** @file replica_log.cpp The in-memory part of a replica's log. */
#include "consensus/replica_log_base.h"

#include <algorithm>

namespace pollenstall {

replica_log::replica_log(const restored_log &State) {
  log_index SnapshotIndex;
  if (State.Snapshot) {
    SnapshotIndex = State.Snapshot->Index;
    reset(SnapshotIndex, State.Snapshot->Term);
  }
  if (State.Entries.empty())
    return;
  const log_index First = State.Entries.front().Index;
  requireInvariant(First <= SnapshotIndex.next(), "a restored log has no gap after its snapshot");
  if (State.Entries.back().Index < SnapshotIndex)
    return;
  if (First > SnapshotIndex) {
    Entries.assign(State.Entries.begin(), State.Entries.end());
    return;
  }
  const std::size_t SnapshotOffset = SnapshotIndex.value() - First.value();
  if (State.Entries[SnapshotOffset].Term != State.Snapshot->Term)
    return;
  // The term before the first entry is not known, so the first entry becomes the base.
  reset(First, State.Entries.front().Term);
  Entries.assign(State.Entries.begin() + 1, State.Entries.end());
}

std::size_t replica_log::offsetOf(log_index Index) const {
  return Index.value() - BaseIndex.value() - 1;
}

log_index replica_log::lastIndex() const { return log_index(BaseIndex.value() + Entries.size()); }

term_number replica_log::lastTerm() const {
  return Entries.empty() ? BaseTerm : Entries.back().Term;
}

std::optional<term_number> replica_log::termAt(log_index Index) const {
  if (Index == BaseIndex)
    return BaseTerm;
  if (Index < BaseIndex || Index > lastIndex())
    return std::nullopt;
  return at(Index).Term;
}

const log_entry &replica_log::at(log_index Index) const {
  requireInvariant(Index > BaseIndex && Index <= lastIndex(), "only entries in memory are read");
  return Entries[offsetOf(Index)];
}

bool replica_log::matches(log_index Index, term_number Term) const { return termAt(Index) == Term; }

bool replica_log::isUpToDate(log_index CandidateLastIndex, term_number CandidateLastTerm) const {
  if (CandidateLastTerm != lastTerm())
    return CandidateLastTerm > lastTerm();
  return CandidateLastIndex >= lastIndex();
}

log_index replica_log::lastIndexWithTermAtMost(log_index Index, term_number Term) const {
  log_index LastIndex = std::min(Index, lastIndex());
  while (LastIndex > BaseIndex && at(LastIndex).Term > Term)
    LastIndex = log_index(LastIndex.value() - 1);
  return LastIndex;
}

std::vector<log_entry> replica_log::slice(log_index First, std::size_t MaxEntries,
                                          std::size_t MaxBytes) const {
  std::vector<log_entry> Slice;
  std::size_t Bytes = 0;
  for (log_index Index = First; Index <= lastIndex(); Index = Index.next()) {
    const log_entry &Entry = at(Index);
    Bytes += Entry.Payload.size();
    const bool LimitReached = Slice.size() >= MaxEntries || Bytes > MaxBytes;
    if (LimitReached && !Slice.empty())
      break;
    Slice.push_back(Entry);
  }
  return Slice;
}

void replica_log::append(log_entry Entry) {
  requireInvariant(Entry.Index == lastIndex().next(), "log indexes have no gaps");
  requireInvariant(Entry.Term >= lastTerm(), "terms never decrease along the log");
  Entries.push_back(std::move(Entry));
}

void replica_log::truncateFrom(log_index Index) {
  requireInvariant(Index > BaseIndex, "compacted entries are never truncated");
  if (Index <= lastIndex())
    Entries.resize(offsetOf(Index));
}

void replica_log::compactTo(log_index Index) {
  if (Index <= BaseIndex)
    return;
  const term_number Term = at(Index).Term;
  Entries.erase(Entries.begin(),
                Entries.begin() + static_cast<std::ptrdiff_t>(offsetOf(Index)) + 1);
  BaseIndex = Index;
  BaseTerm = Term;
}

void replica_log::reset(log_index Index, term_number Term) {
  Entries.clear();
  BaseIndex = Index;
  BaseTerm = Term;
}

} // namespace pollenstall

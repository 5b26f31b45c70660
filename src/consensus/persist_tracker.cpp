/** @file persist_tracker.cpp Pending and confirmed writes to the disk. */
#include "consensus/persist_tracker_base.h"

#include <algorithm>

namespace pollenstall {

persist_log &persist_tracker::ensureOpenWrite() {
  if (!OpenWrite) {
    LastNumber = LastNumber.next();
    OpenWrite.emplace();
    OpenWrite->Number = LastNumber;
    Unconfirmed.push_back({LastNumber, log_index()});
  }
  return *OpenWrite;
}

void persist_tracker::sealWrite() {
  if (!OpenWrite)
    return;
  SealedWrites.push_back(std::move(*OpenWrite));
  OpenWrite.reset();
}

void persist_tracker::clampDurable(log_index Last) {
  Durable = std::min(Durable, Last);
  for (pending_write &Write : Unconfirmed)
    Write.LastIndex = std::min(Write.LastIndex, Last);
}

void persist_tracker::recordHardState(const hard_state &Hard) {
  ensureOpenWrite().Hard = Hard;
  HardStateNumber = LastNumber;
}

void persist_tracker::append(const log_entry &Entry) {
  ensureOpenWrite().Entries.push_back(Entry);
  Unconfirmed.back().LastIndex = Entry.Index;
}

void persist_tracker::truncateFrom(log_index Index) {
  if (OpenWrite && !OpenWrite->Entries.empty())
    sealWrite();
  clampDurable(log_index(Index.value() - 1));
  persist_log &Write = ensureOpenWrite();
  Write.TruncateFrom = std::min(Write.TruncateFrom.value_or(Index), Index);
}

void persist_tracker::storeSnapshot(std::shared_ptr<const log_snapshot> Snapshot,
                                    log_index CompactTo) {
  sealWrite();
  persist_log &Write = ensureOpenWrite();
  Write.Snapshot = std::move(Snapshot);
  Write.CompactTo = CompactTo;
}

void persist_tracker::resetToSnapshot(std::shared_ptr<const log_snapshot> Snapshot) {
  sealWrite();
  clampDurable(log_index());
  persist_log &Write = ensureOpenWrite();
  Write.CompactTo = Snapshot->Index;
  Write.ResetLog = true;
  Unconfirmed.back().LastIndex = Snapshot->Index;
  Write.Snapshot = std::move(Snapshot);
}

void persist_tracker::flush(std::vector<consensus_action> &Actions) {
  sealWrite();
  for (persist_log &Write : SealedWrites)
    Actions.emplace_back(std::move(Write));
  SealedWrites.clear();
}

void persist_tracker::confirm(persist_number Number) {
  requireInvariant(Number <= LastNumber && !(OpenWrite && Number == LastNumber),
                   "only flushed writes are confirmed");
  Confirmed = std::max(Confirmed, Number);
  while (!Unconfirmed.empty() && Unconfirmed.front().Number <= Number) {
    Durable = std::max(Durable, Unconfirmed.front().LastIndex);
    Unconfirmed.pop_front();
  }
}

persist_number persist_tracker::lastNumber() const { return LastNumber; }

} // namespace pollenstall

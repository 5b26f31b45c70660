/** @file replica_core_snapshot.cpp Requesting snapshots and compacting the log. */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

void replica_core::requestSnapshot() {
  const log_index LastSnapshotIndex =
      std::max(SnapshotRequestIndex, Snapshot ? Snapshot->Index : log_index());
  if (SnapshotRequested || Applied.value() < LastSnapshotIndex.value() + Options.SnapshotEvery)
    return;
  SnapshotRequested = true;
  SnapshotRequestIndex = Applied;
  Actions.emplace_back(take_snapshot{Applied});
}

bool replica_core::snapshotTaken(log_index Index, std::string State, mono_time Now) {
  beginEvent(Now);
  SnapshotRequested = false;
  const bool IsNewer = !Snapshot || Index > Snapshot->Index;
  if (!IsNewer || Index > Applied || State.size() > Options.MaxSnapshotBytes)
    return false;
  const auto Term = Log.termAt(Index);
  if (!Term)
    return false;
  Snapshot = std::make_shared<const log_snapshot>(
      log_snapshot{Index, *Term, History.at(Index), std::move(State)});
  const std::uint64_t KeptEntries =
      std::min<std::uint64_t>(Options.KeepAfterSnapshot, Index.value());
  const log_index CompactTo = std::max(Log.baseIndex(), log_index(Index.value() - KeptEntries));
  Log.compactTo(CompactTo);
  History.compactTo(Index);
  PersistTracker.storeSnapshot(Snapshot, CompactTo);
  return true;
}

} // namespace pollenstall

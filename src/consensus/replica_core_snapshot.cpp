/** @file replica_core_snapshot.cpp Asking the user for snapshots and compacting the log. */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

void replica_core::askForSnapshot() {
  const log_index Since = std::max(SnapshotAskedAt, Snapshot ? Snapshot->Index : log_index());
  if (SnapshotAsked || Applied.value() < Since.value() + Options.SnapshotEvery)
    return;
  SnapshotAsked = true;
  SnapshotAskedAt = Applied;
  Actions.emplace_back(take_snapshot{Applied});
}

bool replica_core::snapshotTaken(log_index Index, std::string State, mono_time Now) {
  enter(Now);
  SnapshotAsked = false;
  const bool Newer = !Snapshot || Index > Snapshot->Index;
  if (!Newer || Index > Applied || State.size() > Options.MaxSnapshotBytes)
    return false;
  const auto Term = Log.termAt(Index);
  if (!Term)
    return false;
  Snapshot = std::make_shared<const log_snapshot>(
      log_snapshot{Index, *Term, History.at(Index), std::move(State)});
  const std::uint64_t Kept = std::min<std::uint64_t>(Options.KeepAfterSnapshot, Index.value());
  const log_index CompactTo = std::max(Log.baseIndex(), log_index(Index.value() - Kept));
  Log.compactTo(CompactTo);
  History.compactTo(Index);
  Ledger.storeSnapshot(Snapshot, CompactTo);
  return true;
}

} // namespace pollenstall

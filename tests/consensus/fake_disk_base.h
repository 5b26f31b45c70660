/** @file fake_disk_base.h A simulated disk that loses unsynced writes in a crash. */
#ifndef POLLENSTALL_TESTS_CONSENSUS_FAKE_DISK_BASE_H
#define POLLENSTALL_TESTS_CONSENSUS_FAKE_DISK_BASE_H

#include "consensus/consensus.h"

#include <deque>

namespace pollenstall {

/// Keeps the data that storage would keep after a crash.
class fake_disk {
public:
  explicit fake_disk(disk_identity NewIdentity) : Identity(NewIdentity) {}

  [[nodiscard]] disk_identity identity() const { return Identity; }
  [[nodiscard]] const restored_log &durable() const { return Durable; }
  [[nodiscard]] bool isIdle() const { return PendingWrites.empty(); }

  void write(persist_log Write) { PendingWrites.push_back(std::move(Write)); }

  /// Syncs the oldest pending write. @return Its number.
  persist_number syncOldest() {
    const persist_log Write = std::move(PendingWrites.front());
    PendingWrites.pop_front();
    apply(Write, Write.Entries.size());
    return Write.Number;
  }

  /// Ends the process. A random prefix of the unsynced writes reaches the disk.
  void crash(random_source &Random) {
    std::uint64_t SyncedWrites = Random.below(PendingWrites.size() + 1);
    for (; SyncedWrites > 0; --SyncedWrites)
      syncOldest();
    if (!PendingWrites.empty() && Random.chance(0.5))
      apply(PendingWrites.front(), Random.below(PendingWrites.front().Entries.size() + 1));
    PendingWrites.clear();
  }

private:
  void apply(const persist_log &Write, std::size_t EntryCount) {
    if (Write.Hard)
      Durable.Hard = *Write.Hard;
    if (Write.Snapshot)
      applySnapshot(Write);
    if (Write.TruncateFrom)
      std::erase_if(Durable.Entries, [&Write](const log_entry &Entry) {
        return Entry.Index >= *Write.TruncateFrom;
      });
    for (std::size_t Position = 0; Position < EntryCount; ++Position)
      Durable.Entries.push_back(Write.Entries[Position]);
  }

  void applySnapshot(const persist_log &Write) {
    Durable.Snapshot = Write.Snapshot;
    std::erase_if(Durable.Entries, [&Write](const log_entry &Entry) {
      return Write.ResetLog || Entry.Index <= Write.CompactTo;
    });
  }

  disk_identity Identity;
  restored_log Durable;
  std::deque<persist_log> PendingWrites;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONSENSUS_FAKE_DISK_BASE_H

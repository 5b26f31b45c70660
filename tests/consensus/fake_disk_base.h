/** @file fake_disk_base.h A disk that takes time to sync and loses what was not synced. */
#ifndef POLLENSTALL_TESTS_CONSENSUS_FAKE_DISK_BASE_H
#define POLLENSTALL_TESTS_CONSENSUS_FAKE_DISK_BASE_H

#include "consensus/consensus.h"

#include <deque>

namespace pollenstall {

/// Keeps what storage would keep after a crash.
class fake_disk {
public:
  explicit fake_disk(disk_identity Made) : Identity(Made) {}

  [[nodiscard]] disk_identity identity() const { return Identity; }
  [[nodiscard]] const restored_log &durable() const { return Durable; }
  [[nodiscard]] bool isIdle() const { return Writing.empty(); }

  void write(persist_log Write) { Writing.push_back(std::move(Write)); }

  /// The oldest write is synced. @return Its number.
  persist_number syncOldest() {
    const persist_log Write = std::move(Writing.front());
    Writing.pop_front();
    apply(Write, Write.Entries.size());
    return Write.Number;
  }

  /// The process ends: any first part of what was not synced may have reached the disk all the
  /// same.
  void crash(random_source &Random) {
    std::uint64_t Reached = Random.below(Writing.size() + 1);
    for (; Reached > 0; --Reached)
      syncOldest();
    if (!Writing.empty() && Random.chance(0.5))
      apply(Writing.front(), Random.below(Writing.front().Entries.size() + 1));
    Writing.clear();
  }

private:
  void apply(const persist_log &Write, std::size_t EntryCount) {
    if (Write.Hard)
      Durable.Hard = *Write.Hard;
    if (Write.Snapshot)
      applySnapshot(Write);
    if (Write.TruncateFrom)
      std::erase_if(Durable.Entries,
                    [&Write](const log_entry &E) { return E.Index >= *Write.TruncateFrom; });
    for (std::size_t Place = 0; Place < EntryCount; ++Place)
      Durable.Entries.push_back(Write.Entries[Place]);
  }

  void applySnapshot(const persist_log &Write) {
    Durable.Snapshot = Write.Snapshot;
    std::erase_if(Durable.Entries, [&Write](const log_entry &E) {
      return Write.ResetLog || E.Index <= Write.CompactTo;
    });
  }

  disk_identity Identity;
  restored_log Durable;
  std::deque<persist_log> Writing;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONSENSUS_FAKE_DISK_BASE_H

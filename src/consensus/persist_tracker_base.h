/** @file persist_tracker_base.h Pending and confirmed writes to the disk. */
#ifndef POLLENSTALL_CONSENSUS_PERSIST_TRACKER_BASE_H
#define POLLENSTALL_CONSENSUS_PERSIST_TRACKER_BASE_H

#include "consensus/consensus_type.h"

#include <deque>

namespace pollenstall {

/**
 * Combines changes into numbered persist actions and tracks up to which index the log in memory is
 * durable.
 */
class persist_tracker {
public:
  persist_tracker() = default;
  explicit persist_tracker(log_index DurableAtStart) : Durable(DurableAtStart) {}

  void recordHardState(const hard_state &Hard);
  void append(const log_entry &Entry);
  void truncateFrom(log_index Index);
  void storeSnapshot(std::shared_ptr<const log_snapshot> Snapshot, log_index CompactTo);
  void resetToSnapshot(std::shared_ptr<const log_snapshot> Snapshot);

  /// Moves all pending writes into Actions.
  void flush(std::vector<consensus_action> &Actions);
  /// Records that all writes up to Number are durable.
  void confirm(persist_number Number);

  /// @return The number of the newest write; its confirmation covers all earlier writes.
  [[nodiscard]] persist_number lastNumber() const;
  /// @return The number of the write that makes the current hard state durable.
  [[nodiscard]] persist_number hardStateNumber() const { return HardStateNumber; }
  [[nodiscard]] bool isConfirmed(persist_number Number) const { return Number <= Confirmed; }
  /// @return The last index up to which the disk holds the same entries as the log in memory.
  [[nodiscard]] log_index durable() const { return Durable; }

private:
  /// An unconfirmed write. LastIndex is lowered if its entries are truncated later.
  struct pending_write {
    persist_number Number;
    log_index LastIndex;
  };

  /// @return The write that accepts changes; creates it if there is none.
  persist_log &ensureOpenWrite();
  void sealWrite();
  void clampDurable(log_index Last);

  std::optional<persist_log> OpenWrite;  ///< Still accepts changes.
  std::vector<persist_log> SealedWrites; ///< To be moved out by flush().
  std::deque<pending_write> Unconfirmed;
  persist_number LastNumber;
  persist_number HardStateNumber;
  persist_number Confirmed;
  log_index Durable;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_PERSIST_TRACKER_BASE_H

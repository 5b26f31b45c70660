/** @file persist_ledger_base.h What was handed to the disk and what the disk has confirmed. */
#ifndef POLLENSTALL_CONSENSUS_PERSIST_LEDGER_BASE_H
#define POLLENSTALL_CONSENSUS_PERSIST_LEDGER_BASE_H

#include "consensus/consensus_type.h"

#include <deque>

namespace pollenstall {

/**
 * Numbers the persist actions, gathers what changes between two of them into one, and knows up to
 * which index the disk agrees with the log in memory.
 */
class persist_ledger {
public:
  persist_ledger() = default;
  explicit persist_ledger(log_index DurableAtStart) : Durable(DurableAtStart) {}

  void hardState(const hard_state &Hard);
  void append(const log_entry &Entry);
  void truncateFrom(log_index Index);
  void storeSnapshot(std::shared_ptr<const log_snapshot> Snapshot, log_index CompactTo);
  void resetTo(std::shared_ptr<const log_snapshot> Snapshot);

  /// Moves all that is to be written into Actions.
  void flush(std::vector<consensus_action> &Actions);
  /// The disk holds everything up to Number.
  void confirm(persist_number Number);

  /// @return The number whose confirmation covers all that was asked for by now.
  [[nodiscard]] persist_number coversAll() const;
  /// @return The number whose confirmation covers the hard state of now.
  [[nodiscard]] persist_number coversHard() const { return HardNumber; }
  [[nodiscard]] bool isConfirmed(persist_number Number) const { return Number <= Confirmed; }
  /// @return Up to where the disk holds the very entries that memory holds.
  [[nodiscard]] log_index durable() const { return Durable; }

private:
  /// What a persist action makes durable, as far as it was not truncated since.
  struct pending_write {
    persist_number Number;
    log_index LastIndex;
  };

  persist_log &open();
  void seal();
  void clamp(log_index Last);

  std::optional<persist_log> Open; ///< Still gathers.
  std::vector<persist_log> Sealed; ///< To be handed out by flush().
  std::deque<pending_write> Unconfirmed;
  persist_number LastNumber;
  persist_number HardNumber;
  persist_number Confirmed;
  log_index Durable;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_PERSIST_LEDGER_BASE_H

/** @file replica_log_base.h The in-memory part of a replica's log. */
#ifndef POLLENSTALL_CONSENSUS_REPLICA_LOG_BASE_H
#define POLLENSTALL_CONSENSUS_REPLICA_LOG_BASE_H

#include "consensus/consensus_type.h"

#include <deque>

namespace pollenstall {

/// Entries after a base entry. The index and term of the base are kept for the consistency check
/// before the first entry in memory.
class replica_log {
public:
  replica_log() = default;
  /// Loads the contents of a disk, without entries that the snapshot replaces.
  explicit replica_log(const restored_log &State);

  [[nodiscard]] log_index baseIndex() const { return BaseIndex; }
  [[nodiscard]] log_index lastIndex() const;
  [[nodiscard]] term_number lastTerm() const;
  /// @return The term at Index, or nothing if the entry is compacted or beyond the end of the log.
  [[nodiscard]] std::optional<term_number> termAt(log_index Index) const;
  /// @return The entry at Index, which must be in memory.
  [[nodiscard]] const log_entry &at(log_index Index) const;
  [[nodiscard]] bool matches(log_index Index, term_number Term) const;
  /// @return Whether a log with this last index and term is at least as up to date as this one.
  [[nodiscard]] bool isUpToDate(log_index CandidateLastIndex, term_number CandidateLastTerm) const;
  /// @return The last index at or before Index whose term is at most Term; baseIndex() if there
  /// is none.
  [[nodiscard]] log_index lastIndexWithTermAtMost(log_index Index, term_number Term) const;
  /// @return Entries from First on within both limits, but at least one if there is one.
  [[nodiscard]] std::vector<log_entry> slice(log_index First, std::size_t MaxEntries,
                                             std::size_t MaxBytes) const;

  void append(log_entry Entry);
  void truncateFrom(log_index Index);
  void compactTo(log_index Index);
  /// Removes all entries; the log now begins after a snapshot at Index.
  void reset(log_index Index, term_number Term);

private:
  [[nodiscard]] std::size_t offsetOf(log_index Index) const;

  log_index BaseIndex;
  term_number BaseTerm;
  std::deque<log_entry> Entries;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_REPLICA_LOG_BASE_H

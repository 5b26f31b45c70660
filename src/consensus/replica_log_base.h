/** @file replica_log_base.h The part of the log that a replica holds in memory. */
#ifndef POLLENSTALL_CONSENSUS_REPLICA_LOG_BASE_H
#define POLLENSTALL_CONSENSUS_REPLICA_LOG_BASE_H

#include "consensus/consensus_type.h"

#include <deque>

namespace pollenstall {

/// Entries after a base; the base's index and term are kept so that the first entry can be matched.
class replica_log {
public:
  replica_log() = default;
  /// Takes what a disk held; entries that the snapshot makes useless are left out.
  explicit replica_log(const restored_log &State);

  [[nodiscard]] log_index baseIndex() const { return BaseIndex; }
  [[nodiscard]] log_index lastIndex() const;
  [[nodiscard]] term_number lastTerm() const;
  /// @return The term at Index, or nothing where it is compacted away or not there yet.
  [[nodiscard]] std::optional<term_number> termAt(log_index Index) const;
  /// @return The entry; the caller knows that it is held.
  [[nodiscard]] const log_entry &at(log_index Index) const;
  [[nodiscard]] bool matches(log_index Index, term_number Term) const;
  /// @return Whether a log that ends so is at least as up to date as this one.
  [[nodiscard]] bool isNoNewerThan(log_index OtherLast, term_number OtherTerm) const;
  /// @return The last index at or before Index whose term is at most Term.
  [[nodiscard]] log_index lastWithTermAtMost(log_index Index, term_number Term) const;
  /// @return Entries from First on, at least one where there is one, within both bounds.
  [[nodiscard]] std::vector<log_entry> slice(log_index First, std::size_t MaxEntries,
                                             std::size_t MaxBytes) const;

  void append(log_entry Entry);
  void truncateFrom(log_index Index);
  void compactTo(log_index Index);
  /// Forgets everything: the log now begins after a snapshot.
  void reset(log_index Index, term_number Term);

private:
  [[nodiscard]] std::size_t offsetOf(log_index Index) const;

  log_index BaseIndex;
  term_number BaseTerm;
  std::deque<log_entry> Entries;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_REPLICA_LOG_BASE_H

/** @file member_history_base.h Member sets by log index, to restore one after a truncation. */
#ifndef POLLENSTALL_CONSENSUS_MEMBER_HISTORY_BASE_H
#define POLLENSTALL_CONSENSUS_MEMBER_HISTORY_BASE_H

#include "consensus/consensus_type.h"

namespace pollenstall {

/**
 * A member set is in force as soon as its entry is in the log, committed or not (Ongaro 2014, 4.1).
 * If the entry is truncated, the previous set is in force again.
 */
class member_history {
public:
  member_history() = default;

  /// @return The set in force.
  [[nodiscard]] const member_set &current() const { return Sets.back().Members; }
  /// @return The index of the entry that carries the set in force; 0 if there is none.
  [[nodiscard]] log_index currentIndex() const { return Sets.back().Index; }
  /// @return The set in force at Index.
  [[nodiscard]] const member_set &at(log_index Index) const;

  void append(log_index Index, member_set Set);
  void truncateFrom(log_index Index);
  void compactTo(log_index Index);
  /// Replaces the history by the member set of a snapshot.
  void reset(log_index Index, member_set Set);

private:
  struct indexed_set {
    log_index Index;
    member_set Members;
  };

  std::vector<indexed_set> Sets{indexed_set{}};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_MEMBER_HISTORY_BASE_H

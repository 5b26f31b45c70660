/** @file member_history_base.h The sets of members along the log, so that a truncation can go back.
 */
#ifndef POLLENSTALL_CONSENSUS_MEMBER_HISTORY_BASE_H
#define POLLENSTALL_CONSENSUS_MEMBER_HISTORY_BASE_H

#include "consensus/consensus_type.h"

namespace pollenstall {

/**
 * A set is in force as soon as it is in the log, committed or not (Ongaro 2014, 4.1); when its
 * entry is truncated the set before it is in force again.
 */
class member_history {
public:
  member_history() = default;

  /// @return The set in force.
  [[nodiscard]] const member_set &current() const { return Sets.back().Members; }
  /// @return The index of the entry that carries it; 0 where there is none.
  [[nodiscard]] log_index currentIndex() const { return Sets.back().Index; }
  /// @return The set in force at Index.
  [[nodiscard]] const member_set &at(log_index Index) const;

  void append(log_index Index, member_set Set);
  void truncateFrom(log_index Index);
  void compactTo(log_index Index);
  /// Starts anew from a snapshot.
  void reset(log_index Index, member_set Set);

private:
  struct placed_set {
    log_index Index;
    member_set Members;
  };

  std::vector<placed_set> Sets{placed_set{}};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_MEMBER_HISTORY_BASE_H

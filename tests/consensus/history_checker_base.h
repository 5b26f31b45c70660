/** @file history_checker_base.h Checks the invariants over all members of a cluster. */
#ifndef POLLENSTALL_TESTS_CONSENSUS_HISTORY_CHECKER_BASE_H
#define POLLENSTALL_TESTS_CONSENSUS_HISTORY_CHECKER_BASE_H

#include "consensus/consensus.h"

#include <map>
#include <set>

namespace pollenstall {

/// Receives the events of all members; a violated invariant aborts the run.
class history_checker {
public:
  /// Records that a member became leader.
  void recordLeader(member_key Member, term_number Term) {
    const bool IsFirstLeader = LeaderOf.emplace(Term, Member).second;
    requireInvariant(IsFirstLeader, "at most one leader in a term",
                     [&] { return toText(LeaderOf.at(Term)) + " and " + toText(Member); });
    NewestTerm = std::max(NewestTerm, Term);
  }

  /// Records that a member applies an entry. @param LastApplied Index of the entry before.
  void recordApplied(const log_entry &Entry, log_index LastApplied) {
    requireInvariant(Entry.Index == LastApplied.next(), "each index is applied once, in order");
    const auto [Position, IsNew] = Committed.emplace(Entry.Index, Entry);
    requireInvariant(Position->second == Entry, "committed entries are the same on all members");
    if (!IsNew)
      return;
    const bool IsUnique =
        Entry.Kind != entry_kind::Command || Payloads.insert(Entry.Payload).second;
    requireInvariant(IsUnique, "a proposal is committed at one index only");
    if (Entry.Kind == entry_kind::Membership)
      Members = *decodeMembers(Entry.Payload);
  }

  /// Records that a snapshot replaced a member's state.
  void recordInstalled(log_index Index) const {
    const bool IsCommitted = !Committed.empty() && Committed.rbegin()->first >= Index;
    requireInvariant(IsCommitted, "a snapshot holds committed entries only");
  }

  /// Records that the proposer was notified that its entry is committed.
  void recordAcknowledged(log_index Index) { Acknowledged = std::max(Acknowledged, Index); }
  [[nodiscard]] log_index acknowledged() const { return Acknowledged; }

  /// Checks a read that is served by a member at Applied. @param AcknowledgedIndex The acknowledged
  /// index when the read was requested.
  static void checkRead(log_index AcknowledgedIndex, log_index Applied) {
    requireInvariant(Applied >= AcknowledgedIndex,
                     "a read sees every change acknowledged before it");
  }

  /// Checks the term of a member that holds a valid lease now.
  void checkLease(term_number Term) const {
    requireInvariant(Term == NewestTerm, "no leader is elected while a lease is valid");
  }

  [[nodiscard]] const member_set &members() const { return Members; }
  [[nodiscard]] std::size_t committedCount() const { return Committed.size(); }

private:
  std::map<term_number, member_key> LeaderOf;
  std::map<log_index, log_entry> Committed;
  std::set<std::string> Payloads;
  term_number NewestTerm;
  log_index Acknowledged;
  member_set Members; ///< The newest committed set.
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_CONSENSUS_HISTORY_CHECKER_BASE_H

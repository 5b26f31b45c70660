/** @file history_checker_base.h What must hold over all members of a log, whatever happens. */
#ifndef POLLENSTALL_TESTS_CONSENSUS_HISTORY_CHECKER_BASE_H
#define POLLENSTALL_TESTS_CONSENSUS_HISTORY_CHECKER_BASE_H

#include "consensus/consensus.h"

#include <map>
#include <set>

namespace pollenstall {

/// Sees what a real observer of all members at once would see; each broken promise ends the run.
class history_checker {
public:
  /// A member reports that it leads.
  void led(member_key Who, term_number Term) {
    const bool First = LeaderOf.emplace(Term, Who).second;
    requireInvariant(First, "at most one leader in a term",
                     [&] { return toText(LeaderOf.at(Term)) + " and " + toText(Who); });
    NewestTerm = std::max(NewestTerm, Term);
  }

  /// A member applies an entry. @param Before What it had applied last.
  void applied(const log_entry &Entry, log_index Before) {
    requireInvariant(Entry.Index == Before.next(), "each index is applied once, in order");
    const auto [Place, New] = Committed.emplace(Entry.Index, Entry);
    requireInvariant(Place->second == Entry, "committed entries are the same everywhere");
    if (!New)
      return;
    const bool Fresh = Entry.Kind != entry_kind::Command || Payloads.insert(Entry.Payload).second;
    requireInvariant(Fresh, "a proposal is committed at one index only");
    if (Entry.Kind == entry_kind::Membership)
      Members = *decodeMembers(Entry.Payload);
  }

  /// A member's state was replaced by a snapshot.
  void installed(log_index Index) const {
    const bool Known = !Committed.empty() && Committed.rbegin()->first >= Index;
    requireInvariant(Known, "a snapshot holds committed entries only");
  }

  /// The proposer was told that its entry was accepted.
  void acknowledged(log_index Index) { Acknowledged = std::max(Acknowledged, Index); }
  [[nodiscard]] log_index acknowledged() const { return Acknowledged; }

  /// A read asked for when Promised was acknowledged is served by a member at Applied.
  static void readServed(log_index Promised, log_index Applied) {
    requireInvariant(Applied >= Promised, "a read sees every change acknowledged before it");
  }

  /// A member holds a valid lease now.
  void leaseHeld(term_number Term) const {
    requireInvariant(Term == NewestTerm, "nobody is elected while a lease is valid");
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

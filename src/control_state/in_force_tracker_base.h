/** @file in_force_tracker_base.h Tracks, at the leader, the entries' leases and the revision in
 * force.
 */
#ifndef POLLENSTALL_CONTROL_STATE_IN_FORCE_TRACKER_BASE_H
#define POLLENSTALL_CONTROL_STATE_IN_FORCE_TRACKER_BASE_H

#include "core/core.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace pollenstall {

/// Time bounds of the entries' leases; the same on every control host.
struct in_force_options {
  mono_duration Lease{std::chrono::milliseconds(5000)};
  /// An entry that has not confirmed a change within this time gets no further lease.
  mono_duration ConfirmWithin{std::chrono::milliseconds(2000)};
  /// Longest time for which an entry acts on an older declaration after a change was acknowledged.
  /// Leases granted to lagging entries end within this time of the change's acceptance, and the
  /// change is not acknowledged until all leases granted earlier end within it.
  mono_duration ApplyWithin{std::chrono::seconds(10)};
  /// Maximum rate error of a clock, faster or slower than true time, in parts per thousand.
  std::uint32_t ClockSkewPermille{20};
};

/// The leader's record of an entry, which may have no lease.
struct tracked_entry {
  process_key Process;
  failure_domain_name Domain;
  std::optional<revision> Confirmed;
  /// Latest time, by the leader's clock, at which the entry may still rely on its lease.
  mono_time LeaseEnd{};
  mono_time LastSeen{};
};

/**
 * Determines when an accepted change is in force everywhere: each entry that may still act on an
 * older declaration has confirmed the change, or its lease has expired.
 *
 * A new leader does not know the leases that its predecessor granted. Until the longest of them
 * must have expired it reports no revision as in force. It grants leases only to entries that
 * confirmed the revision that was declared at the start of its term, or a newer one.
 */
class in_force_tracker {
public:
  explicit in_force_tracker(const in_force_options &TrackerOptions) : Options(TrackerOptions) {}

  /// Starts a term of this host as leader. @param Current Current revision of the declaration.
  void beginTerm(revision Current, mono_time Now);

  /// Records that a change was accepted. @param Current The new revision.
  void recordChange(revision Current, mono_time Now);

  /// Renews an entry's lease. @return The duration of the lease, which is shorter if the entry lags
  /// behind, or nothing if it lags too far behind.
  std::optional<mono_duration> renew(const process_key &Process, const failure_domain_name &Domain,
                                     std::optional<revision> Confirmed, mono_time Now);

  /**
   * The first half of renew(): records what an entry confirmed. Two trackers whose shorter lease
   * applies call it both, and then grant() with that lease.
   * @return The longest lease that grant() may give, or nothing.
   */
  std::optional<mono_duration> offer(const process_key &Process, const failure_domain_name &Domain,
                                     std::optional<revision> Confirmed, mono_time Now);

  /// The second half of renew(): records a lease, which may be shorter than the one offered now.
  void grant(const process_key &Process, mono_duration Lease, mono_time Now);

  /// @return The highest revision that is in force everywhere; nothing while that is not known.
  std::optional<revision> inForce(mono_time Now);

  /**
   * @return Whether an accepted change may be acknowledged now: whether all leases of entries that
   * have not confirmed it end within ApplyWithin.
   *
   * A lease may be longer than ApplyWithin, so that entries keep serving during a change of
   * leaders. A lease granted just before a change could thus outlast that bound, and an entry would
   * answer "no such route" for a route that an operator knows as added. A change is therefore
   * acknowledged only when all such leases end in time, which is at once if all entries have
   * confirmed it.
   */
  [[nodiscard]] bool mayAcknowledge(revision Accepted, mono_time Now) const;

  /// @return Recently seen entries, including those without a lease.
  [[nodiscard]] std::vector<tracked_entry> entries() const;

private:
  /// @return The longest duration of a lease by any clock.
  [[nodiscard]] mono_duration maxLeaseDuration(mono_duration Lease) const;
  /// @return The lease that may be granted to an entry that acts on the confirmed revision.
  [[nodiscard]] mono_duration leaseFor(revision Confirmed, mono_time Now) const;
  [[nodiscard]] revision minLeasableRevision(mono_time Now);
  void evictStaleEntries(mono_time Now);

  in_force_options Options;
  revision Current;
  /// Entries that have not confirmed this revision get no lease: the revision at the start of the
  /// term, or the newest one accepted longer than ConfirmWithin ago.
  revision MinGrantedRevision;
  /// Accepted after MinGrantedRevision.
  std::deque<std::pair<revision, mono_time>> RecentRevisions;
  mono_time PredecessorLeasesEnd{};
  std::optional<revision> LastInForce;
  std::map<process_key, tracked_entry> Entries;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_STATE_IN_FORCE_TRACKER_BASE_H

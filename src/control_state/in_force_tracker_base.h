/** @file in_force_tracker_base.h At the leader: which entries hold a lease, and what is in force.
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

/// Times of the entries' leases; the same on every control host.
struct in_force_options {
  mono_duration Lease{std::chrono::milliseconds(5000)};
  /// An entry that lags behind a change for longer gets no further lease.
  mono_duration ConfirmWithin{std::chrono::milliseconds(2000)};
  /// Nobody acts on an older declaration for longer after a change was acknowledged: leases of
  /// entries that lag end by then, and a change is acknowledged no sooner than the others allow.
  mono_duration ApplyWithin{std::chrono::seconds(10)};
  /// How much faster or slower than true time a clock may run, in parts per thousand.
  std::uint32_t ClockSkewPermille{20};
};

/// One entry as the leader knows it.
struct entry_lease {
  process_key Process;
  failure_domain_name Domain;
  std::optional<revision> Confirmed;
  mono_time LeaseEnd{}; ///< By the leader's own count, which ends after the entry's.
  mono_time LastSeen{};
};

/**
 * Answers when an accepted change is in force everywhere: every entry that may still act on an
 * older declaration has confirmed it, or its lease has run out.
 *
 * A new leader knows nothing of the leases its predecessor gave. Until the longest of them must
 * have run out it reports nothing as in force, and it leases only to entries that confirmed what
 * was declared when it took office.
 */
class in_force_tracker {
public:
  explicit in_force_tracker(const in_force_options &Times) : Options(Times) {}

  /// This host leads from now on. @param Current The declaration's revision now.
  void takeOffice(revision Current, mono_time Now);

  /// A change was accepted.
  void accepted(revision Current, mono_time Now);

  /// An entry asks for a lease. @return The lease, shorter where it lags, or nothing where it
  /// lags behind too far.
  std::optional<mono_duration> renew(const process_key &Process, const failure_domain_name &Domain,
                                     std::optional<revision> Confirmed, mono_time Now);

  /// @return The highest revision known to be in force everywhere; nothing while that is unknown.
  std::optional<revision> inForce(mono_time Now);

  /**
   * A lease may be longer than ApplyWithin, so that entries serve on while leaders change. One that
   * was given a moment before a change would then outlast the promise, so that a caller is told "no
   * such route" of a route that an operator was told is there. The operator is told once every such
   * lease ends in time; where all entries have confirmed, that is at once.
   * @return Whether an accepted change may be acknowledged now.
   */
  [[nodiscard]] bool mayAcknowledge(revision Accepted, mono_time Now) const;

  /// @return Entries seen lately, those without a lease included.
  [[nodiscard]] std::vector<entry_lease> entries() const;

private:
  /// @return The longest that a lease lasts by any clock.
  [[nodiscard]] mono_duration longest(mono_duration Lease) const;
  /// @return What may be given to an entry that acts on this revision.
  [[nodiscard]] mono_duration leaseFor(revision Confirmed, mono_time Now) const;
  [[nodiscard]] revision leaseFloor(mono_time Now);
  void forgetOldEntries(mono_time Now);

  in_force_options Options;
  revision Current;
  revision Due;                                      ///< Accepted longer than ConfirmWithin ago.
  std::deque<std::pair<revision, mono_time>> Recent; ///< Accepted later than that.
  mono_time PredecessorsEnd{};
  std::optional<revision> Reported;
  std::map<process_key, entry_lease> Entries;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_STATE_IN_FORCE_TRACKER_BASE_H

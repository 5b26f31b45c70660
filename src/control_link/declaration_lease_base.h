/** @file declaration_lease_base.h The declaration that an entry may use, and the end of its lease.
 */
#ifndef POLLENSTALL_CONTROL_LINK_DECLARATION_LEASE_BASE_H
#define POLLENSTALL_CONTROL_LINK_DECLARATION_LEASE_BASE_H

#include "core/core.h"

#include <algorithm>
#include <optional>

namespace pollenstall {

/// How an entry handles a received declaration.
enum class declaration_action : std::uint8_t {
  Take,   ///< Newer than the one in use: parse it, use it, then call markInUse().
  Repeat, ///< Already in use: confirm it again.
  Stale,  ///< Older than the one in use, delayed or from a former leader: drop it.
};

/**
 * Prevents an entry from acting on a declaration that may have been replaced.
 * Nothing is kept across a restart: the state from before it may be hundreds of revisions old.
 */
class declaration_lease {
public:
  /// @return How to handle a declaration of this revision.
  [[nodiscard]] declaration_action actionFor(revision Revision) const;

  /// Records that the declaration is in use. Aborts if a newer one is already in use.
  void markInUse(revision Revision);

  /// Extends the lease; has no effect if Until is before the current end.
  /// @param Revision The revision confirmed in the renewal. The call is ignored if this is not the
  /// revision in use.
  void extend(revision Revision, mono_time Until);

  /// Records that the log contains a declaration of this revision.
  void recordAnnounced(revision Revision) { NewestAnnounced = std::max(NewestAnnounced, Revision); }

  /// @return Whether a declaration newer than the one in use exists. It may contain objects that
  /// the one in use does not.
  [[nodiscard]] bool isBehind() const { return InUse && *InUse < NewestAnnounced; }

  /// @return Whether new requests may be admitted.
  [[nodiscard]] bool ready(mono_time Now) const;

  /// @return The revision in use, or nothing if this incarnation has not received one.
  [[nodiscard]] std::optional<revision> current() const { return InUse; }

  /// @return The end of the lease; the epoch if there was none.
  [[nodiscard]] mono_time leaseEnd() const { return LeaseEnd; }

private:
  std::optional<revision> InUse;
  revision NewestAnnounced; ///< Highest announced revision.
  mono_time LeaseEnd{};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_DECLARATION_LEASE_BASE_H

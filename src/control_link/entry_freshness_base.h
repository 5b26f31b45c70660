/** @file entry_freshness_base.h Which declaration an entry may act upon, and until when. */
#ifndef POLLENSTALL_CONTROL_LINK_ENTRY_FRESHNESS_BASE_H
#define POLLENSTALL_CONTROL_LINK_ENTRY_FRESHNESS_BASE_H

#include "core/core.h"

#include <algorithm>
#include <optional>

namespace pollenstall {

/// What an entry does with a declaration that arrived.
enum class offer_verdict : std::uint8_t {
  Take,   ///< Newer: parse it, use it, then call inUse().
  Repeat, ///< The one in use: confirm it again.
  Stale,  ///< Older: from a former leader, or delayed; drop it.
};

/**
 * Keeps an entry from acting on what may have been replaced.
 * It starts empty in every life of the process: what the process knew before a restart may be
 * hundreds of revisions old, so nothing is remembered across it.
 */
class entry_freshness {
public:
  /// @return What to do with a declaration of this revision.
  [[nodiscard]] offer_verdict offer(revision Revision) const;

  /// The declaration is in use now. Aborts where that would revert an earlier one.
  void inUse(revision Revision);

  /// A leader extended the lease. An end that lies earlier than the known one changes nothing.
  /// @param Revision What the lease was asked for; another one than the one in use is ignored.
  void extend(revision Revision, mono_time Until);

  /// The log has a declaration of this revision.
  void announced(revision Revision) { Newest = std::max(Newest, Revision); }

  /// @return Whether there is a newer declaration than the one in use: what that one does not know
  /// may have been added.
  [[nodiscard]] bool lags() const { return Used && *Used < Newest; }

  /// @return Whether new requests may be admitted.
  [[nodiscard]] bool ready(mono_time Now) const;

  /// @return The revision in use, or nothing in a life that has not received one.
  [[nodiscard]] std::optional<revision> current() const { return Used; }

  /// @return When the lease ends; the epoch where there was none.
  [[nodiscard]] mono_time leaseEnd() const { return LeaseEnd; }

private:
  std::optional<revision> Used;
  revision Newest; ///< Of those that were announced.
  mono_time LeaseEnd{};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_LINK_ENTRY_FRESHNESS_BASE_H

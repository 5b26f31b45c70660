/** @file membership_action_type.h Actions that fleet_membership requests from its driver, and
 * announcement errors. */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_ACTION_TYPE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_ACTION_TYPE_H

#include "membership/membership_message_type.h"

#include <variant>

namespace pollenstall {

/// Requests that a message is sent; the network may lose it.
struct send_message {
  peer_address To;
  membership_message Message;
};
/// A backend server is new, or its announcement, load or status changed.
struct backend_changed {
  backend_view View;
};
/// A backend server was removed: a newer incarnation replaced it, or it was lost for
/// TombstoneAfter.
struct backend_gone {
  backend_key Key;
};
/// A host is new, or its status changed.
struct host_changed {
  host_view View;
};
/**
 * The time until which the views may be used for decisions. A paused host may have missed a
 * Leaving. A thread that places work compares this with its own clock, so that it does not use
 * stale views if it resumes before the membership thread.
 */
struct views_fresh {
  mono_time Until;
};
/// A process with this host's name and a higher incarnation exists; this process must restart.
struct superseded {
  incarnation By;
};

using membership_action = std::variant<send_message, backend_changed, backend_gone, host_changed,
                                       views_fresh, superseded>;

/// Why an announcement is rejected.
enum class announcement_error : std::uint8_t {
  Malformed,        ///< No address, or a name longer than allowed.
  TooLarge,         ///< Exceeds MaxRecordBytes: too many labels or models.
  OlderIncarnation, ///< A newer incarnation has announced itself at this address.
  TableFull,        ///< The limit on known addresses is reached.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_ACTION_TYPE_H

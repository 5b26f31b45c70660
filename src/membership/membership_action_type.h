/** @file membership_action_type.h What fleet_membership asks its driver to do, and why it refuses.
 */
#ifndef POLLENSTALL_MEMBERSHIP_MEMBERSHIP_ACTION_TYPE_H
#define POLLENSTALL_MEMBERSHIP_MEMBERSHIP_ACTION_TYPE_H

#include "membership/membership_message_type.h"

#include <variant>

namespace pollenstall {

/// Hand a message to the network; it may be lost.
struct send_message {
  peer_address To;
  membership_message Message;
};
/// A backend server is new, or its announcement, load or standing changed.
struct backend_changed {
  backend_view View;
};
/// A backend server is gone for good: replaced by a newer incarnation, or lost and forgotten.
struct backend_gone {
  backend_key Key;
};
/// A host is new, or its standing changed.
struct host_changed {
  host_view View;
};
/**
 * Until when the views may be acted upon.
 * A frozen host may have missed a Leaving. Whoever places work compares this with its own clock, so
 * that a thread that thaws before the membership thread does not use the old views.
 */
struct views_fresh {
  mono_time Until;
};
/// A process with this host's name and a higher incarnation is known: this one must restart.
struct superseded {
  incarnation By;
};

using membership_action = std::variant<send_message, backend_changed, backend_gone, host_changed,
                                       views_fresh, superseded>;

/// Why an announcement is not taken.
enum class announcement_error : std::uint8_t {
  Malformed,        ///< No address, or a name longer than allowed.
  TooLarge,         ///< Would not fit a datagram: too many labels or models.
  OlderIncarnation, ///< A newer incarnation has announced itself at this address.
  TableFull,        ///< The bound on known addresses is reached.
};

} // namespace pollenstall

#endif // POLLENSTALL_MEMBERSHIP_MEMBERSHIP_ACTION_TYPE_H

/** @file server_notice_type.h What an answer says of its backend server. */
#ifndef POLLENSTALL_SERVER_NOTICE_SERVER_NOTICE_TYPE_H
#define POLLENSTALL_SERVER_NOTICE_SERVER_NOTICE_TYPE_H

#include "core/core.h"

#include <chrono>
#include <variant>

namespace pollenstall {

/// The answer asks for no pause.
struct no_pause {
  bool operator==(const no_pause &) const = default;
};
/// The answer asks for a pause that is not a number of seconds, or for several. None is kept.
struct unreadable_pause {
  bool operator==(const unreadable_pause &) const = default;
};

/// How long a backend server wants no further request from the entry that it turned away.
using pause_statement = std::variant<no_pause, std::chrono::milliseconds, unreadable_pause>;

/// What the answer to an attempt says of its backend server.
struct server_notice {
  backend_key Backend;
  attempt_id Attempt;
  pause_statement Pause;
  bool Leaving{false}; ///< The server accepts no new work.
};

} // namespace pollenstall

#endif // POLLENSTALL_SERVER_NOTICE_SERVER_NOTICE_TYPE_H

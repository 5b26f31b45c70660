/** @file control_request_type.h Requests to the decision thread and their outcomes. */
#ifndef POLLENSTALL_CONTROL_CONTROL_REQUEST_TYPE_H
#define POLLENSTALL_CONTROL_CONTROL_REQUEST_TYPE_H

#include "consensus/consensus.h"
#include "control_state/control_state.h"
#include "directory/directory.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <variant>

namespace pollenstall {

/// Proposes a command to the log.
struct submit_command {
  control_command Command;
};

/// Reads the state as of now or later. A quorum confirms the read, so it never comes from a
/// replaced leader.
struct read_state {
  std::function<std::string(const control_state &)> Read;
};

/// Returns this host's own view, which may be stale, and whether it leads.
struct get_status {};

/// Returns this host's internal state as JSON.
struct get_dump {};

/// Returns the evacuated failure domains, and what entries report about them, as JSON. A quorum
/// confirms the read.
struct get_evacuations {};

/// Admits the disk that requests membership under this id.
struct admit_member {
  member_id Member;
};

/// Removes a member from the log.
struct remove_member {
  member_id Member;
};

/// Records that a backend server announced itself.
struct announce_backend {
  backend_notice Notice;
};

/// Records that a backend server ends this incarnation.
struct withdraw_backend {
  backend_incarnation Incarnation;
};

using control_operation =
    std::variant<get_status, get_dump, submit_command, read_state, admit_member, remove_member,
                 announce_backend, withdraw_backend, get_evacuations>;

/// This host is not the leader; nothing was done.
struct not_leader {
  std::string OperatorUrl; ///< Of the leader; empty if unknown.
};

/// The operation may have been done; repeat it with the same change id.
struct outcome_unknown {};

/// The request was refused; nothing was done.
struct request_refused {
  std::string Code;
  std::string Message;
};

/// A membership change was committed.
struct membership_changed {};

/// The change of the backend server has been sent to every connected entry.
struct backend_recorded {};

/// The outcome of an operation. A string is the requested JSON.
using control_outcome = std::variant<outcome_unknown, not_leader, request_refused, control_answer,
                                     membership_changed, backend_recorded, std::string>;

/// An operation with the promise of its outcome.
struct control_request {
  control_operation Operation;
  std::shared_ptr<std::promise<control_outcome>> Answer;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_REQUEST_TYPE_H

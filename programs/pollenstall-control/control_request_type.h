/** @file control_request_type.h What operators' calls ask of the decision thread. */
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

/// Put a command into the log.
struct command_wanted {
  control_command Command;
};

/// Read the state as of now or later: confirmed by a quorum, so never from a replaced leader.
struct read_wanted {
  std::function<std::string(const control_state &)> Read;
};

/// This host's own view; may lag, and says whether it leads.
struct status_wanted {};

struct dump_wanted {};

/// Let the disk in that asks under this id.
struct admission_wanted {
  member_id Member;
};

struct expulsion_wanted {
  member_id Member;
};

/// A backend server announced itself.
struct announcement_wanted {
  backend_notice Notice;
};

/// A backend server ends this life.
struct withdrawal_wanted {
  backend_incarnation Incarnation;
};

using control_question =
    std::variant<status_wanted, dump_wanted, command_wanted, read_wanted, admission_wanted,
                 expulsion_wanted, announcement_wanted, withdrawal_wanted>;

/// Nothing was done here.
struct leader_elsewhere {
  std::string OperatorUrl; ///< Empty where not known.
};

/// It may have been done: ask again with the same change id.
struct outcome_unknown {};

/// Nothing was done.
struct request_refused {
  std::string Code;
  std::string Message;
};

/// A membership change is in the log of a quorum.
struct membership_changed {};

/// Every entry in touch is being told of the backend server.
struct backend_noted {};

/// A text is the JSON that was asked for.
using control_outcome =
    std::variant<outcome_unknown, leader_elsewhere, request_refused, control_answer,
                 membership_changed, backend_noted, std::string>;

struct control_request {
  control_question Question;
  std::shared_ptr<std::promise<control_outcome>> Answer;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_REQUEST_TYPE_H

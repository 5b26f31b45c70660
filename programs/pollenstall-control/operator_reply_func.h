/** @file operator_reply_func.h Outcomes of the decision thread as HTTP replies. */
#ifndef POLLENSTALL_CONTROL_OPERATOR_REPLY_FUNC_H
#define POLLENSTALL_CONTROL_OPERATOR_REPLY_FUNC_H

#include "control_request_type.h"
#include "operators/operators.h"

#include <string_view>

namespace pollenstall {

/// @return The reply to any outcome; see docs/design/control.md for the codes.
operator_reply replyTo(const control_outcome &Outcome);

/// @return 400 for a call that cannot be read.
operator_reply badCall(std::string_view Message);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_OPERATOR_REPLY_FUNC_H

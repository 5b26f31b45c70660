/** @file operator_reply_func.h Converts outcomes of the decision thread to HTTP replies. */
#ifndef POLLENSTALL_CONTROL_OPERATOR_REPLY_FUNC_H
#define POLLENSTALL_CONTROL_OPERATOR_REPLY_FUNC_H

#include "control_request_type.h"
#include "operators/operators.h"

#include <string_view>

namespace pollenstall {

/// @return The reply for an outcome; see docs/design/control.md for the codes.
operator_reply replyTo(const control_outcome &Outcome);

/// @return A reply with status 400 for a malformed call.
operator_reply badRequest(std::string_view Message);

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_OPERATOR_REPLY_FUNC_H

/** @file answer_end_func.h Names of the ways in which an answer ends. */
#ifndef POLLENSTALL_RELAY_ANSWER_END_FUNC_H
#define POLLENSTALL_RELAY_ANSWER_END_FUNC_H

#include "relay/answer_end_type.h"

#include <string_view>

namespace pollenstall {

/// Returns the lower-case name for the log.
std::string_view bodyFramingText(body_framing Framing);
/// Returns the lower_snake name for the log.
std::string_view connectionEndText(connection_end End);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ANSWER_END_FUNC_H

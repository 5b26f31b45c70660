/** @file answer_end_func.h Decides whether an answer is whole or was broken off. */
#ifndef POLLENSTALL_RELAY_ANSWER_END_FUNC_H
#define POLLENSTALL_RELAY_ANSWER_END_FUNC_H

#include "relay/answer_end_type.h"

#include <string_view>

namespace pollenstall {

/**
 * Decides from the framing, the received bytes and the state of the connection.
 *
 * An answer with neither a length nor chunks ends when its connection closes, also where its server
 * has crashed. A stream that ends inside an event or before its first one was broken off. A close
 * between two events, or within an answer that is no stream, cannot be told from the end.
 */
answer_verdict judgeAnswerEnd(const answer_progress &Progress);

/// Returns the lower_snake name for logs and metrics.
std::string_view answerEndReasonText(answer_end_reason Reason);
/// Returns the lower-case name for the log.
std::string_view bodyFramingText(body_framing Framing);
/// Returns the lower_snake name for the log.
std::string_view connectionEndText(connection_end End);

} // namespace pollenstall

#endif // POLLENSTALL_RELAY_ANSWER_END_FUNC_H

/** @file retry_codec_func.h Wire format of messages about loans of retries. */
#ifndef POLLENSTALL_WORK_SHARE_RETRY_CODEC_FUNC_H
#define POLLENSTALL_WORK_SHARE_RETRY_CODEC_FUNC_H

#include "retry_budget/retry_budget_type.h"
#include "wire/wire.h"

#include <span>
#include <string>

namespace pollenstall {

/// @return The datagram. Amounts are rounded down to thousandths of a retry.
std::string encodeRetryMessage(const std::string &Fleet, const retry_message &Message);

/// @return The message, or why the bytes are not a message about loans of retries of this fleet.
result<retry_message, wire_error> decodeRetryMessage(const std::string &Fleet,
                                                     std::span<const char> Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_RETRY_CODEC_FUNC_H

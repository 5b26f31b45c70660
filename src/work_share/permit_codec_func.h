/** @file permit_codec_func.h Wire format of messages about permits. */
#ifndef POLLENSTALL_WORK_SHARE_PERMIT_CODEC_FUNC_H
#define POLLENSTALL_WORK_SHARE_PERMIT_CODEC_FUNC_H

#include "rate_limit/rate_limit.h"
#include "wire/wire.h"

#include <span>
#include <string>

namespace pollenstall {

/// @return The datagram. Limits are rounded to thousandths of a request per second.
std::string encodePermitMessage(const std::string &Fleet, const permit_message &Message);

/// @return The message, or why the bytes are not a message about permits of this fleet.
result<permit_message, wire_error> decodePermitMessage(const std::string &Fleet,
                                                       std::span<const char> Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_PERMIT_CODEC_FUNC_H

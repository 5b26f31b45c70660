/** @file waiting_codec_func.h Encodes reports of waiting requests. */
#ifndef POLLENSTALL_WORK_SHARE_WAITING_CODEC_FUNC_H
#define POLLENSTALL_WORK_SHARE_WAITING_CODEC_FUNC_H

#include "wire/wire.h"
#include "work_exchange/work_exchange_type.h"

#include <span>
#include <string>

namespace pollenstall {

/// @return The datagram of a report with waiting requests. Builds that don't know its kind drop it.
std::string encodeWaitingReport(const std::string &Fleet, const work_report &Report);

/// @return The report, or why the datagram can't be used.
result<work_report, wire_error> decodeWaitingReport(const std::string &Fleet,
                                                    std::span<const char> Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_WAITING_CODEC_FUNC_H

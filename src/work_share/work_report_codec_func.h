/** @file work_report_codec_func.h Compact wire format of work reports. */
#ifndef POLLENSTALL_WORK_SHARE_WORK_REPORT_CODEC_FUNC_H
#define POLLENSTALL_WORK_SHARE_WORK_REPORT_CODEC_FUNC_H

#include "wire/wire.h"
#include "work_share/work_share_type.h"

#include <span>
#include <string>

namespace pollenstall {

/// @return The datagram. Counts saturate at 255 and times at 65535 ms. Memory is rounded up to the
/// unit of the wire format and saturates at 65535 units.
std::string encodeWorkReport(const std::string &Fleet, const work_report &Report);

/// @return The report, or why the bytes are not a report of this fleet.
result<work_report, wire_error> decodeWorkReport(const std::string &Fleet,
                                                 std::span<const char> Bytes);

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_WORK_REPORT_CODEC_FUNC_H

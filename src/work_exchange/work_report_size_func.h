/** @file work_report_size_func.h Size of a work report on the wire. */
#ifndef POLLENSTALL_WORK_EXCHANGE_WORK_REPORT_SIZE_FUNC_H
#define POLLENSTALL_WORK_EXCHANGE_WORK_REPORT_SIZE_FUNC_H

#include "work_exchange/work_exchange_type.h"

#include <cstddef>
#include <string_view>

namespace pollenstall {

/// @return The size in bytes of a report as sent by work_share, without UDP and IP headers.
constexpr std::size_t workReportSize(std::string_view Fleet, std::string_view Host,
                                     std::size_t Loads) {
  constexpr std::size_t Count = 8;    // Number of characters or loads.
  constexpr std::size_t Envelope = 8; // Magic number, version and kind.
  constexpr std::size_t Report = 18;  // Incarnation, sequence, scope and urgency.
  constexpr std::size_t Load = 20;
  return Envelope + Count + Fleet.size() + Count + Host.size() + Report + Count + Load * Loads;
}

/// @return The size in bytes of a report of waiting requests, without UDP and IP headers.
constexpr std::size_t waitingReportSize(std::string_view Fleet, std::string_view Host,
                                        std::size_t Services) {
  constexpr std::size_t Count = 8;
  constexpr std::size_t Service = 12 + Count + 2 * RankClassCount;
  constexpr std::size_t Urgency = 1; // Not contained in these reports.
  return workReportSize(Fleet, Host, 0) - Urgency + Service * Services;
}

} // namespace pollenstall

#endif // POLLENSTALL_WORK_EXCHANGE_WORK_REPORT_SIZE_FUNC_H

/** @file work_share_type.h Datagrams between entries. */
#ifndef POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H
#define POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H

#include "core/core.h"
#include "placement/placement_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// All that one entry has under way. A datagram is whole by itself, so that a lost one is made good
/// by the next.
struct work_report {
  process_key Sender;
  std::uint64_t Sequence{0}; ///< Rises within a life; a late datagram is dropped.
  std::vector<work_load> Loads;
};

/// Work at more backend servers than this is told of in part.
constexpr std::size_t MaxReportLoads = 48;
constexpr std::size_t MaxReportBytes = 1400;

/// Why the share does not start.
struct work_share_error {
  std::string Text;
};

/// From the decision thread.
struct share_order {
  std::vector<work_load> Loads;
  std::vector<std::string> Peers; ///< "IP:port" of every other entry.
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H

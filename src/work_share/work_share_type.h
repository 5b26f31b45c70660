/** @file work_share_type.h Between the thread of work reports and that of decisions. */
#ifndef POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H
#define POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H

#include "work_exchange/work_exchange_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

constexpr std::size_t MaxReportBytes = 1400;

/// Why the share does not start.
struct work_share_error {
  std::string Text;
};

/// From the decision thread: what this entry has under way.
struct own_work {
  std::vector<work_load> Loads;
  bool Urgent{false}; ///< A choice among them is acted upon in a moment.
};

/// From the decision thread: all entries that place work.
struct entries_known {
  std::vector<work_entry> Entries;
};

using share_order = std::variant<own_work, entries_known>;

/// Reports, since the start.
struct work_share_counts {
  std::uint64_t SentDatagrams{0};
  std::uint64_t SentBytes{0};
  std::uint64_t TakenDatagrams{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_WORK_SHARE_WORK_SHARE_TYPE_H

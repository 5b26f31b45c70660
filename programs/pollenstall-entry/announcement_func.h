/** @file announcement_func.h Reads the announcements of backend servers. */
#ifndef POLLENSTALL_ENTRY_ANNOUNCEMENT_FUNC_H
#define POLLENSTALL_ENTRY_ANNOUNCEMENT_FUNC_H

#include "core/core.h"
#include "gossip/gossip.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// The field that is wrong.
struct announcement_fault {
  std::string Field;
  std::string Message;
};

/**
 * Reads the JSON of docs/BACKEND-PROTOCOL.md; unknown members are ignored.
 * @param Fleet An announcement of another fleet is refused.
 */
result<received_announcement, announcement_fault> readAnnouncement(std::string_view Body,
                                                                   std::string_view Fleet);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ANNOUNCEMENT_FUNC_H

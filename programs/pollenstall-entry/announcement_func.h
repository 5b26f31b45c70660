/** @file announcement_func.h Parses the announcements of backend servers. */
#ifndef POLLENSTALL_ENTRY_ANNOUNCEMENT_FUNC_H
#define POLLENSTALL_ENTRY_ANNOUNCEMENT_FUNC_H

#include "core/core.h"
#include "gossip/gossip.h"

#include <string>
#include <string_view>

namespace pollenstall {

/// The first invalid field of an announcement and what is wrong with it.
struct announcement_fault {
  std::string Field;
  std::string Message;
};

/**
 * Parses the JSON that docs/BACKEND-PROTOCOL.md describes; unknown members are ignored.
 * @param Fleet Name of this fleet; an announcement of another fleet is refused.
 */
result<received_announcement, announcement_fault> readAnnouncement(std::string_view Body,
                                                                   std::string_view Fleet);

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_ANNOUNCEMENT_FUNC_H

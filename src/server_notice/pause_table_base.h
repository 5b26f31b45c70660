/** @file pause_table_base.h The backend servers that have asked this entry for a pause. */
#ifndef POLLENSTALL_SERVER_NOTICE_PAUSE_TABLE_BASE_H
#define POLLENSTALL_SERVER_NOTICE_PAUSE_TABLE_BASE_H

#include "core/core.h"

#include <chrono>
#include <map>
#include <optional>

namespace pollenstall {

/**
 * Remembers until when backend servers want no request from this entry. A pause belongs to an
 * incarnation: another one at the same address owes it nothing.
 */
class pause_table {
public:
  /// Records a pause; of several, the one that ends last counts.
  /// @return When the server's pause ends.
  mono_time record(const backend_key &Backend, std::chrono::milliseconds Pause, mono_time Now);
  /// @return When the server's pause ends; nothing if it has none now.
  [[nodiscard]] std::optional<mono_time> pausedUntil(const backend_key &Backend,
                                                     mono_time Now) const;
  [[nodiscard]] bool isPaused(const backend_key &Backend, mono_time Now) const {
    return pausedUntil(Backend, Now).has_value();
  }
  /// @return The number of servers that are paused now.
  [[nodiscard]] std::size_t count(mono_time Now) const;

private:
  std::map<backend_key, mono_time> Ends;
};

} // namespace pollenstall

#endif // POLLENSTALL_SERVER_NOTICE_PAUSE_TABLE_BASE_H

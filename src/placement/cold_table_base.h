/** @file cold_table_base.h Until when backend servers are cold. */
#ifndef POLLENSTALL_PLACEMENT_COLD_TABLE_BASE_H
#define POLLENSTALL_PLACEMENT_COLD_TABLE_BASE_H

#include "core/core.h"

#include <chrono>
#include <optional>
#include <unordered_map>

namespace pollenstall {

/**
 * Holds what listings say about cold servers as times of this entry's clock. A listing that says
 * nothing, as a new leader sends it before the server's next notice, changes nothing.
 */
class cold_table {
public:
  struct period {
    mono_time Until;
    /// Until when requests may have been sent without permits; empty: the server was never warm
    /// here.
    std::optional<mono_time> WarmUntil;
  };

  /// @param UnknownTime How long a server counts as cold that is listed for the first time and of
  /// which the leader does not know whether it is cold.
  explicit cold_table(mono_duration UnknownTime) : Unknown(UnknownTime) {}

  /// Records a listing. @param ColdFor As in backend_listing.
  void record(incarnation Server, std::optional<std::chrono::milliseconds> ColdFor, mono_time Now);
  /// Counts a server as cold for this time or longer, until a listing says otherwise.
  void markCold(incarnation Server, mono_duration Time, mono_time Now);
  /// Records that requests were sent to a cold server without permits until now.
  void markUnbounded(incarnation Server, mono_time Now);
  void remove(incarnation Server) { Periods.erase(Server); }
  /// @return The server's last cold period, which may have ended; empty if it is unknown.
  [[nodiscard]] std::optional<period> find(incarnation Server) const;

private:
  static void extend(period &Period, mono_time Until, mono_time Now);

  mono_duration Unknown;
  std::unordered_map<incarnation, period> Periods;
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_COLD_TABLE_BASE_H

/** @file orphan_reaper_base.h Finds attempts that run for a process that has ended. */
#ifndef POLLENSTALL_ORPHAN_ORPHAN_REAPER_BASE_H
#define POLLENSTALL_ORPHAN_ORPHAN_REAPER_BASE_H

#include "core/core.h"
#include "membership/membership.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// Intervals and grace periods of the reaper.
struct orphan_reaper_options {
  mono_duration Interval{std::chrono::seconds(5)}; ///< Between two checks of an engine.
  /**
   * Time for which a host must have been Dead before its attempts count as orphans. The host may
   * only be partitioned from the other hosts and still be serving. Cancelling its attempts is then
   * safe, because their outcome is reported as "unknown", but avoidable.
   */
  mono_duration DeadHostGrace{std::chrono::seconds(60)};
  /// Time since the first attempt of an unknown host was seen, before its attempts count as
  /// orphans.
  mono_duration UnknownHostGrace{std::chrono::minutes(5)};
  std::size_t MaxUnknownOwners{1024}; ///< Unknown owners that are tracked at most.
};

/**
 * Decides which attempts on engines (backend servers that serve a model) are orphans; the caller
 * cancels them. Without this check, only the owner of an attempt cancels it, so an engine would
 * keep the memory of a failed owner's attempts for ever. Each engine is checked by one live host,
 * chosen by rendezvous hashing, so that the number of checks does not grow with the number of
 * hosts. If hosts disagree on which hosts are alive, several may check an engine; a second
 * cancellation has no effect.
 *
 * Performs no I/O: callers pass in events and the time.
 */
class orphan_reaper {
public:
  orphan_reaper(process_key Process, const orphan_reaper_options &ReaperOptions)
      : Self(std::move(Process)), Options(ReaperOptions) {}

  void updateHost(const host_view &View, mono_time Now);
  /// Adds a backend server if it is an engine. Other backend servers hold no memory for attempts
  /// and are ignored.
  void addEngine(const backend_announcement &Announcement);
  void removeEngine(const backend_key &Backend);

  /// Returns the engines whose attempts this host should list now, each once per interval.
  std::vector<backend_key> takeDueEngines(mono_time Now);
  /// @return The next time at which takeDueEngines() should be called; nothing if there are no
  /// engines.
  [[nodiscard]] std::optional<mono_time> nextWake() const;
  /// @return Whether the attempt's owner has ended, so that another host must cancel the attempt.
  bool isOrphan(const attempt_id &Attempt, mono_time Now);

private:
  struct host_state {
    incarnation Incarnation;
    host_status Status{host_status::Alive};
    mono_time StatusSince; ///< Time at which the host got this status.
  };

  [[nodiscard]] bool isAssignedToThisHost(const backend_key &Backend) const;
  [[nodiscard]] bool hasOwnerEnded(const host_state &Host, incarnation Incarnation,
                                   mono_time Now) const;
  bool isUnknownForTooLong(const process_key &Owner, mono_time Now);

  process_key Self;
  orphan_reaper_options Options;
  std::map<host_name, host_state> Hosts;
  std::map<backend_key, mono_time> NextCheck;
  std::map<process_key, mono_time> UnknownOwners; ///< Owners on unknown hosts, with the time at
                                                  ///< which their first attempt was seen.
};

} // namespace pollenstall

#endif // POLLENSTALL_ORPHAN_ORPHAN_REAPER_BASE_H

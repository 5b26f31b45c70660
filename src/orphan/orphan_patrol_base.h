/** @file orphan_patrol_base.h Finds attempts that run for a process that does not live any more. */
#ifndef POLLENSTALL_ORPHAN_ORPHAN_PATROL_BASE_H
#define POLLENSTALL_ORPHAN_ORPHAN_PATROL_BASE_H

#include "core/core.h"
#include "membership/membership.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace pollenstall {

/// How patient the patrol is.
struct orphan_settings {
  mono_duration Interval{std::chrono::seconds(5)}; ///< Between two looks at an engine.
  /**
   * A host must have counted as dead for so long. It may only be cut off from the other hosts and
   * still be serving; cutting its streams would be right ("unknown") but needless.
   */
  mono_duration DeadGrace{std::chrono::seconds(60)};
  /// A host that nobody has told of for so long since its attempt was first seen.
  mono_duration UnknownGrace{std::chrono::minutes(5)};
  std::size_t MaxUnknown{1024}; ///< Unknown owners remembered.
};

/**
 * Without it an engine would hold the memory of a dead entry's attempts for good: only their owner
 * would ever cancel them. Each engine is looked at by one living host, chosen by hash, so that the
 * number of looks does not grow with the number of hosts. Two hosts that disagree on who lives both
 * look; cancelling twice does no harm.
 *
 * Pure: events and the time go in, answers come out.
 */
class orphan_patrol {
public:
  orphan_patrol(process_key Process, const orphan_settings &Wanted)
      : Self(std::move(Process)), Settings(Wanted) {}

  void noteHost(const host_view &View, mono_time Now);
  /// Only engines hold memory; others are passed over.
  void noteBackend(const backend_announcement &Announcement);
  void forgetBackend(const backend_key &Backend);

  /// @return The engines whose attempts this host is to list now; each once in an interval.
  std::vector<backend_key> due(mono_time Now);
  /// @return When due() has something to say at the latest.
  [[nodiscard]] std::optional<mono_time> nextWake() const;
  /// @return Whether nobody will end the attempt but a survivor.
  bool isOrphan(const attempt_id &Attempt, mono_time Now);

private:
  struct known_host {
    incarnation Incarnation;
    host_standing Standing{host_standing::Alive};
    mono_time Since; ///< Of the standing.
  };

  [[nodiscard]] bool isMine(const backend_key &Backend) const;
  [[nodiscard]] bool ownerIsOver(const known_host &Host, incarnation Incarnation,
                                 mono_time Now) const;
  bool unknownForLong(const process_key &Owner, mono_time Now);

  process_key Self;
  orphan_settings Settings;
  std::map<host_name, known_host> Hosts;
  std::map<backend_key, mono_time> NextLook;
  std::map<process_key, mono_time> Unknown; ///< When an attempt of it was first seen.
};

} // namespace pollenstall

#endif // POLLENSTALL_ORPHAN_ORPHAN_PATROL_BASE_H

/** @file reach_watch_base.h Tells an entry that reaches nobody from servers that are gone. */
#ifndef POLLENSTALL_PLACEMENT_REACH_WATCH_BASE_H
#define POLLENSTALL_PLACEMENT_REACH_WATCH_BASE_H

#include "core/core.h"

#include <chrono>
#include <vector>

namespace pollenstall {

/**
 * Connections to several backend servers of several failure domains fail within a moment, and none
 * succeeds: then it is this entry's link. Each server would be blamed and paused for it, and each
 * request would use up its attempts, though the servers work for the other entries.
 */
class reach_watch {
public:
  /// A connection to the server could not be made.
  void noteUnreached(const backend_key &Backend, const failure_domain_name &Domain, mono_time Now);
  /// A server has answered something.
  void noteReached();

  /// @return Whether this entry reaches nobody, as far as is known.
  [[nodiscard]] bool isOut() const { return Out; }
  /// @return Servers that failed in this spell; not to be blamed for it.
  [[nodiscard]] std::vector<backend_key> unreached() const;
  /// @return Whether one request may now be tried, to see whether it is over.
  [[nodiscard]] bool mayTry(mono_time Now) const { return Now >= NextTry; }
  void noteTry(mono_time Now) { NextTry = Now + TryInterval; }
  [[nodiscard]] mono_time nextTry() const { return NextTry; }

private:
  /// Failures that are further apart have nothing to do with each other. Where two fifths of all
  /// servers lose their links four in a row are met twice in a hundred times.
  static constexpr mono_duration Spell = std::chrono::seconds(3);
  static constexpr std::size_t LeastServers = 4;
  static constexpr std::size_t LeastDomains = 2;
  static constexpr mono_duration TryInterval = std::chrono::milliseconds(300);

  struct failure {
    backend_key Backend;
    failure_domain_name Domain;
    mono_time At;
  };
  [[nodiscard]] bool severalFailed() const;

  std::vector<failure> Failures; ///< Of this spell, the last one of each server.
  bool Out{false};
  mono_time NextTry{};
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_REACH_WATCH_BASE_H

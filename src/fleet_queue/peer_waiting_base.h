/** @file peer_waiting_base.h The waiting requests of all other entries, as last reported. */
#ifndef POLLENSTALL_FLEET_QUEUE_PEER_WAITING_BASE_H
#define POLLENSTALL_FLEET_QUEUE_PEER_WAITING_BASE_H

#include "core/core.h"
#include "fleet_queue/fleet_queue_type.h"

#include <vector>

namespace pollenstall {

/// Sum of the waiting requests of all other entries, by service. It expires, so that the requests
/// of entries that died or were cut off don't hold others back.
class peer_waiting {
public:
  explicit peer_waiting(mono_duration ReportLifetime) : Lifetime(ReportLifetime) {}

  /// Replaces the counts of all services.
  void update(std::vector<waiting_load> Sums, mono_time Now) {
    Loads = std::move(Sums);
    Received = Now;
  }
  /// Returns the counts of a service; zero if none were reported within the lifetime.
  [[nodiscard]] waiting_load of(std::uint64_t Service, mono_time Now) const {
    if (Received != mono_time::min() && Now - Received <= Lifetime)
      for (const waiting_load &Load : Loads)
        if (Load.Service == Service)
          return Load;
    return {Service, 0, {}};
  }

private:
  mono_duration Lifetime;
  std::vector<waiting_load> Loads;
  mono_time Received{mono_time::min()};
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_QUEUE_PEER_WAITING_BASE_H

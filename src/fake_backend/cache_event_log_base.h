/** @file cache_event_log_base.h Log of KV cache events, published with a delay and with gaps as
 * engines do. */
#ifndef POLLENSTALL_FAKE_BACKEND_CACHE_EVENT_LOG_BASE_H
#define POLLENSTALL_FAKE_BACKEND_CACHE_EVENT_LOG_BASE_H

#include "core/core.h"
#include "fake_backend/prefix_cache_base.h"

#include <deque>
#include <string>

namespace pollenstall {

/// Numbers all events, drops some of them and publishes each after a delay.
class cache_event_log {
public:
  /// @param EventLossProbability Probability from 0 to 1 that an event is dropped.
  cache_event_log(mono_duration Lag, double EventLossProbability, std::uint64_t Seed)
      : VisibilityLag(Lag), LossProbability(EventLossProbability), Random(Seed) {}

  /// Appends one event for the stored and one for the removed blocks.
  void add(const prefix_cache::changes &Changes, mono_time Now);

  /// Appends the events after number After that are visible at Now as SSE text.
  /// @return Number of the last appended event, or After if there is none.
  std::uint64_t read(std::string &Out, std::uint64_t After, mono_time Now) const;

private:
  struct event {
    std::uint64_t Number{0};
    mono_time VisibleAt;
    std::string Json;
  };

  void addEvent(const char *Kind, const std::vector<std::uint64_t> &Hashes, mono_time Now);

  mono_duration VisibilityLag;
  double LossProbability;
  random_source Random;
  std::deque<event> Events;
  std::uint64_t LastNumber{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_CACHE_EVENT_LOG_BASE_H

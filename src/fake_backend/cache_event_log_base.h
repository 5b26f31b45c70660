/** @file cache_event_log_base.h Cache events as engines publish them: late and with gaps. */
#ifndef POLLENSTALL_FAKE_BACKEND_CACHE_EVENT_LOG_BASE_H
#define POLLENSTALL_FAKE_BACKEND_CACHE_EVENT_LOG_BASE_H

#include "core/core.h"
#include "fake_backend/prefix_cache_base.h"

#include <deque>
#include <string>

namespace pollenstall {

/// Numbers every event, loses some of them and shows each only after a lag.
class cache_event_log {
public:
  /// @param LossShare Probability from 0 to 1 that an event is lost.
  cache_event_log(mono_duration EventLag, double LossShare, std::uint64_t Seed)
      : Lag(EventLag), Loss(LossShare), Random(Seed) {}

  void add(const prefix_cache::changes &Changes, mono_time Now);

  /// Appends the events after After that may be seen by now, as SSE. @return The last one's number.
  std::uint64_t read(std::string &Out, std::uint64_t After, mono_time Now) const;

private:
  struct entry {
    std::uint64_t Number{0};
    mono_time VisibleAt;
    std::string Json;
  };

  void addOne(const char *Kind, const std::vector<std::uint64_t> &Hashes, mono_time Now);

  mono_duration Lag;
  double Loss;
  random_source Random;
  std::deque<entry> Entries;
  std::uint64_t Last{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_CACHE_EVENT_LOG_BASE_H

/** @file timer_queue_base.h One timer for each key, ordered by time. */
#ifndef POLLENSTALL_DISPATCH_TIMER_QUEUE_BASE_H
#define POLLENSTALL_DISPATCH_TIMER_QUEUE_BASE_H

#include "core/clock_type.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace pollenstall {

/**
 * Timers of a state machine without a clock: the owner polls next() and popDue().
 * @tparam Key Must have a total order. Timers of the same time expire in this order, so that runs
 * are reproducible.
 */
template <typename Key> class timer_queue {
public:
  /// Sets the key's timer, replacing an earlier one.
  void set(const Key &TimerKey, mono_time Time) {
    erase(TimerKey);
    TimeByKey.emplace(TimerKey, Time);
    KeysByTime.emplace(Time, TimerKey);
  }

  void erase(const Key &TimerKey) {
    const auto Timer = TimeByKey.find(TimerKey);
    if (Timer == TimeByKey.end())
      return;
    KeysByTime.erase({Timer->second, TimerKey});
    TimeByKey.erase(Timer);
  }

  /// @return The time of the earliest timer; empty if there is none.
  [[nodiscard]] std::optional<mono_time> next() const {
    if (KeysByTime.empty())
      return std::nullopt;
    return KeysByTime.begin()->first;
  }

  /// Removes the earliest timer that is due at Now and returns its key; empty if none is due.
  std::optional<Key> popDue(mono_time Now) {
    if (KeysByTime.empty() || KeysByTime.begin()->first > Now)
      return std::nullopt;
    const Key Due = KeysByTime.begin()->second;
    erase(Due);
    return Due;
  }

private:
  std::map<Key, mono_time> TimeByKey;
  std::set<std::pair<mono_time, Key>> KeysByTime;
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_TIMER_QUEUE_BASE_H

/** @file concurrency_limit_base.h Adaptive limit on concurrent requests per engine. */
#ifndef POLLENSTALL_SCHEDULING_CONCURRENCY_LIMIT_BASE_H
#define POLLENSTALL_SCHEDULING_CONCURRENCY_LIMIT_BASE_H

#include "core/core.h"

namespace pollenstall {

/**
 * Learns how many concurrent requests an engine can run so that their answers still end within the
 * callers' time limits. While an engine prefills without pause, each running answer gets one token
 * per prefill chunk. With too many requests, answers exceed the time limits and their work is lost.
 * Requests that wait at this host instead can be refused early.
 */
class concurrency_limit {
public:
  /// Records the pace that an arriving request needs.
  /// @param SecondsPerToken Time per token that its time limit allows for a long answer.
  void observeRequiredPace(double SecondsPerToken);
  /// Records the pace of an answer on an engine that processes no long prompt.
  void observePace(double SecondsPerToken);
  /// Adjusts the limit; called at a fixed interval.
  /// @param LimitReached Whether the limit delayed requests.
  void adjust(bool LimitReached);

  /// Returns the limit of concurrent requests for an engine of typical speed.
  [[nodiscard]] double value() const { return Limit; }
  /// Returns the recent pace of answers in seconds per token.
  [[nodiscard]] double pace() const { return Pace; }
  /// Returns the pace in seconds per token that is fast enough for the callers' time limits.
  [[nodiscard]] double requiredPace() const { return RequiredPace; }

private:
  double Limit{64};
  double Pace{0};
  double RequiredPace{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_CONCURRENCY_LIMIT_BASE_H

/** @file concurrency_limit_base.h How many requests one engine is given at once. */
#ifndef POLLENSTALL_SCHEDULING_CONCURRENCY_LIMIT_BASE_H
#define POLLENSTALL_SCHEDULING_CONCURRENCY_LIMIT_BASE_H

#include "core/core.h"

namespace pollenstall {

/**
 * Learns how many requests an engine can work on while their answers still end in time. An engine
 * that always has prefill to do gives each running answer one token a chunk; beyond some number the
 * answers outlive their callers' time limits and the work is lost. What waits at the entry instead
 * can be refused early.
 */
class concurrency_limit {
public:
  /// A request arrived. @param Seconds Time a token that its limit leaves for a long answer.
  void need(double Seconds);
  /// Tokens came. @param Seconds Time a token, on an engine without long prompts to process.
  void observe(double Seconds);
  /// Adjusts the limit; called at a fixed interval. @param Bound Whether the limit held work back.
  void adjust(bool Bound);

  /// @return Requests on an engine of typical speed at once.
  [[nodiscard]] double value() const { return Limit; }
  [[nodiscard]] double pace() const { return Pace; }         ///< Seconds a token, lately.
  [[nodiscard]] double neededPace() const { return Needed; } ///< Seconds a token that is enough.

private:
  double Limit{64};
  double Pace{0};
  double Needed{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_CONCURRENCY_LIMIT_BASE_H

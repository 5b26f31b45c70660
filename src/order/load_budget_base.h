/** @file load_budget_base.h How many loads the weight store takes: at once, and per minute. */
#ifndef POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H
#define POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H

#include "order/order_type.h"

#include <cstdint>
#include <map>

namespace pollenstall {

/// What the weight store allows the whole fleet.
struct load_budget_limits {
  std::uint32_t AtOnce{2};
  std::uint32_t PerMinute{30};
};

/**
 * Bounds loads under way and loads begun per minute (a token bucket of AtOnce tokens).
 * A load begun by an earlier leader is not seen, so a new leader starts with an empty bucket.
 */
class load_budget {
public:
  explicit load_budget(const load_budget_limits &Bounds) : Limits(Bounds) {}

  /// Nothing is known of what was begun before.
  void reset(mono_time Now);

  /// @return How many loads may begin now.
  [[nodiscard]] std::uint32_t room(mono_time Now) const;

  /// @param Until When the load counts as over if nothing ends it before.
  void begin(const planned_order &Load, mono_time Until, mono_time Now);
  void extend(const planned_order &Load, mono_time Until);
  void end(const planned_order &Load);
  /// The engine is gone, and its loads with it.
  void endAll(const backend_key &Engine);
  /// Nothing left for the engine, so nothing was taken from the store.
  void giveBack(const planned_order &Load);

  [[nodiscard]] bool underWay(const planned_order &Load, mono_time Now) const;

private:
  [[nodiscard]] double tokensAt(mono_time Now) const;

  load_budget_limits Limits;
  double Tokens{0};
  mono_time Counted{}; ///< When Tokens held.
  std::map<planned_order, mono_time> Loads;
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H

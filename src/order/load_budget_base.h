/** @file load_budget_base.h Bounds on concurrent loads and on loads per minute from the weight
 * store. */
#ifndef POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H
#define POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H

#include "order/order_type.h"

#include <cstdint>
#include <map>

namespace pollenstall {

/// Bounds of the weight store, for the whole fleet.
struct load_budget_limits {
  std::uint32_t MaxConcurrent{2};
  std::uint32_t MaxPerMinute{30};
};

/**
 * Bounds concurrent loads and, with a token bucket of MaxConcurrent tokens, loads begun per minute.
 * Loads begun by an earlier leader are not known, so a new leader starts with an empty bucket.
 */
class load_budget {
public:
  explicit load_budget(const load_budget_limits &BudgetLimits) : Limits(BudgetLimits) {}

  /// Empties the bucket and discards all loads, since earlier loads are not known.
  void reset(mono_time Now);

  /// @return The number of loads that may begin now.
  [[nodiscard]] std::uint32_t availableLoads(mono_time Now) const;

  /// Takes a token for a load.
  /// @param Until Time at which the load counts as ended if nothing ends it earlier.
  void begin(const planned_order &Load, mono_time Until, mono_time Now);
  void extend(const planned_order &Load, mono_time Until);
  void end(const planned_order &Load);
  /// Ends all loads on an engine that is gone.
  void endLoadsOn(const backend_key &Engine);
  /// Ends a load that was not sent, so took nothing from the store, and returns its token.
  void refund(const planned_order &Load);

  [[nodiscard]] bool isInFlight(const planned_order &Load, mono_time Now) const;

private:
  [[nodiscard]] double tokensAt(mono_time Now) const;

  load_budget_limits Limits;
  double Tokens{0};
  mono_time RefilledAt{};                           ///< Time for which Tokens is valid.
  std::map<planned_order, mono_time> LoadsInFlight; ///< With the time at which each one ends.
};

} // namespace pollenstall

#endif // POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H

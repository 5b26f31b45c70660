/** @file load_budget_base.h Limits concurrent loads from the weight store and loads per minute. */
#ifndef POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H
#define POLLENSTALL_ORDER_LOAD_BUDGET_BASE_H

#include "order/order_type.h"

#include <cstdint>
#include <map>

namespace pollenstall {

/// Limits for the whole fleet's loads from the weight store, which serves model weights to engines.
struct load_budget_limits {
  std::uint32_t MaxConcurrent{2}; ///< Loads that run at the same time.
  std::uint32_t MaxPerMinute{30}; ///< Loads that begin.
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
  /// Replaces the time at which the load counts as ended.
  void setEnd(const planned_order &Load, mono_time Until);
  /// Stops counting the load.
  void end(const planned_order &Load);
  /// Stops counting the loads of a removed engine.
  void endLoadsOn(const backend_key &Engine);
  /// Stops counting a load whose order was not sent, and returns its token, since the load took
  /// nothing from the store.
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

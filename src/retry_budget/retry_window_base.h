/** @file retry_window_base.h One entry's retries for one service over a sliding window. */
#ifndef POLLENSTALL_RETRY_BUDGET_RETRY_WINDOW_BASE_H
#define POLLENSTALL_RETRY_BUDGET_RETRY_WINDOW_BASE_H

#include "retry_budget/retry_budget_type.h"

#include <deque>

namespace pollenstall {

/**
 * An entry's part of the reserve of one service. Retries use it up; each comes back when it is
 * older than the window, or earlier where requests for the service pay it back. So within any
 * window an entry starts no more retries than its part, and those that the requests of the same
 * window pay for; this holds for the sum of all entries too, however requests and failures are
 * spread over them.
 *
 * Requests pay back only what was used before. Had an entry saved them up, the saved amounts of
 * several entries, or of an entry and its next incarnation, would exceed the bound together.
 */
class retry_window {
public:
  /// Regards the whole part as used until the time, except for what requests pay back.
  void assumeUsedUntil(mono_time Time);
  /// Returns what is older than the given age.
  void advance(mono_time Now, mono_duration Age);
  /// Pays back an amount, the latest first: the oldest come back soon anyway.
  void payBack(retry_amount Amount, retry_amount Part);
  /// Takes back an amount that was used for nothing. The oldest are taken back, so that those
  /// which are left stay at least as long as they count.
  void takeBack(retry_amount Amount);
  /// Uses an amount. @param SlotLength Uses within this time are kept as one.
  void use(retry_amount Amount, mono_time Now, mono_duration SlotLength);
  /// @return What may be used now; negative if the part has become smaller than what was used.
  [[nodiscard]] retry_amount available(retry_amount Part) const;

private:
  struct slot {
    mono_time Begin;
    retry_amount Used;
  };

  /// @return By how much the slot was reduced.
  retry_amount reduce(slot &Slot, retry_amount Amount);
  /// Amount that an earlier incarnation may have used, which is at most the part.
  [[nodiscard]] retry_amount assumedUse(retry_amount Part) const;

  std::deque<slot> Slots; ///< Oldest first.
  retry_amount TotalUsed{0};
  mono_time UsedUntil{mono_time::min()};
  retry_amount AssumedUse{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_RETRY_BUDGET_RETRY_WINDOW_BASE_H

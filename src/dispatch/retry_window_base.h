/** @file retry_window_base.h Counts first attempts and retries over a sliding window. */
#ifndef POLLENSTALL_DISPATCH_RETRY_WINDOW_BASE_H
#define POLLENSTALL_DISPATCH_RETRY_WINDOW_BASE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace pollenstall {

/// How many retries one entry may start in each sliding time window.
struct retry_allowance {
  double Reserve{0};                              ///< In addition to the share of first attempts.
  mono_duration Window{std::chrono::seconds(10)}; ///< Length of the window.
};

/**
 * Limits the retries in each sliding time window to a share of the first attempts in that window
 * plus a fixed reserve. A token bucket that never exceeds this limit can save up only a part of it:
 * after the loss of an engine with dozens of streams, the bucket would refuse most of the retries
 * that resume these streams, although the window allows all of them.
 */
class retry_window {
public:
  explicit retry_window(const retry_allowance &NewAllowance) : Allowance(NewAllowance) {}

  void setAllowance(const retry_allowance &NewAllowance) { Allowance = NewAllowance; }
  void recordFirstAttempt(mono_time Now) { slotAt(Now).FirstAttempts += 1; }
  /// Counts a retry if one may start now. @param Share Retries for each first attempt.
  /// @return Whether it may start.
  bool tryWithdraw(double Share, mono_time Now);
  /// @return The number of retries that may start now.
  [[nodiscard]] double available(double Share) const;

private:
  /// Counts over a part of the window.
  struct slot {
    mono_time Begin;
    std::uint64_t FirstAttempts{0};
    std::uint64_t Retries{0};
  };

  slot &slotAt(mono_time Now);

  retry_allowance Allowance;
  std::deque<slot> Slots; ///< Oldest first.
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_RETRY_WINDOW_BASE_H

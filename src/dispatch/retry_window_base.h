/** @file retry_window_base.h Counts first attempts and retries over a sliding window. */
#ifndef POLLENSTALL_DISPATCH_RETRY_WINDOW_BASE_H
#define POLLENSTALL_DISPATCH_RETRY_WINDOW_BASE_H

#include "core/core.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace pollenstall {

/// What one entry may retry in any span of a length.
struct retry_allowance {
  double Extra{0};                                ///< Beside the share of first attempts.
  mono_duration Window{std::chrono::seconds(10)}; ///< Any span of this length.
};

/**
 * Retries in any window are bounded by a share of its first attempts and a fixed extra. A bucket
 * that keeps to the same bound can save up a part of it only: when an engine with dozens of streams
 * is lost, most of them would be cut although the bound allows to go on with all.
 */
class retry_window {
public:
  explicit retry_window(const retry_allowance &Bound) : Allowance(Bound) {}

  void setAllowance(const retry_allowance &Bound) { Allowance = Bound; }
  void noteFirst(mono_time Now) { slotAt(Now).Firsts += 1; }
  /// @param Share Retries for each first attempt. @return Whether a retry may start now; if so it
  /// is counted.
  bool spend(double Share, mono_time Now);
  /// @return Retries that may start now.
  [[nodiscard]] double available(double Share) const;

private:
  /// A part of the window: counts are kept in steps.
  struct slot {
    mono_time Begin;
    std::uint64_t Firsts{0};
    std::uint64_t Retries{0};
  };

  slot &slotAt(mono_time Now);

  retry_allowance Allowance;
  std::deque<slot> Slots; ///< The oldest first.
};

} // namespace pollenstall

#endif // POLLENSTALL_DISPATCH_RETRY_WINDOW_BASE_H

/** @file retry_window.cpp Used amounts by slots of time. */
#include "retry_budget/retry_window_base.h"

#include <algorithm>

namespace pollenstall {

void retry_window::assumeUsedUntil(mono_time Time) {
  UsedUntil = Time;
  AssumedUse = std::numeric_limits<retry_amount>::infinity();
}

retry_amount retry_window::assumedUse(retry_amount Part) const {
  return std::min(AssumedUse, Part);
}

void retry_window::advance(mono_time Now, mono_duration Age) {
  if (UsedUntil <= Now) {
    UsedUntil = mono_time::min();
    AssumedUse = 0;
  }
  while (!Slots.empty() && Slots.front().Begin + Age <= Now) {
    TotalUsed -= Slots.front().Used;
    Slots.pop_front();
  }
  if (Slots.empty())
    TotalUsed = 0; // Rounding errors do not add up.
}

void retry_window::payBack(retry_amount Amount, retry_amount Part) {
  // Without a part there is no list of entries yet, and what was used before is not known.
  if (AssumedUse > 0 && Part > 0) {
    const retry_amount Paid = std::min(Amount, assumedUse(Part));
    AssumedUse = assumedUse(Part) - Paid;
    Amount -= Paid;
  }
  while (Amount > 0 && !Slots.empty()) {
    slot &Oldest = Slots.front();
    const retry_amount Paid = std::min(Amount, Oldest.Used);
    Oldest.Used -= Paid;
    TotalUsed -= Paid;
    Amount -= Paid;
    if (Oldest.Used <= 0)
      Slots.pop_front();
  }
}

void retry_window::use(retry_amount Amount, mono_time Now, mono_duration SlotLength) {
  if (Slots.empty() || Slots.back().Begin + SlotLength <= Now)
    Slots.push_back({Now, 0});
  Slots.back().Used += Amount;
  TotalUsed += Amount;
}

retry_amount retry_window::available(retry_amount Part) const {
  return Part - assumedUse(Part) - TotalUsed;
}

} // namespace pollenstall

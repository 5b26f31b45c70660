/** @file retry_window.cpp Used amounts by slots of time. */
#include "retry_budget/retry_window_base.h"

#include <algorithm>
#include <limits>

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
  while (Amount > 0 && !Slots.empty()) {
    Amount -= reduce(Slots.back(), Amount);
    if (Slots.back().Used <= 0)
      Slots.pop_back();
  }
  // Without a part there is no list of entries yet, and what was used before is not known.
  if (Amount > 0 && AssumedUse > 0 && Part > 0)
    AssumedUse = std::max<retry_amount>(0, assumedUse(Part) - Amount);
}

void retry_window::takeBack(retry_amount Amount) {
  while (Amount > 0 && !Slots.empty()) {
    Amount -= reduce(Slots.front(), Amount);
    if (Slots.front().Used <= 0)
      Slots.pop_front();
  }
}

retry_amount retry_window::reduce(slot &Slot, retry_amount Amount) {
  const retry_amount Reduction = std::min(Amount, Slot.Used);
  Slot.Used -= Reduction;
  TotalUsed -= Reduction;
  return Reduction;
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

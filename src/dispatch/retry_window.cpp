/** @file retry_window.cpp Sliding window made of slots. */
#include "dispatch/retry_window_base.h"

namespace pollenstall {

namespace {

constexpr int SlotsPerWindow = 20;

} // namespace

retry_window::slot &retry_window::slotAt(mono_time Now) {
  const mono_duration SlotLength = Allowance.Window / SlotsPerWindow;
  // One extra slot is kept, so that the slots always cover a full window.
  while (!Slots.empty() && Slots.front().Begin + Allowance.Window + SlotLength <= Now)
    Slots.pop_front();
  if (Slots.empty() || Slots.back().Begin + SlotLength <= Now)
    Slots.push_back({Now});
  return Slots.back();
}

double retry_window::available(double Share) const {
  double Remaining = Allowance.Reserve;
  for (const slot &Slot : Slots)
    Remaining +=
        Share * static_cast<double>(Slot.FirstAttempts) - static_cast<double>(Slot.Retries);
  return Remaining;
}

bool retry_window::tryWithdraw(double Share, mono_time Now) {
  slot &Current = slotAt(Now);
  if (available(Share) < 1)
    return false;
  Current.Retries += 1;
  return true;
}

} // namespace pollenstall

/** @file retry_window.cpp Slots of a sliding window. */
#include "dispatch/retry_window_base.h"

namespace pollenstall {

namespace {

constexpr int SlotsPerWindow = 20;

} // namespace

retry_window::slot &retry_window::slotAt(mono_time Now) {
  const mono_duration Length = Allowance.Window / SlotsPerWindow;
  // One slot more than the window is kept, so that no span of its length is left out.
  while (!Slots.empty() && Slots.front().Begin + Allowance.Window + Length <= Now)
    Slots.pop_front();
  if (Slots.empty() || Slots.back().Begin + Length <= Now)
    Slots.push_back({Now});
  return Slots.back();
}

double retry_window::available(double Share) const {
  double Left = Allowance.Extra;
  for (const slot &Slot : Slots)
    Left += Share * static_cast<double>(Slot.Firsts) - static_cast<double>(Slot.Retries);
  return Left;
}

bool retry_window::spend(double Share, mono_time Now) {
  slot &Current = slotAt(Now);
  if (available(Share) < 1)
    return false;
  Current.Retries += 1;
  return true;
}

} // namespace pollenstall

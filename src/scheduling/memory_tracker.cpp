/** @file memory_tracker.cpp Reservations of KV cache memory, combined with load reports. */
#include "scheduling/memory_tracker_base.h"

#include <algorithm>

namespace pollenstall {

void memory_tracker::reserve(placement_id Placement, memory_blocks Needed) {
  const bool Added = Reservations.emplace(Placement, reservation{Needed, memory_blocks(0)}).second;
  requireInvariant(Added, "a placement reserves memory at most once");
  Reserved += Needed;
}

void memory_tracker::setHeldBlocks(placement_id Placement, memory_blocks Held) {
  const auto Found = Reservations.find(Placement);
  if (Found != Reservations.end())
    Found->second.Held = std::min(Held, Found->second.Needed);
}

void memory_tracker::release(placement_id Placement) {
  const auto Found = Reservations.find(Placement);
  if (Found == Reservations.end())
    return;
  Reserved -= Found->second.Needed;
  Reservations.erase(Found);
  requireInvariant(Reserved.value() >= 0, "reserved memory is never negative");
  requireInvariant(!Reservations.empty() || Reserved.value() == 0,
                   "reserved memory is zero without reservations");
}

void memory_tracker::applyReport(memory_blocks Used, memory_blocks PendingBlocks) {
  // Both figures include this host's own work. Only the part that the engine certainly holds is
  // subtracted. The rest may count twice for a short time, which delays work but never
  // overcommits the engine's memory.
  memory_blocks OwnHeld;
  for (const auto &[Placement, Reservation] : Reservations)
    OwnHeld += Reservation.Held;
  OthersAllocated = std::max(memory_blocks(0), Used + PendingBlocks - OwnHeld);
}

bool memory_tracker::canEverFit(memory_blocks Needed) const {
  return Capacity.value() == 0 || Needed <= Capacity;
}

bool memory_tracker::fits(memory_blocks Needed) const {
  return Capacity.value() == 0 || allocated() + Needed <= Capacity;
}

memory_blocks memory_tracker::allocated() const { return Reserved + OthersAllocated; }

} // namespace pollenstall

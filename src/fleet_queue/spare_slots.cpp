/** @file spare_slots.cpp Derives the free slots from the requests that are not seen yet. */
#include "fleet_queue/spare_slots_func.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {

namespace {

/// Two entries that meet at the last slot cost one of them the time until the engine's next slot.
constexpr double UnseenQuantile = 0.98;
/// With more, the mean is the better estimate and the sum below would be long.
constexpr double MaxMean = 50;

} // namespace

std::uint32_t unseenSlots(double UnseenPerEngine) {
  const double Mean = std::clamp(UnseenPerEngine, 0.0, MaxMean);
  double Probability = std::exp(-Mean); // Poisson.
  double Cumulated = Probability;
  std::uint32_t Slots = 0;
  while (Cumulated < UnseenQuantile) {
    ++Slots;
    Probability *= Mean / Slots;
    Cumulated += Probability;
  }
  return Slots;
}

std::uint32_t spareSlots(const std::vector<std::uint32_t> &FreeSlots, double Wanted,
                         std::uint32_t MaxSpare) {
  for (std::uint32_t Spare = MaxSpare; Spare > 0; --Spare) {
    double Usable = 0;
    for (const std::uint32_t Free : FreeSlots)
      Usable += Free > Spare ? Free - Spare : 0;
    if (Usable >= Wanted)
      return Spare;
  }
  return 0;
}

} // namespace pollenstall

/** @file admission.cpp Estimates of the start, and spread of returns. */
#include "fleet_queue/admission_func.h"

#include <algorithm>

namespace pollenstall {

namespace {

constexpr double MsPerSecond = 1e3;
/// Part of the freed slots that late requests get even if more requests in time arrive than slots
/// become free.
constexpr double LateFraction = 0.05;
/// A caller does not return after more than this part of its remaining time.
constexpr double MaxReturnFraction = 1.0 / 3;
/// Returns are spread over this part of the delay.
constexpr double SpreadFraction = 0.5;

} // namespace

std::optional<double> startDelayMs(const start_figures &Figures) {
  if (Figures.Ahead < Figures.FreeSlots)
    return 0.0;
  if (Figures.FreedPerSecond <= 0)
    return std::nullopt;
  const double Rate = std::max(Figures.FreedPerSecond - Figures.OvertakingPerSecond,
                               Figures.FreedPerSecond * LateFraction);
  return (Figures.Ahead - Figures.FreeSlots + 1) / Rate * MsPerSecond;
}

double returnDelayMs(double RoomMs, double RemainingMs, double Draw) {
  const double LatestMs = std::max(RemainingMs, 0.0) * MaxReturnFraction;
  const double EarliestMs = std::min(RoomMs, LatestMs * (1 - SpreadFraction));
  const double UntilMs = std::min(LatestMs, std::max(RoomMs * (1 + SpreadFraction), EarliestMs));
  return EarliestMs + (UntilMs - EarliestMs) * std::clamp(Draw, 0.0, 1.0);
}

} // namespace pollenstall

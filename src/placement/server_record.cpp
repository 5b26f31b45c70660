/** @file server_record.cpp Counts of failed attempts with a half-life, and the rest after one. */
#include "placement/server_record_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstall {

namespace {

/// Successes assumed before the first attempt. Without any, a single failure would make the
/// share 1.
constexpr double AssumedSuccesses = 1;
/// An error answer counts only if the server's share exceeds that of the others by this much. The
/// errors of one caller reach a server more often than the others by chance.
constexpr double ErrorMargin = 0.2;

} // namespace

double failedShare(const attempt_counts &Counts) {
  return Counts.Failures / (Counts.Attempts + AssumedSuccesses);
}

attempt_counts server_record::recent(const placement_tuning &Tuning, mono_time Now) const {
  const auto HalfLives =
      std::chrono::duration<double>(std::max(Now - CountsTime, mono_duration{})) /
      std::chrono::duration<double>(Tuning.RecordHalfLife);
  const double Weight = std::exp2(-HalfLives);
  return {Counts.Attempts * Weight, Counts.Failures * Weight};
}

void server_record::recordSuccess(const placement_tuning &Tuning, mono_time Now) {
  Counts = recent(Tuning, Now);
  Counts.Attempts += 1;
  CountsTime = Now;
  RestUntil = mono_time();
}

void server_record::recordFailure(server_fault Fault, bool WasCounted, double UsualShare,
                                  const placement_tuning &Tuning, mono_time Now) {
  Counts = recent(Tuning, Now);
  Counts.Attempts += WasCounted ? 0 : 1;
  Counts.Failures = std::min(Counts.Failures + 1, Counts.Attempts);
  CountsTime = Now;
  const double Usual = UsualShare + (Fault == server_fault::ErrorAnswer ? ErrorMargin : 0);
  const double Excess = failedShare(Counts) - Usual;
  if (Excess <= 0)
    return;
  // Excess / (1 - Usual) is the share that fails through the server itself. Its odds grow with each
  // failure of a server that takes nothing, and stay below 1 for one that takes most of its work.
  const double Odds = Excess / (1 - failedShare(Counts));
  const auto Rest =
      std::chrono::duration_cast<mono_duration>(Tuning.FailureRest * Odds * Odds * Odds);
  RestUntil = Now + std::min(Rest, Tuning.MaxFailureRest);
}

} // namespace pollenstall

/** @file server_speed.cpp Weighted median of the samples of a server's speed. */
#include "placement/server_speed_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pollenstall {

namespace {

/// Bounds the time until a server that has recovered is normal again: the weights of this many slow
/// samples fall below NormalWeight within four half-lives.
constexpr std::size_t MaxSamples = 16;
/// Weight of normal speed: less than two reports of gaps, or six first events.
constexpr double NormalWeight = 0.8;
/// Samples at fills that differ by less than this count for each other.
constexpr double FillTolerance = 0.15;
/// With normal samples of this weight at a fill or above it, slow ones of a higher fill do not
/// count.
constexpr double MinNormalHere = 0.3;
/// Samples of less weight together count as none.
constexpr double MinMeasuredWeight = 0.2;

struct weighted_value {
  double Value{1};
  double Weight{0};
};

double weightedMedian(std::vector<weighted_value> &Values) {
  std::sort(Values.begin(), Values.end(),
            [](const weighted_value &A, const weighted_value &B) { return A.Value < B.Value; });
  double Total = 0;
  for (const weighted_value &Each : Values)
    Total += Each.Weight;
  double Below = 0;
  for (const weighted_value &Each : Values) {
    Below += Each.Weight;
    if (Below * 2 >= Total)
      return Each.Value;
  }
  return 1;
}

bool isSlow(const speed_sample &Sample) { return Sample.Slowness >= server_speed::MinSlowness; }

double weightAt(const speed_sample &Sample, mono_duration HalfLife, mono_time Now) {
  const auto HalfLives =
      std::chrono::duration<double>(std::max(Now - Sample.Time, mono_duration::zero())) /
      std::chrono::duration<double>(HalfLife);
  return Sample.Weight * std::exp2(-HalfLives);
}

} // namespace

void server_speed::record(const speed_sample &Sample) {
  if (!std::isfinite(Sample.Slowness) || Sample.Slowness <= 0)
    return;
  if (Next == Samples.size())
    Samples.emplace_back();
  speed_sample &Slot = Samples[Next];
  SlowSamples -= isSlow(Slot) ? 1 : 0;
  Slot = Sample;
  Slot.Slowness = std::min(Sample.Slowness, MaxSlowness);
  SlowSamples += isSlow(Slot) ? 1 : 0;
  Next = (Next + 1) % MaxSamples;
}

double server_speed::slowness(double Fill, mono_duration HalfLife, mono_time Now) const {
  if (!mayBeSlow())
    return 1;
  std::vector<weighted_value> Values{{1, NormalWeight}};
  double NormalHere = 0;
  for (const speed_sample &Sample : Samples) {
    if (isSlow(Sample) || Sample.Fill < Fill - FillTolerance)
      continue;
    Values.push_back({Sample.Slowness, weightAt(Sample, HalfLife, Now)});
    NormalHere += Values.back().Weight;
  }
  for (const speed_sample &Sample : Samples)
    if (isSlow(Sample) && (NormalHere < MinNormalHere || Sample.Fill <= Fill + FillTolerance))
      Values.push_back({Sample.Slowness, weightAt(Sample, HalfLife, Now)});
  const double Median = weightedMedian(Values);
  return Median < MinSlowness ? 1 : Median;
}

std::optional<double> server_speed::measured(mono_duration HalfLife, mono_time Now) const {
  std::vector<weighted_value> Values;
  double Total = 0;
  for (const speed_sample &Sample : Samples) {
    Values.push_back({Sample.Slowness, weightAt(Sample, HalfLife, Now)});
    Total += Values.back().Weight;
  }
  if (Total < MinMeasuredWeight)
    return std::nullopt;
  return weightedMedian(Values);
}

} // namespace pollenstall

/** @file cost_model.cpp Bounded, outlier-resistant averages of prefill rate and step time. */
#include "scheduling/cost_model_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

constexpr double PriorRate = 8'000.0; ///< Tokens per second.
constexpr double MinRate = 50.0;
constexpr double MaxRate = 1'000'000.0;
constexpr double PriorStep = 0.03; ///< Seconds per token event.
constexpr double MinStep = 0.0005;
constexpr double MaxStep = 5.0;
constexpr double MinGain = 0.08; ///< Gain of a new sample once there are many samples.
constexpr double FullWeightTokens = 4'096.0;
constexpr double FullWeightEvents = 16.0;
constexpr double MinSeconds = 1e-6;
const double MaxMove = std::log(2.0);

double secondsOf(mono_duration Duration) { return std::chrono::duration<double>(Duration).count(); }

} // namespace

bounded_estimate::bounded_estimate(double Prior, double Lower, double Upper)
    : Minimum(Lower), Maximum(Upper), LogValue(std::log(std::clamp(Prior, Lower, Upper))) {}

void bounded_estimate::observe(double Sample, double Weight) {
  const double Share = std::clamp(Weight, 0.0, 1.0);
  if (Share <= 0.0 || std::isnan(Sample))
    return;
  const double Gain = std::max(MinGain, 1.0 / (2.0 + SampleWeight)) * Share;
  const double LogDistance = std::log(std::clamp(Sample, Minimum, Maximum)) - LogValue;
  LogValue += Gain * std::clamp(LogDistance, -2.0 * MaxMove, 2.0 * MaxMove);
  SampleWeight += Share;
}

void bounded_estimate::adoptPrior(double Prior) {
  if (SampleWeight <= 0.0)
    restart(Prior);
}

void bounded_estimate::restart(double Prior) {
  LogValue = std::log(std::clamp(Prior, Minimum, Maximum));
  SampleWeight = 0.0;
}

double bounded_estimate::value() const { return std::exp(LogValue); }

cost_model::cost_model() : Rate(PriorRate, MinRate, MaxRate), Step(PriorStep, MinStep, MaxStep) {}

void cost_model::observePrefill(double Tokens, mono_duration Elapsed) {
  const double Seconds = std::max(secondsOf(Elapsed) - secondsPerStep(), MinSeconds);
  Rate.observe(Tokens / Seconds, Tokens / FullWeightTokens);
}

void cost_model::observeSteps(std::uint64_t Events, mono_duration Elapsed) {
  if (Events == 0)
    return;
  const auto Count = static_cast<double>(Events);
  Step.observe(secondsOf(Elapsed) / Count, Count / FullWeightEvents);
}

} // namespace pollenstall

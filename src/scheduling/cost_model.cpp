/** @file cost_model.cpp Bounded, outlier-resistant averages of prefill rate and step time. */
#include "scheduling/cost_model_base.h"

#include <algorithm>
#include <cmath>

namespace pollenstall {
namespace {

constexpr double PriorRate = 8'000.0; ///< Tokens per second.
constexpr double LeastRate = 50.0;
constexpr double GreatestRate = 1'000'000.0;
constexpr double PriorStep = 0.03; ///< Seconds per token event.
constexpr double LeastStep = 0.0005;
constexpr double GreatestStep = 5.0;
constexpr double LeastGain = 0.08; ///< Weight of a new sample once there are many.
constexpr double FullWeightTokens = 4'096.0;
constexpr double FullWeightEvents = 16.0;
constexpr double LeastSeconds = 1e-6;
const double LargestMove = std::log(2.0);

double secondsOf(mono_duration Span) { return std::chrono::duration<double>(Span).count(); }

} // namespace

bounded_estimate::bounded_estimate(double Prior, double Lower, double Upper)
    : Least(Lower), Greatest(Upper), LogValue(std::log(std::clamp(Prior, Lower, Upper))) {}

void bounded_estimate::observe(double Sample, double Weight) {
  const double Share = std::clamp(Weight, 0.0, 1.0);
  if (Share <= 0.0 || std::isnan(Sample))
    return;
  const double Gain = std::max(LeastGain, 1.0 / (2.0 + SampleWeight)) * Share;
  const double Distance = std::log(std::clamp(Sample, Least, Greatest)) - LogValue;
  LogValue += Gain * std::clamp(Distance, -2.0 * LargestMove, 2.0 * LargestMove);
  SampleWeight += Share;
}

void bounded_estimate::adoptPrior(double Prior) {
  if (SampleWeight <= 0.0)
    restart(Prior);
}

void bounded_estimate::restart(double Prior) {
  LogValue = std::log(std::clamp(Prior, Least, Greatest));
  SampleWeight = 0.0;
}

double bounded_estimate::value() const { return std::exp(LogValue); }

cost_model::cost_model()
    : Rate(PriorRate, LeastRate, GreatestRate), Step(PriorStep, LeastStep, GreatestStep) {}

void cost_model::observePrefill(double Tokens, mono_duration Took) {
  const double Seconds = std::max(secondsOf(Took) - secondsPerStep(), LeastSeconds);
  Rate.observe(Tokens / Seconds, Tokens / FullWeightTokens);
}

void cost_model::observeSteps(std::uint64_t Events, mono_duration Took) {
  if (Events == 0)
    return;
  const auto Count = static_cast<double>(Events);
  Step.observe(secondsOf(Took) / Count, Count / FullWeightEvents);
}

} // namespace pollenstall

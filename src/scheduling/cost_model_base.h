/** @file cost_model_base.h Speed of one engine, learned from the durations of its attempts. */
#ifndef POLLENSTALL_SCHEDULING_COST_MODEL_BASE_H
#define POLLENSTALL_SCHEDULING_COST_MODEL_BASE_H

#include "core/core.h"

#include <cstdint>

namespace pollenstall {

/// Bounded estimate of a quantity: a moving average of its logarithm.
class bounded_estimate {
public:
  /**
   * @param Prior Initial estimate before the first sample.
   * @param Minimum Lower bound of the estimate and of each sample.
   * @param Maximum Upper bound of the estimate and of each sample.
   */
  bounded_estimate(double Prior, double Minimum, double Maximum);

  /**
   * Adds a sample. One sample changes the estimate by at most a factor of two, so that an outlier
   * cannot move all traffic to or from an engine.
   * @param Sample Value in the unit of the estimate.
   * @param Weight Reliability of the sample, from 0 to 1.
   */
  void observe(double Sample, double Weight);
  /// Replaces the prior if there is no sample yet.
  void adoptPrior(double Prior);
  /// Discards the samples and restarts from a prior.
  void restart(double Prior);

  [[nodiscard]] double value() const;
  /// Returns the sum of the sample weights.
  [[nodiscard]] double samples() const { return SampleWeight; }

private:
  double Minimum;
  double Maximum;
  double LogValue;
  double SampleWeight{0};
};

/// Learned prefill rate and decode step time of one engine. Its announcement contains neither.
class cost_model {
public:
  cost_model();

  /**
   * Records the arrival of the first token of an attempt.
   * @param Tokens Prompt tokens that the engine processed before that token: those of this attempt
   * and of the attempts estimated to be ahead of it.
   * @param Elapsed Time from placement to the first token.
   */
  void observePrefill(double Tokens, mono_duration Elapsed);
  /// Records further token events of an attempt.
  /// @param Elapsed Time since its previous event report.
  void observeSteps(std::uint64_t Events, mono_duration Elapsed);
  /// Uses the median rate of the peers as prior if the engine has no samples yet.
  void adoptPeerRate(double TokensPerSecond) { Rate.adoptPrior(TokensPerSecond); }
  /// Discards the learned rate, for a server that is admitted again after an ejection. Currently
  /// without a caller.
  void restart(double TokensPerSecond) { Rate.restart(TokensPerSecond); }

  /// Returns the prefill rate in tokens per second.
  [[nodiscard]] double prefillRate() const { return Rate.value(); }
  /// Returns the seconds per token event while decoding.
  [[nodiscard]] double secondsPerStep() const { return Step.value(); }
  [[nodiscard]] double prefillSamples() const { return Rate.samples(); }

private:
  bounded_estimate Rate;
  bounded_estimate Step;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_COST_MODEL_BASE_H

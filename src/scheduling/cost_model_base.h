/** @file cost_model_base.h How fast one engine works, learnt from what its attempts took. */
#ifndef POLLENSTALL_SCHEDULING_COST_MODEL_BASE_H
#define POLLENSTALL_SCHEDULING_COST_MODEL_BASE_H

#include "core/core.h"

#include <cstdint>

namespace pollenstall {

/// A quantity learnt as a moving average of its logarithm, kept between two bounds.
class bounded_estimate {
public:
  /**
   * @param Prior What is assumed before the first sample.
   * @param Least Lower bound of the estimate and of each sample.
   * @param Greatest Upper bound.
   */
  bounded_estimate(double Prior, double Least, double Greatest);

  /**
   * Takes a sample in. One sample moves the estimate by at most a factor of two, so an outlier
   * cannot turn traffic away from an engine or onto it.
   * @param Sample In the estimate's own unit.
   * @param Weight From 0 to 1: how much the sample tells.
   */
  void observe(double Sample, double Weight);
  /// Replaces a prior that no sample has touched yet.
  void adoptPrior(double Prior);
  /// Forgets the samples and starts again from a prior.
  void restart(double Prior);

  [[nodiscard]] double value() const;
  [[nodiscard]] double samples() const { return SampleWeight; } ///< Sum of the weights.

private:
  double Least;
  double Greatest;
  double LogValue;
  double SampleWeight{0};
};

/// Prefill rate and step time of one engine; neither is known when it announces itself.
class cost_model {
public:
  cost_model();

  /**
   * An attempt's first token came.
   * @param Tokens Prompt tokens that the engine had to process until then, of this attempt and of
   * those believed to be ahead of it.
   * @param Took From placement to the first token.
   */
  void observePrefill(double Tokens, mono_duration Took);
  /// Further token events of one attempt came. @param Took Since the last such report.
  void observeSteps(std::uint64_t Events, mono_duration Took);
  /// Takes the median rate of its peers as prior while it has no samples of its own.
  void adoptPeerRate(double TokensPerSecond) { Rate.adoptPrior(TokensPerSecond); }
  /// Forgets what was learnt; used when a server that was set aside comes back.
  void restart(double TokensPerSecond) { Rate.restart(TokensPerSecond); }

  [[nodiscard]] double prefillRate() const { return Rate.value(); }    ///< Tokens per second.
  [[nodiscard]] double secondsPerStep() const { return Step.value(); } ///< Per token event.
  [[nodiscard]] double prefillSamples() const { return Rate.samples(); }

private:
  bounded_estimate Rate;
  bounded_estimate Step;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_COST_MODEL_BASE_H

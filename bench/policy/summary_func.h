/** @file summary_func.h Computes percentiles, goodput and refusals of runs and prints them as JSON
 * lines. */
#ifndef POLLENSTALL_BENCH_POLICY_SUMMARY_FUNC_H
#define POLLENSTALL_BENCH_POLICY_SUMMARY_FUNC_H

#include "simulation_base.h"

#include <array>
#include <string>
#include <vector>

namespace pollenstall::bench {

/// Times to first token of one length class in seconds. A request without a token counts with its
/// time limit.
struct class_summary {
  std::size_t Count{0};
  double P50{0};
  double P95{0};
  double P99{0};
  double Maximum{0};
  std::size_t NotServed{0}; ///< Refused, expired, timed out or failed.
};

/// Results of one scenario with one policy.
struct run_summary {
  std::array<class_summary, LengthClassCount> Classes;
  double Goodput{0}; ///< Engine seconds of requests completed in time, per second and engine.
  double GoodRequestRate{0}; ///< Requests completed in time, per second.
  /// Fraction of each account's cost that was served in time, without requests that are too large.
  std::array<double, AccountCount> AccountServed{};
  std::size_t Counted{0};
  std::size_t Refused{0};  ///< Refused when they were submitted.
  std::size_t Expired{0};  ///< Expired while they waited at the entry.
  std::size_t TimedOut{0}; ///< Timed out after they had been placed.
  std::size_t Failed{0};
  std::size_t TooLarge{0};
  /// Mean fraction of the time limit at which requests were refused or expired.
  double RefusedAfterFraction{0};
};

/// Runs a scenario with a policy and several seeds and summarizes all requests.
run_summary runScenario(run_settings Run, const routing_policy &Policy, std::size_t Seeds);

/// Returns the summary as one JSON line.
std::string toJson(const run_settings &Run, const std::string &Policy, const run_summary &Summary);

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_SUMMARY_FUNC_H

/** @file summary_func.h Percentiles, goodput and refusals of runs, as JSON lines. */
#ifndef POLLENSTALL_BENCH_POLICY_SUMMARY_FUNC_H
#define POLLENSTALL_BENCH_POLICY_SUMMARY_FUNC_H

#include "simulation_base.h"

#include <array>
#include <string>
#include <vector>

namespace pollenstall::bench {

/// Times to first token of one class, in seconds. A request that got none counts at its limit.
struct class_summary {
  std::size_t Count{0};
  double P50{0};
  double P95{0};
  double P99{0};
  double Longest{0};
  std::size_t NotServed{0}; ///< Refused, expired, out of time or failed.
};

/// What is reported of a scenario under a policy.
struct run_summary {
  std::array<class_summary, LengthClassCount> Classes;
  double Goodput{0}; ///< Engine seconds a second of requests that completed in time, per engine.
  double GoodRequests{0}; ///< Of these, requests a second.
  /// Part of each account's cost that was served in time, of what could fit.
  std::array<double, Accounts> AccountServed{};
  std::size_t Counted{0};
  std::size_t Refused{0};  ///< At once.
  std::size_t Expired{0};  ///< While they waited at the entry.
  std::size_t TimedOut{0}; ///< After they had been placed.
  std::size_t Failed{0};
  std::size_t TooLarge{0};
  double RefusedAfter{0}; ///< Mean part of its time limit after which one was refused or expired.
};

/// Runs a scenario under a policy with several seeds and puts the requests together.
run_summary runScenario(run_settings Run, const named_policy &Policy, std::size_t Seeds);

/// @return One JSON line.
std::string jsonOf(const run_settings &Run, const std::string &Policy, const run_summary &Summary);

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_SUMMARY_FUNC_H

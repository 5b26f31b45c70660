/** @file run_summary_func.h Summaries of simulated runs by kind of request. */
#ifndef POLLENSTALL_FLEET_MODEL_RUN_SUMMARY_FUNC_H
#define POLLENSTALL_FLEET_MODEL_RUN_SUMMARY_FUNC_H

#include "fleet_model/fleet_run_base.h"

#include <string>
#include <vector>

namespace pollenstall {

/// Summary of the requests of a kind. On time: the first event is within the target and no gap
/// exceeds GapMs.
struct kind_summary {
  std::size_t Count{0};
  std::size_t OnTime{0};
  std::size_t Late{0};
  std::size_t Unserved{0};      ///< Without a complete answer.
  std::size_t Refusals{0};      ///< Includes those of requests that were served after a retry.
  std::size_t LargestCount{0};  ///< Number of requests in the tenth with the longest prompts.
  std::size_t LargestServed{0}; ///< Number of these with a complete answer.
  double Worth{0};              ///< Fraction of the worth if all were on time.
  double P50Ms{0};              ///< Time to the first event; the timeout if there was none.
  double P95Ms{0};
  double P99Ms{0};
};

/// Summary of all runs of a load with a policy.
struct run_summary {
  std::string Policy;
  std::vector<kind_summary> Kinds; ///< In the order of the load file.
  double Worth{0};                 ///< Fraction of the worth if all requests were on time.
  engine_time EngineTime;          ///< Fractions of the time of all engines.
  report_traffic MedianTraffic;    ///< Median of each figure over the entries of the first run.
  report_traffic MaxTraffic;       ///< Maximum of each figure over the entries of the first run.
};

/// Simulates a load with seeds FirstSeed, FirstSeed + 1 and so on, and combines the requests.
run_summary simulateLoad(const model_load &Load, const named_model_policy &Policy,
                         std::uint64_t FirstSeed, std::size_t Runs);

/// @return The summary as a JSON object.
std::string toJson(const model_load &Load, const run_summary &Summary);

/// @return Rows of a cumulative plot: kind, time to the first event in ms, fraction of the requests
/// of the kind with at most this time.
std::string plotRows(const model_load &Load, const std::vector<request_record> &Records);

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_RUN_SUMMARY_FUNC_H

/** @file run_summary_func.h What runs of the fleet model amount to, by kind of request. */
#ifndef POLLENSTALL_FLEET_MODEL_RUN_SUMMARY_FUNC_H
#define POLLENSTALL_FLEET_MODEL_RUN_SUMMARY_FUNC_H

#include "fleet_model/fleet_run_base.h"

#include <string>
#include <vector>

namespace pollenstall {

/// Requests of one kind. On time: first event within the target, no gap over the declared one.
struct kind_summary {
  std::size_t Count{0};
  std::size_t OnTime{0};
  std::size_t Late{0};
  std::size_t Unserved{0};      ///< Without a whole answer.
  std::size_t Refusals{0};      ///< Also of requests that came back and were served.
  std::size_t LargestCount{0};  ///< The tenth with the longest prompts.
  std::size_t LargestServed{0}; ///< Of these, with a whole answer.
  double Worth{0};              ///< Part of what all of them on time would be worth.
  double P50Ms{0};              ///< To the first event; unserved ones count at their time limit.
  double P95Ms{0};
  double P99Ms{0};
};

/// All runs of a load under one policy.
struct run_summary {
  std::string Policy;
  std::vector<kind_summary> Kinds; ///< In the order of the load.
  double Worth{0};                 ///< Part of what all requests on time would be worth.
  engine_time Spent;               ///< Parts of all engines' time.
  report_traffic MedianTraffic;    ///< Of the first run, of the entry in the middle by each figure.
  report_traffic MostTraffic;      ///< The same of the entry that has most.
};

/// Plays a load with seeds First, First + 1 and so on, and puts the requests together.
run_summary playLoad(const model_load &Load, const named_model_policy &Policy, std::uint64_t First,
                     std::size_t Seeds);

/// @return One JSON object.
std::string toJson(const model_load &Load, const run_summary &Summary);

/// @return Rows for a plot: kind, time to the first event in ms, part of the requests by then.
std::string plotRows(const model_load &Load, const std::vector<request_record> &Records);

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_RUN_SUMMARY_FUNC_H

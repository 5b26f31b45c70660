/** @file load_bound_func.h Bounds on the metrics of a load report. */
#ifndef POLLENSTALL_LOAD_LOAD_BOUND_FUNC_H
#define POLLENSTALL_LOAD_LOAD_BOUND_FUNC_H

#include <map>
#include <optional>
#include <string>

namespace pollenstall {

/// Metrics by name, for example "short.ttft_p99_ms" or "outcome.wrong".
using load_metrics = std::map<std::string, double>;

/// A bound on a metric, such as "short.ttft_p99_ms<=50" or "outcome.complete>=100".
struct load_bound {
  std::string Metric;
  bool AtMost{true};
  double Limit{0};
};

/// @return The parsed bound, or nothing if the text is invalid.
std::optional<load_bound> parseBound(const std::string &Text);

/// @return Whether the metrics are within the bound; false if its metric was not measured.
bool boundHolds(const load_bound &Bound, const load_metrics &Metrics);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_BOUND_FUNC_H

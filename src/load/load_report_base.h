/** @file load_report_base.h Counts and percentiles of a run. */
#ifndef POLLENSTALL_LOAD_LOAD_REPORT_BASE_H
#define POLLENSTALL_LOAD_LOAD_REPORT_BASE_H

#include "load/load_bound_func.h"
#include "load/load_type.h"

#include <chrono>
#include <string>
#include <vector>

namespace pollenstall {

/// Gathers samples; the metrics' names are "<class>.<figure>", "all.<figure>" and
/// "outcome.<name>".
class load_report {
public:
  explicit load_report(std::vector<std::string> ClassNames) : Classes(std::move(ClassNames)) {}

  void add(const load_sample &Sample) { Samples.push_back(Sample); }
  void add(const load_report &Other);

  /// @param Elapsed From the first arrival to the last answer.
  [[nodiscard]] load_metrics metrics(std::chrono::nanoseconds Elapsed) const;

private:
  void addClass(load_metrics &Metrics, const std::string &Name,
                const std::vector<const load_sample *> &Of) const;

  std::vector<std::string> Classes;
  std::vector<load_sample> Samples;
};

/// @return The report as one JSON object: metrics, and of each bound whether it holds.
std::string reportJson(const load_metrics &Metrics, const std::vector<std::string> &Bounds);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_REPORT_BASE_H

/** @file load_report_base.h Collects samples of a run and computes counts and percentiles. */
#ifndef POLLENSTALL_LOAD_LOAD_REPORT_BASE_H
#define POLLENSTALL_LOAD_LOAD_REPORT_BASE_H

#include "load/load_bound_func.h"
#include "load/load_type.h"

#include <chrono>
#include <string>
#include <vector>

namespace pollenstall {

/// Collects samples. Metrics are named "<class>.<metric>", "all.<metric>", "outcome.<name>" and
/// "status.<code>", besides those of the whole run.
class load_report {
public:
  explicit load_report(std::vector<std::string> ClassNames) : Classes(std::move(ClassNames)) {}

  void add(const load_sample &Sample) { Samples.push_back(Sample); }
  void add(const load_report &Other);

  /// @param Elapsed Time from the start of the run to the end of its last request.
  [[nodiscard]] load_metrics metrics(std::chrono::nanoseconds Elapsed) const;

private:
  void addClass(load_metrics &Metrics, const std::string &Name,
                const std::vector<const load_sample *> &ClassSamples) const;

  std::vector<std::string> Classes;
  std::vector<load_sample> Samples;
};

/// @return The report as a JSON object: the metrics, and for each bound whether it holds.
std::string reportJson(const load_metrics &Metrics, const std::vector<std::string> &Bounds);

} // namespace pollenstall

#endif // POLLENSTALL_LOAD_LOAD_REPORT_BASE_H

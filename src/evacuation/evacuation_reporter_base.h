/** @file evacuation_reporter_base.h Decides when a list in use is reported. */
#ifndef POLLENSTALL_EVACUATION_EVACUATION_REPORTER_BASE_H
#define POLLENSTALL_EVACUATION_EVACUATION_REPORTER_BASE_H

#include "core/core.h"
#include "evacuation/evacuation_type.h"

#include <chrono>
#include <optional>

namespace pollenstall {

/// A new version is reported at once, another number of requests at most once per second.
class evacuation_reporter {
public:
  static constexpr mono_duration Interval = std::chrono::seconds(1);

  /// @return Whether the requests are to be counted now.
  [[nodiscard]] bool mayReport(std::uint64_t Version, mono_time Now) const {
    return !Last || Last->Version != Version || Now - ReportedAt >= Interval;
  }
  /// @return Whether this differs from the last report.
  [[nodiscard]] bool isNews(const evacuations_in_use &Report) const { return Last != Report; }
  void recordReport(const evacuations_in_use &Report, mono_time Now) {
    Last = Report;
    ReportedAt = Now;
  }

private:
  std::optional<evacuations_in_use> Last;
  mono_time ReportedAt;
};

} // namespace pollenstall

#endif // POLLENSTALL_EVACUATION_EVACUATION_REPORTER_BASE_H

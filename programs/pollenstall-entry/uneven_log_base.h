/** @file uneven_log_base.h Gauges and log events of slow and failing backend servers. */
#ifndef POLLENSTALL_ENTRY_UNEVEN_LOG_BASE_H
#define POLLENSTALL_ENTRY_UNEVEN_LOG_BASE_H

#include "placement/placement_type.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
#include <vector>

namespace pollenstall {

/// Tells operators of servers that begin or cease to be slow or failing.
class uneven_log {
public:
  explicit uneven_log(prometheus::Registry &Registry);

  /// Returns whether the next report is due.
  [[nodiscard]] bool isDue(mono_time Now) const { return Now >= NextReport; }
  /// @param Servers All that are slow or failing now.
  void report(const std::vector<uneven_server> &Servers, mono_time Now);

private:
  prometheus::Gauge &SlowGauge;
  prometheus::Gauge &FailingGauge;
  std::map<backend_key, uneven_server> Known; ///< As of the last report.
  mono_time NextReport;
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_UNEVEN_LOG_BASE_H

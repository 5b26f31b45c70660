/** @file evacuation_metrics_base.h Metrics of evacuated failure domains. */
#ifndef POLLENSTALL_ENTRY_EVACUATION_METRICS_BASE_H
#define POLLENSTALL_ENTRY_EVACUATION_METRICS_BASE_H

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace pollenstall {

/// Set by the decision thread. The relay counts the placements that it gives up itself.
struct evacuation_metrics {
  explicit evacuation_metrics(prometheus::Registry &Registry);

  prometheus::Gauge &Domains;
  prometheus::Gauge &Requests;
  prometheus::Counter &AbandonedClaims;
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_EVACUATION_METRICS_BASE_H

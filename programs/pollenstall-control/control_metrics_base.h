/** @file control_metrics_base.h What a control host counts. */
#ifndef POLLENSTALL_CONTROL_CONTROL_METRICS_BASE_H
#define POLLENSTALL_CONTROL_CONTROL_METRICS_BASE_H

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace pollenstall {

/// Metrics under one registry; the references stay valid for its life.
class control_metrics {
public:
  control_metrics();

  [[nodiscard]] std::shared_ptr<prometheus::Registry> registry() const { return Registry; }

private:
  prometheus::Counter &counter(const std::string &Name, const std::string &Help);
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help);
  prometheus::Histogram &seconds(const std::string &Name, const std::string &Help);

  std::shared_ptr<prometheus::Registry> Registry;

public:
  prometheus::Gauge &Leads; ///< 1 while this host leads and holds its lease.
  prometheus::Gauge &Term;
  prometheus::Gauge &Revision; ///< Of the declaration applied here.
  prometheus::Gauge &Commit;
  prometheus::Gauge &Entries;   ///< Connections of entries.
  prometheus::Counter &Applied; ///< Commands carried out.
  prometheus::Counter &PeerGarbage;
  prometheus::Counter &EntryGarbage;
  prometheus::Counter &PeerDropped;
  prometheus::Histogram &Sync;    ///< Making a batch durable.
  prometheus::Histogram &InForce; ///< From acceptance to in force everywhere.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_METRICS_BASE_H

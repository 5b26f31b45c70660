/** @file control_metrics_base.h Metrics of a control host. */
#ifndef POLLENSTALL_CONTROL_CONTROL_METRICS_BASE_H
#define POLLENSTALL_CONTROL_CONTROL_METRICS_BASE_H

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace pollenstall {

/// Metrics in one registry. The references stay valid as long as the registry exists.
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
  prometheus::Counter &Applied; ///< Applied commands.
  prometheus::Counter &PeerUndecodable;
  prometheus::Counter &EntryUndecodable;
  prometheus::Counter &PeerDropped;
  prometheus::Histogram &Sync;     ///< Time to make a batch durable.
  prometheus::Histogram &InForce;  ///< Time from acceptance until in force everywhere.
  prometheus::Gauge &ToleranceMet; ///< 1 if this host leads and all tolerated losses are survived.
  prometheus::Gauge &Evacuated;    ///< Evacuated failure domains.
  prometheus::Histogram &EvacuationAcknowledged; ///< Time from acceptance to acknowledgement.
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_METRICS_BASE_H

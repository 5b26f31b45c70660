/** @file control_metrics.cpp Names of a control host's metrics. */
#include "control_metrics_base.h"

namespace pollenstall {

namespace {

const prometheus::Histogram::BucketBoundaries SecondBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

} // namespace

prometheus::Counter &control_metrics::counter(const std::string &Name, const std::string &Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(*Registry).Add({});
}

prometheus::Gauge &control_metrics::gauge(const std::string &Name, const std::string &Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(*Registry).Add({});
}

prometheus::Histogram &control_metrics::seconds(const std::string &Name, const std::string &Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(*Registry).Add({},
                                                                                    SecondBuckets);
}

control_metrics::control_metrics()
    : Registry(std::make_shared<prometheus::Registry>()),
      Leads(gauge("pollenstall_control_leads", "1 while this host leads and holds its lease")),
      Term(gauge("pollenstall_control_term", "Term of the replicated log")),
      Revision(gauge("pollenstall_control_revision", "Revision of the declaration applied here")),
      Commit(gauge("pollenstall_control_commit_index", "Highest committed entry known here")),
      Entries(gauge("pollenstall_control_entry_connections", "Connections of entries")),
      Applied(counter("pollenstall_control_applied_total", "Commands applied")),
      PeerUndecodable(counter("pollenstall_control_peer_garbage_total",
                              "Messages from peers that failed to decode")),
      EntryUndecodable(counter("pollenstall_control_entry_garbage_total",
                               "Messages from entries that failed to decode")),
      PeerDropped(counter(
          "pollenstall_control_peer_dropped_total",
          "Messages to or from peers dropped since a queue was full or no connection was open")),
      Sync(seconds("pollenstall_control_sync_seconds",
                   "Time to make a batch of log entries durable")),
      InForce(seconds("pollenstall_control_in_force_seconds",
                      "From the acceptance of a change until it is in force everywhere")),
      ToleranceMet(gauge("pollenstall_control_tolerance_met",
                         "1 while this host leads and the voters survive all tolerated losses")),
      Evacuated(gauge("pollenstall_control_evacuated_domains", "Evacuated failure domains")),
      EvacuationAcknowledged(
          seconds("pollenstall_control_evacuation_seconds",
                  "From the acceptance of an evacuation or restoration to its acknowledgement")) {}

} // namespace pollenstall

/** @file model_load_type.h Parameters of a simulated load. */
#ifndef POLLENSTALL_FLEET_MODEL_MODEL_LOAD_TYPE_H
#define POLLENSTALL_FLEET_MODEL_MODEL_LOAD_TYPE_H

#include "declaration/declaration_type.h"
#include "placement/placement_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pollenstall {

/// Log-normal distribution of sizes, clamped to a limit.
struct size_spread {
  double Mean{1};
  double Spread{0}; ///< Standard deviation of the logarithm.
  double Limit{1e9};
};

/// A kind of request. Names that end in Ms are in milliseconds.
struct request_kind {
  std::string Name;
  double PerSecond{1}; ///< Mean rate of arrivals.
  size_spread Prompt;  ///< Tokens.
  size_spread Events;  ///< Events of the answer.
  double TargetMs{1'000};
  double GapMs{1'000};
  double TimeoutMs{10'000};
  /// Time without a first event after which a caller leaves; it retries once. 0 waits for the
  /// timeout.
  double PatienceMs{0};
  std::uint32_t Urgency{0};
  double Worth{1};     ///< Worth of a request of mean size that is answered on time.
  double LateWorth{0}; ///< Worth of such a request that is answered late.
};

/// A period with a changed arrival rate.
struct load_phase {
  std::string Kind; ///< Kind of request; empty for all.
  double From{0};   ///< Seconds.
  double Until{0};  ///< Seconds.
  double Factor{1}; ///< Multiplier of the rate.
};

/// An outage of engines, which breaks the requests that run on them.
struct engine_outage {
  double StartSeconds{0};
  double DurationSeconds{0};
  double Share{0}; ///< Fraction of all engines.
};

/// Engines whose passes take longer than declared.
struct slow_engines {
  std::size_t Count{1}; ///< Spread evenly over all engines.
  double Factor{4};
  double FromFill{0}; ///< They are slow only from this fill on; see engine_model::fill().
  double FromSeconds{0};
  double UntilSeconds{1e9};
};

/// An outage of entries, whose callers retry at other entries at once.
struct entry_outage {
  double StartSeconds{0};
  double DurationSeconds{0};
  std::size_t Count{1}; ///< Number of entries.
};

/// Entries whose connections to engines run through other entries.
struct carried_entries {
  double Share{0};     ///< Fraction of all entries, the first ones.
  double ConnectMs{0}; ///< Time to make a connection, in addition to HostDelayMs.
};

/// Entries, engines and callers of a simulated run.
struct model_load {
  std::string Name;
  double Seconds{60};
  std::size_t Entries{8};
  std::size_t Engines{18};
  std::size_t FailureDomains{3}; ///< Number of failure domains of the entries.
  double ReportDelayMs{0};   ///< Time until a work report is processed, in addition to HostDelayMs.
  double ReportLoss{0};      ///< Fraction of work reports that are lost.
  double HostDelayMs{0.5};   ///< One way, between hosts, and between entries and engines.
  double CallerDelayMs{1.0}; ///< One way, between callers and entries.
  /// Probability that a refused caller retries. It retries once, after the suggested delay.
  double RetryProbability{1.0};
  engine_profile Engine;
  double TokensPerEvent{51};
  std::vector<request_kind> Kinds;
  std::vector<load_phase> Phases;
  std::vector<engine_outage> EngineOutages;
  std::vector<entry_outage> EntryOutages;
  std::vector<slow_engines> SlowEngines;
  carried_entries Carried;
  placement_tuning Tuning;
};

} // namespace pollenstall

#endif // POLLENSTALL_FLEET_MODEL_MODEL_LOAD_TYPE_H

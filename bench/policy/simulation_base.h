/** @file simulation_base.h Simulates entries, engines and callers on a virtual clock. */
#ifndef POLLENSTALL_BENCH_POLICY_SIMULATION_BASE_H
#define POLLENSTALL_BENCH_POLICY_SIMULATION_BASE_H

#include "entry_policy_type.h"
#include "sim_engine_base.h"

#include <queue>

namespace pollenstall::bench {

/// The outcome of a request.
enum class sim_outcome : std::uint8_t { Open, Done, Refused, Expired, TimedOut, Failed, TooLarge };

/// The record of one request.
struct sim_record {
  sim_request Request;
  sim_outcome Outcome{sim_outcome::Open};
  double FirstToken{-1}; ///< Seconds after arrival; negative if there was no token.
  double Ended{0};       ///< Seconds after arrival.
  double RetryAfter{0};  ///< Retry delay in seconds if the request was refused.
};

/// Runs one workload with one policy.
class simulation {
public:
  simulation(const run_settings &InitialSettings, const routing_policy &Policy);
  std::vector<sim_record> run();

private:
  enum class event_kind : std::uint8_t {
    Arrival,
    StepEnd,
    Report,
    DeliverReport,
    Wake,
    TimeLimit,
    ApplyDisturbance,
    MarkLost,
  };
  struct event {
    double Time{0};
    std::uint64_t Order{0};
    event_kind Kind{event_kind::Arrival};
    std::size_t Index{0};
    std::uint64_t Incarnation{0}; ///< For StepEnd: the event is stale if the engine was lost since.

    bool operator>(const event &Other) const {
      return Time != Other.Time ? Time > Other.Time : Order > Other.Order;
    }
  };
  struct engine_state {
    sim_engine Engine;
    backend_view View;
    bool Lost{false};
    std::uint64_t Incarnation{0};
  };
  struct attempt_state {
    std::size_t Request{0};
    std::size_t Engine{0};
    attempt_id Id;
    std::uint64_t UnreportedEvents{0}; ///< Token events since the last report to the entry.
    std::int64_t Cached{0};            ///< Prompt tokens found in the engine's prefix cache.
  };
  struct entry_state {
    entry_policy Policy;
    double WakeAt{-1};
  };

  void push(double Time, event_kind Kind, std::size_t Index, std::uint64_t Incarnation = 0);
  void handle(const event &Event);
  void arrive(std::size_t Request);
  void submit(std::size_t Request);
  void pollEntry(std::size_t Entry);
  void startAttempt(std::size_t Request, const work_placement &Placement);
  void stepEngine(std::size_t Engine);
  void finishStep(std::size_t Engine);
  void reportLoad(std::size_t Engine);
  void deliverReport(std::size_t Report);
  void expireRequest(std::size_t Request);
  void applyDisturbance(const disturbance &Change);
  void failAttempt(std::size_t Attempt, attempt_failure Failure);
  void end(std::size_t Request, sim_outcome Outcome);
  [[nodiscard]] mono_time now() const;
  [[nodiscard]] work_item makeWorkItem(std::size_t Request) const;
  [[nodiscard]] std::size_t engineIndex(const backend_key &Key) const;

  run_settings Settings;
  double Time{0};
  std::uint64_t NextSequence{0};
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<sim_record> Records;
  std::vector<engine_state> Engines;
  std::map<backend_key, std::size_t> EngineNumbers;
  std::vector<entry_state> Entries;
  std::vector<attempt_state> Attempts;
  std::map<std::size_t, std::size_t> RunningAttempts; ///< Running attempt by request.
  std::vector<std::vector<backend_key>> Avoid;
  std::vector<backend_view> Reports;
};

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_SIMULATION_BASE_H

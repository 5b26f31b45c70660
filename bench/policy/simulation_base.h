/** @file simulation_base.h One run: entries, engines and callers on a virtual clock. */
#ifndef POLLENSTALL_BENCH_POLICY_SIMULATION_BASE_H
#define POLLENSTALL_BENCH_POLICY_SIMULATION_BASE_H

#include "entry_policy_type.h"
#include "sim_engine_base.h"

#include <queue>

namespace pollenstall::bench {

/// How a request ended.
enum class sim_outcome : std::uint8_t { Open, Done, Refused, Expired, TimedOut, Failed, TooLarge };

/// What is recorded of a request.
struct sim_record {
  sim_request Request;
  sim_outcome Outcome{sim_outcome::Open};
  double FirstToken{-1}; ///< Seconds after arrival; negative where there was none.
  double Ended{0};       ///< Seconds after arrival.
  double RetryAfter{0};  ///< Seconds, where it was refused.
};

/// Runs one workload under one policy.
class simulation {
public:
  simulation(const run_settings &Settings, const named_policy &Policy);
  std::vector<sim_record> run();

private:
  enum class event_kind : std::uint8_t {
    Arrival,
    StepEnd,
    Report,
    Deliver,
    Wake,
    TimeLimit,
    Disturb,
    MarkLost,
  };
  struct event {
    double Time{0};
    std::uint64_t Order{0};
    event_kind Kind{event_kind::Arrival};
    std::size_t Index{0};
    std::uint64_t Incarnation{0}; ///< Of a step: outdated where the engine was lost meanwhile.

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
    std::uint64_t Unreported{0}; ///< Token events since the entry was last told.
    std::int64_t Cached{0};      ///< Prompt tokens found in the engine's cache.
  };
  struct entry_state {
    entry_policy Policy;
    double WakeAt{-1};
  };

  void push(double Time, event_kind Kind, std::size_t Index, std::uint64_t Incarnation = 0);
  void handle(const event &Event);
  void arrive(std::size_t Request);
  void submit(std::size_t Request);
  void pump(std::size_t Entry);
  void startAttempt(std::size_t Request, const work_placement &Placement);
  void stepEngine(std::size_t Engine);
  void finishStep(std::size_t Engine);
  void report(std::size_t Engine);
  void deliver(std::size_t Report);
  void passLimit(std::size_t Request);
  void disturb(const disturbance &Change);
  void failAttempt(std::size_t Attempt, attempt_failure Failure);
  void end(std::size_t Request, sim_outcome Outcome);
  [[nodiscard]] mono_time now() const;
  [[nodiscard]] work_item itemOf(std::size_t Request) const;
  [[nodiscard]] std::size_t engineOf(const backend_key &Key) const;

  run_settings Settings;
  double Time{0};
  std::uint64_t NextOrder{0};
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<sim_record> Records;
  std::vector<engine_state> Engines;
  std::map<backend_key, std::size_t> EngineNumbers;
  std::vector<entry_state> Entries;
  std::vector<attempt_state> Attempts;
  std::map<std::size_t, std::size_t> Current; ///< Request to its running attempt.
  std::vector<std::vector<backend_key>> Avoid;
  std::vector<backend_view> Reports;
};

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_SIMULATION_BASE_H

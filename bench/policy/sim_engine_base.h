/** @file sim_engine_base.h Simulates one engine with continuous batching and chunked prefill. */
#ifndef POLLENSTALL_BENCH_POLICY_SIM_ENGINE_BASE_H
#define POLLENSTALL_BENCH_POLICY_SIM_ENGINE_BASE_H

#include "workload_type.h"

#include <cstdint>
#include <list>
#include <map>
#include <vector>

namespace pollenstall::bench {

/// One attempt in the engine.
struct sim_job {
  std::size_t Number{0}; ///< Index of the attempt in the run.
  std::int64_t Prompt{0};
  std::int64_t Answer{0};
  std::int64_t AnswerLimit{0};
  std::uint64_t Prefix{0};
  std::int64_t PrefixTokens{0};
  std::uint32_t Priority{0};
};

/// Attempts that got a first token, got a further token or completed in one step.
struct step_outcome {
  std::vector<std::size_t> FirstTokens;
  std::vector<std::size_t> FurtherTokens;
  std::vector<std::size_t> Completed;
};

/// Runs steps that the caller schedules: beginStep() returns the duration of a step, endStep() its
/// result.
class sim_engine {
public:
  explicit sim_engine(const engine_settings &InitialSettings) : Settings(InitialSettings) {}

  void enqueue(const sim_job &Job);
  void cancel(std::size_t Number);
  /// Removes all running and waiting jobs and aborts the current step. @return Their attempts.
  std::vector<std::size_t> removeAllJobs();
  void setSlowdown(double Factor) { Slowdown = Factor; }

  /// Returns whether there are jobs and no step is running.
  [[nodiscard]] bool canStart() const { return !Stepping && !(Running.empty() && Waiting.empty()); }
  /// Starts a step. @return Its duration in seconds.
  double beginStep();
  step_outcome endStep();
  [[nodiscard]] backend_load load() const;
  /// Returns the sequence number of the next load report.
  std::uint64_t nextReportSequence() { return ++ReportCount; }
  /// Returns the number of prompt tokens of a running attempt that were in the prefix cache.
  [[nodiscard]] std::int64_t cachedTokens(std::size_t Number) const;

private:
  struct active_job {
    sim_job Job;
    std::uint64_t ArrivalNumber{0};
    std::int64_t CachedTokens{0};
    std::int64_t RemainingPrompt{0}; ///< Prompt tokens not yet processed.
    std::int64_t StepTokens{0};      ///< Prompt tokens processed in the current step.
    std::int64_t ProducedTokens{0};
    bool Decoding{false}; ///< Generates one token in the current step.
  };

  void admit();
  [[nodiscard]] std::int64_t requiredTokens(const sim_job &Job) const {
    return Job.Prompt + Job.AnswerLimit;
  }
  std::int64_t lookUpPrefix(const sim_job &Job);
  [[nodiscard]] bool runsBefore(const active_job &Left, const active_job &Right) const;

  engine_settings Settings;
  double Slowdown{1.0};
  bool Stepping{false};
  std::uint64_t NextArrivalNumber{0};
  std::int64_t ReservedTokens{0}; ///< Memory reserved for running jobs, in tokens.
  std::list<active_job> Running;
  std::list<active_job> Waiting; ///< In admission order.
  /// Prefix and its tokens, most recently used first.
  std::list<std::pair<std::uint64_t, std::int64_t>> PrefixCache;
  std::int64_t CachedPrefixTokens{0};
  std::uint64_t ReportCount{0};
};

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_SIM_ENGINE_BASE_H

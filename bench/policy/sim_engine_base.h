/** @file sim_engine_base.h A model of one engine: continuous batching with chunked prefill. */
#ifndef POLLENSTALL_BENCH_POLICY_SIM_ENGINE_BASE_H
#define POLLENSTALL_BENCH_POLICY_SIM_ENGINE_BASE_H

#include "workload_type.h"

#include <cstdint>
#include <list>
#include <map>
#include <vector>

namespace pollenstall::bench {

/// An attempt as the engine sees it.
struct sim_job {
  std::size_t Number{0}; ///< Of the attempt in the run.
  std::int64_t Prompt{0};
  std::int64_t Answer{0};
  std::int64_t AnswerLimit{0};
  std::uint64_t Prefix{0};
  std::int64_t PrefixTokens{0};
  std::uint32_t Priority{0};
};

/// What one step brought.
struct step_outcome {
  std::vector<std::size_t> FirstTokens;
  std::vector<std::size_t> FurtherTokens;
  std::vector<std::size_t> Completed;
};

/// Steps are driven from outside: start() tells how long one lasts, finish() what it brought.
class sim_engine {
public:
  explicit sim_engine(const engine_settings &Given) : Settings(Given) {}

  void enqueue(const sim_job &Job);
  void cancel(std::size_t Number);
  /// @return Every attempt it had; it holds nothing afterwards.
  std::vector<std::size_t> lose();
  void setSlowdown(double Factor) { Slowdown = Factor; }

  /// @return Whether there is anything to do and no step is running.
  [[nodiscard]] bool canStart() const { return !Stepping && !(Running.empty() && Waiting.empty()); }
  /// Starts a step. @return Its length in seconds.
  double start();
  step_outcome finish();
  [[nodiscard]] backend_load load() const;
  /// Counts a report. @return Its sequence number.
  std::uint64_t nextReport() { return ++Reports; }
  /// @return Tokens of the attempt's prompt that were in the prefix cache.
  [[nodiscard]] std::int64_t cachedTokens(std::size_t Number) const;

private:
  struct active_job {
    sim_job Job;
    std::uint64_t Order{0};
    std::int64_t Cached{0};
    std::int64_t Left{0};     ///< Prompt tokens not processed.
    std::int64_t ThisStep{0}; ///< Of these, in the step that runs.
    std::int64_t Produced{0};
    bool Decoding{false}; ///< Takes part in this step with one token.
  };

  void admit();
  [[nodiscard]] std::int64_t needOf(const sim_job &Job) const {
    return Job.Prompt + Job.AnswerLimit;
  }
  std::int64_t lookUpPrefix(const sim_job &Job);
  [[nodiscard]] bool before(const active_job &Left, const active_job &Right) const;

  engine_settings Settings;
  double Slowdown{1.0};
  bool Stepping{false};
  std::uint64_t NextOrder{0};
  std::int64_t Promised{0}; ///< Tokens of memory of running work.
  std::list<active_job> Running;
  std::list<active_job> Waiting; ///< In the order in which they are admitted.
  std::list<std::pair<std::uint64_t, std::int64_t>> Cache; ///< Prefix and tokens, newest first.
  std::int64_t CachedTotal{0};
  std::uint64_t Reports{0};
};

} // namespace pollenstall::bench

#endif // POLLENSTALL_BENCH_POLICY_SIM_ENGINE_BASE_H

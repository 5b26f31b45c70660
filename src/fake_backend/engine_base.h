/** @file engine_base.h Simulates an engine with continuous batching and block-based KV memory,
 * without a clock or I/O. */
#ifndef POLLENSTALL_FAKE_BACKEND_ENGINE_BASE_H
#define POLLENSTALL_FAKE_BACKEND_ENGINE_BASE_H

#include "fake_backend/engine_type.h"
#include "fake_backend/prefix_cache_base.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// Runs jobs step by step. The caller waits for the duration that beginStep() returns before it
/// calls endStep().
class engine {
public:
  explicit engine(const engine_limits &InitialLimits) : EngineLimits(InitialLimits) {}

  /// Adds a job to the waiting queue.
  result<done, submit_error> submit(const job_ptr &Job);

  /// Admits waiting jobs and plans a step. @return Its duration, or nothing if no job is running.
  std::optional<std::chrono::microseconds> beginStep();
  /// Executes the planned step and calls OnProgress of each job that produced a token.
  void endStep(mono_time Now);

  /// Returns the job of an attempt, or null if the attempt is unknown.
  [[nodiscard]] job_ptr find(const std::string &Attempt) const;
  /// Cancels a job or an import and frees its memory.
  /// @return Its previous state, or nothing if the attempt is unknown.
  std::optional<job_state> cancel(const std::string &Attempt, mono_time Now);
  /// Attaches a stream reader and replaces the previous one. @return Reader id for detachReader().
  static std::uint64_t attachReader(engine_job &Job, std::function<void()> OnProgress);
  /// Detaches a reader unless another one has replaced it. The job then waits for a resume, or is
  /// cancelled if the engine does not support resumes.
  void detachReader(const job_ptr &Job, std::uint64_t ReaderId, mono_time Now);
  /// Cancels jobs that were not resumed within the resume window and removes ended jobs and unused
  /// imports that are older than it.
  void removeExpired(mono_time Now);

  /// Reserves memory for an imported KV cache until its attempt is admitted.
  /// @return False if the memory is insufficient or the attempt already has an import.
  bool importBlocks(const std::string &Attempt, std::int64_t Blocks, mono_time Now);

  /// Returns the waiting and running jobs, and the finished ones whose answer was not delivered.
  [[nodiscard]] std::vector<job_ptr> undeliveredJobs() const;
  [[nodiscard]] engine_load load() const;
  [[nodiscard]] bool idle() const { return Waiting.empty() && Running.empty(); }
  [[nodiscard]] std::int64_t cancels() const { return Cancels; }
  prefix_cache &cache() { return Cache; }

private:
  using queue_key = std::pair<std::int64_t, std::uint64_t>; ///< Priority and arrival number.
  struct import_record {
    std::int64_t Blocks{0};
    mono_time ReservedAt;
  };

  [[nodiscard]] queue_key queueKey(const engine_job &Job) const;
  [[nodiscard]] std::int64_t requiredBlocks(const engine_job &Job) const;
  [[nodiscard]] std::int64_t usedBlocks() const;
  bool makeRoom(std::int64_t Blocks);
  void admitWaiting();
  bool admit(engine_job &Job);
  void cachePrefix(engine_job &Job);
  void release(engine_job &Job);
  void finishJob(const job_ptr &Job, job_state State, mono_time Now);
  void consumeImport(engine_job &Job);
  void evictExcessBlocks();

  engine_limits EngineLimits;
  prefix_cache Cache;
  std::map<queue_key, job_ptr> Waiting;
  std::map<queue_key, job_ptr> Running;
  std::unordered_map<std::string, job_ptr> Jobs;
  std::unordered_map<std::string, import_record> Imports;
  std::vector<std::pair<job_ptr, std::int64_t>> StepPrefill;
  std::vector<job_ptr> StepDecode;
  std::int64_t PrivateBlocks{0};
  std::int64_t ImportedBlocks{0};
  std::int64_t Cancels{0};
  std::uint64_t LastArrival{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ENGINE_BASE_H

/** @file engine_base.h A model of continuous batching over KV memory in blocks; no clock, no I/O.
 */
#ifndef POLLENSTALL_FAKE_BACKEND_ENGINE_BASE_H
#define POLLENSTALL_FAKE_BACKEND_ENGINE_BASE_H

#include "fake_backend/engine_type.h"
#include "fake_backend/prefix_cache_base.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// Runs jobs step by step; the owner waits beginStep()'s time between beginStep() and endStep().
class engine {
public:
  explicit engine(const engine_limits &EngineLimits) : Limits(EngineLimits) {}

  /// Puts a job into the waiting queue.
  result<done, submit_error> submit(const job_ptr &Job);

  /// Admits waiting jobs and plans a step. @return Its time, or nothing where there is no work.
  std::optional<std::chrono::microseconds> beginStep();
  /// Carries the planned step out and calls OnProgress of every job that got further.
  void endStep(mono_time Now);

  /// @return The job, or null.
  [[nodiscard]] job_ptr find(const std::string &Attempt) const;
  /// Ends a job and frees its memory. @return Its state before, or nothing where it is unknown.
  std::optional<job_state> cancel(const std::string &Attempt, mono_time Now);
  /// Attaches a reader in place of the one before. @return The reader's number, for detach().
  static std::uint64_t attach(engine_job &Job, std::function<void()> OnProgress);
  /// Notes that a reader is gone; unless another took its place, the stream waits for a resume.
  void detach(const job_ptr &Job, std::uint64_t Reader, mono_time Now);
  /// Cancels jobs that nobody resumed and forgets jobs that ended long ago.
  void sweep(mono_time Now);

  /// Reserves memory for an imported KV cache until its attempt comes. @return False: no room.
  bool importBlocks(const std::string &Attempt, std::int64_t Blocks, mono_time Now);

  /// @return Jobs that hold memory, wait, or ended without having been read to the end.
  [[nodiscard]] std::vector<job_ptr> listed() const;
  [[nodiscard]] engine_load load() const;
  [[nodiscard]] bool idle() const { return Waiting.empty() && Running.empty(); }
  [[nodiscard]] std::int64_t cancels() const { return Cancels; }
  prefix_cache &cache() { return Cache; }

private:
  using queue_key = std::pair<std::int64_t, std::uint64_t>; ///< Priority, arrival.
  struct import_record {
    std::int64_t Blocks{0};
    mono_time At;
  };

  [[nodiscard]] queue_key keyOf(const engine_job &Job) const;
  [[nodiscard]] std::int64_t blocksFor(const engine_job &Job) const;
  [[nodiscard]] std::int64_t usedBlocks() const;
  bool makeRoom(std::int64_t Blocks);
  void admitWaiting();
  bool admit(engine_job &Job);
  void storePrefix(engine_job &Job);
  void release(engine_job &Job);
  void end(const job_ptr &Job, job_state State, mono_time Now);
  void takeImport(engine_job &Job);
  void trimCache();

  engine_limits Limits;
  prefix_cache Cache;
  std::map<queue_key, job_ptr> Waiting;
  std::map<queue_key, job_ptr> Running;
  std::unordered_map<std::string, job_ptr> Jobs;
  std::unordered_map<std::string, import_record> Imports;
  std::vector<std::pair<job_ptr, std::int64_t>> StepPrefill;
  std::vector<job_ptr> StepDecode;
  std::int64_t OwnBlocks{0};
  std::int64_t ImportedBlocks{0};
  std::int64_t Cancels{0};
  std::uint64_t Arrivals{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_ENGINE_BASE_H

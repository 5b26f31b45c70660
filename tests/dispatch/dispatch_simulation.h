/** @file dispatch_simulation.h Simulates entries, engines and claims with reordering, losses and
 * restarts.
 */
#ifndef POLLENSTALL_TESTS_DISPATCH_DISPATCH_SIMULATION_H
#define POLLENSTALL_TESTS_DISPATCH_DISPATCH_SIMULATION_H

#include "claim/claim.h"
#include "dispatch/dispatch.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

constexpr std::uint32_t AnswerParts = 3;

/// A part of an answer that a caller received.
struct answer_part {
  attempt_id Attempt; ///< The attempt whose engine produced the part.
  std::uint32_t Part{0};
};

/// One submission of a caller's task to one entry.
struct submission_record {
  std::optional<finish_request> FinalAnswer;
  std::uint32_t FinalAnswerCount{0};
  std::vector<answer_part> ReceivedParts;
  std::uint32_t Starts{0}; ///< How many times an engine started this submission.
};

/// Work of a caller; all its submissions have the same key.
struct caller_task {
  bool Idempotent{true};
  std::string Key;
  std::vector<submission_record> Submissions;
  std::uint32_t Starts{0};        ///< Of all submissions.
  std::uint32_t CompletedRuns{0}; ///< Complete runs at engines.
};

/// A connection of one attempt at an entry's relay.
struct relay_connection {
  backend_key Backend;
  bool Open{true};
  std::uint32_t Generation{0}; ///< Incremented by each resume.
  std::uint32_t NextPart{0};
};

/// One incarnation of an entry: its dispatcher, its scheduler's queue and its relay.
struct entry_incarnation {
  process_key Self;
  std::optional<dispatcher> Dispatch;
  std::map<request_number, work_item> Queue;
  std::map<attempt_id, relay_connection> Connections;
  /// For each request, the attempt that last relayed a part to the caller; it may have ended.
  std::map<request_number, attempt_id> AnsweringAttempts;
  std::vector<dispatch_event> PastEvents; ///< Events to deliver again as duplicates.
  std::set<attempt_id> Started;
  std::set<attempt_id> Ended;
  std::uint64_t NextRequest{1};
  mono_time LastDeliveryAt; ///< The event queue is FIFO: the next event is not delivered before
                            ///< this time.
};

/// An engine that counts starts and holds memory until the work ends or is cancelled.
struct fake_engine {
  backend_key Key;
  std::map<attempt_id, std::uint32_t> Running; ///< The number of parts produced.
  std::set<attempt_id> CompletedAttempts;      ///< Complete; can still be resumed.
  std::set<attempt_id> StartedAttempts;        ///< All attempts ever started.
};

/**
 * Runs one seed: first with faults, then without faults until no work remains.
 * Violations are collected as text; a broken invariant inside the dispatcher aborts the process.
 */
class dispatch_simulation {
public:
  explicit dispatch_simulation(std::uint64_t Seed);

  /// Runs to the end. @return The violations that were found.
  std::vector<std::string> run();
  /// @return The number of simulated steps.
  [[nodiscard]] std::uint64_t steps() const { return Steps; }
  /// @return Counters summed over the entries. Counts of restarted incarnations are not included.
  [[nodiscard]] const dispatch_counters &totals() const { return Totals; }

private:
  using action = std::function<void()>;
  using submission_index = std::pair<std::size_t, std::size_t>; ///< Task and submission.

  void after(mono_duration Delay, action Do) { Scheduled.emplace(Now + Delay, std::move(Do)); }
  mono_duration delay();
  bool chance(double Probability) { return Chaos && Random.chance(Probability); }
  void addViolation(const std::string &Description) { Violations.push_back(Description); }
  void runUntilIdle(mono_time End);

  void startEntry(std::size_t Entry);
  void restartEntry(std::size_t Entry);
  dispatcher_callbacks callbacks(std::size_t Entry);
  /// Schedules an action at an entry; it is dropped if the entry restarts before.
  void afterAtEntry(std::size_t Entry, mono_duration Delay, action Do);
  void postEvent(std::size_t Entry, const dispatch_event &Event);
  void executeActions(std::size_t Entry);
  void schedule(std::size_t Entry, request_number Request);

  void submitTask(std::size_t Task);
  void receiveOutcome(submission_index Submission, const finish_request &Finish);
  void maybeResubmit(submission_index Submission, bool NotRun);

  void act(std::size_t Entry, const acquire_claim &Action);
  void act(std::size_t Entry, const settle_claim &Action);
  void act(std::size_t Entry, const start_attempt &Action);
  void act(std::size_t Entry, const resume_attempt &Action);
  void act(std::size_t Entry, const cancel_attempt &Action);
  void act(std::size_t Entry, const finish_request &Action);
  void executeAcquire(std::size_t Entry, const acquire_claim &Action, bool Answer);

  void failConnection(std::size_t Entry, const attempt_id &Attempt, attempt_failure Failure);
  void relayAnswerPart(std::size_t Entry, const attempt_id &From, const attempt_id &ConnectionId,
                       std::uint32_t Generation, std::uint32_t Part);
  void receiveAttempt(std::size_t Entry, std::size_t Engine, const attempt_id &Attempt,
                      const backend_key &Intended);
  void produceAnswerPart(std::size_t Entry, std::size_t Engine, const attempt_id &Attempt,
                         std::uint32_t Generation, std::uint32_t Part);
  void cancelAttempt(std::size_t Entry, std::size_t Engine, const attempt_id &Attempt);
  void restartEngine(std::size_t Engine);
  std::size_t engineIndex(const backend_key &Backend) const;

  void checkAtEnd();
  void checkTask(std::size_t Task);
  void checkEntry(std::size_t Entry);

  random_source Random;
  bool Chaos{true};
  mono_time Now{std::chrono::hours(1)};
  std::multimap<mono_time, action> Scheduled;
  std::uint64_t Steps{0};
  std::uint64_t Incarnations{0};
  claim_table Claims{1000};
  std::array<entry_incarnation, 2> Entries;
  std::array<fake_engine, 3> Engines;
  std::vector<caller_task> Tasks;
  std::map<std::pair<process_key, request_number>, submission_index> SubmissionOf;
  std::vector<std::string> Violations;
  dispatch_counters Totals;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_DISPATCH_DISPATCH_SIMULATION_H

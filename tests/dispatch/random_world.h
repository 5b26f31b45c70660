/** @file random_world.h Entries, engines and claims in one shuffled, lossy world with dying parts.
 */
#ifndef POLLENSTALL_TESTS_DISPATCH_RANDOM_WORLD_H
#define POLLENSTALL_TESTS_DISPATCH_RANDOM_WORLD_H

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

constexpr std::uint32_t PartsOfAnswer = 3;

/// A part of an answer as a caller got it.
struct answer_part {
  attempt_id Attempt;
  std::uint32_t Part{0};
};

/// One send of a caller's work, to one entry.
struct send_record {
  std::optional<finish_request> End;
  std::uint32_t Ends{0};
  std::vector<answer_part> Got;
  std::uint32_t Starts{0}; ///< Counted by the engines.
};

/// What a caller wants done, under one key however often it is sent.
struct caller_work {
  bool Idempotent{true};
  std::string Key;
  std::vector<send_record> Sends;
  std::uint32_t Starts{0};
  std::uint32_t Finished{0}; ///< Whole runs at engines.
};

/// A connection of one attempt at an entry's relay.
struct relay_connection {
  backend_key Backend;
  bool Open{true};
  std::uint32_t Generation{0}; ///< Rises with each resume.
  std::uint32_t NextPart{0};
};

/// One life of an entry: its dispatcher, its scheduler's queue and its relay.
struct entry_incarnation {
  process_key Self;
  std::optional<dispatcher> Dispatch;
  std::map<request_number, work_item> Queue;
  std::map<attempt_id, relay_connection> Connections;
  std::map<request_number, attempt_id> Relaying; ///< Whose bytes the caller has.
  std::vector<dispatch_event> Past;              ///< For doubling.
  std::set<attempt_id> Started;
  std::set<attempt_id> Ended;
  std::uint64_t NextRequest{1};
  mono_time RingFree; ///< Rings keep order: nothing is delivered before this.
};

/// An engine that counts what it starts and keeps memory until the work ends or is cancelled.
struct fake_engine {
  backend_key Key;
  std::map<attempt_id, std::uint32_t> Running; ///< Parts produced so far.
  std::set<attempt_id> Produced;               ///< Whole; can still be resumed.
  std::set<attempt_id> Known;                  ///< Started here once.
};

/**
 * Runs one seed: chaos first, then a healed world until nothing is left to do.
 * Violations are collected as text; the invariants inside the dispatcher abort by themselves.
 */
class random_world {
public:
  explicit random_world(std::uint64_t Seed);

  /// Runs to the end. @return What was violated, empty where all holds.
  std::vector<std::string> run();
  /// @return Events that were handled.
  [[nodiscard]] std::uint64_t steps() const { return Steps; }
  /// @return Requests by outcome over all entries that lived to the end, for the report.
  [[nodiscard]] const dispatch_counters &totals() const { return Totals; }

private:
  using action = std::function<void()>;
  using send_index = std::pair<std::size_t, std::size_t>; ///< Work and send.

  void after(mono_duration Delay, action Do) { Agenda.emplace(Now + Delay, std::move(Do)); }
  mono_duration delay();
  bool chance(double Probability) { return Chaos && Random.chance(Probability); }
  void violate(const std::string &What) { Violations.push_back(What); }
  void runUntilQuiet(mono_time End);

  void birth(std::size_t Entry);
  void death(std::size_t Entry);
  dispatch_seam seam(std::size_t Entry);
  /// Does something later at an entry, only in the same life of it.
  void afterAt(std::size_t Entry, mono_duration Delay, action Do);
  void tell(std::size_t Entry, const dispatch_event &Event);
  void pump(std::size_t Entry);
  void schedule(std::size_t Entry, request_number Request);

  void callerSends(std::size_t Work);
  void callerHears(send_index Send, const finish_request &Finish);
  void callerGoesOn(send_index Send, bool NotRun);

  void act(std::size_t Entry, const acquire_claim &Action);
  void act(std::size_t Entry, const settle_claim &Action);
  void act(std::size_t Entry, const start_attempt &Action);
  void act(std::size_t Entry, const resume_attempt &Action);
  void act(std::size_t Entry, const cancel_attempt &Action);
  void act(std::size_t Entry, const finish_request &Action);
  void executeAcquire(std::size_t Entry, const acquire_claim &Action, bool Answer);

  void failConnection(std::size_t Entry, const attempt_id &Attempt, attempt_failure Failure);
  void relayPart(std::size_t Entry, const attempt_id &From, const attempt_id &Connection,
                 std::uint32_t Generation, std::uint32_t Part);
  void engineHears(std::size_t Entry, std::size_t Engine, const attempt_id &Attempt,
                   const backend_key &Meant);
  void engineProduces(std::size_t Entry, std::size_t Engine, const attempt_id &Attempt,
                      std::uint32_t Generation, std::uint32_t Part);
  void engineCancels(std::size_t Entry, std::size_t Engine, const attempt_id &Attempt);
  void engineDies(std::size_t Engine);
  std::size_t engineOf(const backend_key &Backend) const;

  void checkAtEnd();
  void checkWork(std::size_t Work);
  void checkEntry(std::size_t Entry);

  random_source Random;
  bool Chaos{true};
  mono_time Now{std::chrono::hours(1)};
  std::multimap<mono_time, action> Agenda;
  std::uint64_t Steps{0};
  std::uint64_t Incarnations{0};
  claim_table Claims{1000};
  std::array<entry_incarnation, 2> Entries;
  std::array<fake_engine, 3> Engines;
  std::vector<caller_work> Works;
  std::map<std::pair<process_key, request_number>, send_index> SendOf;
  std::vector<std::string> Violations;
  dispatch_counters Totals;
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_DISPATCH_RANDOM_WORLD_H

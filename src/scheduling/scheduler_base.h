/** @file scheduler_base.h Assigns waiting requests to backend servers. */
#ifndef POLLENSTALL_SCHEDULING_SCHEDULER_BASE_H
#define POLLENSTALL_SCHEDULING_SCHEDULER_BASE_H

#include "scheduling/account_queue_base.h"
#include "scheduling/backend_pool_base.h"
#include "scheduling/class_rates_base.h"
#include "scheduling/concurrency_limit_base.h"
#include "scheduling/prefix_affinity_base.h"
#include "server_notice/server_notice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// Scheduler parameters that operators do not declare. Times are in seconds unless noted.
struct scheduler_tuning {
  /// Maximum prefill ahead on an engine by class; with more ahead, a request waits at this host.
  std::array<double, LengthClassCount> MaxSecondsAhead{0.25, 0.5, 4.0};
  /// Waits by class that count as equally long. The class with the highest ratio of actual wait to
  /// reference wait is served first, so that no class starves.
  std::array<double, LengthClassCount> ReferenceWait{1.0, 8.0, 32.0};
  /// On a full fleet, work of an account that used more than this many times its fair share runs
  /// after all other work.
  double MaxRelativeUsage{2.0};
  /// The fleet counts as full for this long after the concurrency limit last delayed work.
  mono_duration FullDuration{std::chrono::seconds(10)};
  /// Weight of one second of a slower answer relative to one second until the first token.
  double AnswerWeight{0.05};
  /// Part of a request's time limit that its answer may take.
  double AnswerFraction{0.75};
  /// Multiplier of the concurrency limit by class. Medium work uses a part of the limit, so that
  /// short work finds free slots. Long work may exceed it; the number of long prompts per engine
  /// is limited separately.
  std::array<double, LengthClassCount> ClassLimitFactor{1.0, 0.7, 1.5};
  /// Part of the concurrency limit, and of the long-prompt engines, that work of accounts over
  /// their share may use.
  double DeprioritizedFraction{0.4};
  /// The choice is random among servers whose penalty exceeds the lowest one by at most this part
  /// of it plus PenaltyToleranceSeconds.
  double PenaltyTolerance{0.1};
  double PenaltyToleranceSeconds{0.01};
  double ChunkTokens{2'048.0}; ///< Prefill that an engine finishes before it checks priorities.
  mono_duration PollInterval{std::chrono::milliseconds(20)}; ///< While work waits.
  std::size_t MaxPrefixHashes{65'536}; ///< Maximum number of stored prefix hashes.
};

/// Constructor arguments of a scheduler.
struct scheduler_settings {
  std::uint64_t Seed{1};
  host_name Host;
  scheduler_tuning Tuning;
};

/**
 * Scheduler of one host: queues work, places it on backend servers and learns from its attempts.
 * All calls must come from one thread.
 */
class scheduler {
public:
  explicit scheduler(scheduler_settings Settings);

  /// Applies accounts, groups, limits and class weights. Waiting work stays queued.
  void applyDeclaration(const fleet_declaration &Declaration);
  void updateBackend(const backend_view &View, mono_time Now);
  /// Removes an incarnation that has ended and holds no memory any more.
  void removeBackend(const backend_key &Backend, mono_time Now);

  /// Places nothing on servers of evacuated failure domains from now on.
  void setEvacuations(const evacuation_list &List, mono_time Now);

  /// Queues a request, or refuses it immediately if it cannot run within its deadline.
  std::variant<done, work_refusal> submit(work_item Item, mono_time Now);
  /// Removes a request that needs no server any more. Undoes its placement if no attempt has
  /// started.
  void withdraw(request_number Request);
  /**
   * Places requests where possible and expires those that can no longer end by their deadline. A
   * placement reserves memory of its engine until attemptStarted() takes it over, withdraw() undoes
   * it, or the request's deadline passes without an attempt.
   */
  poll_outcome poll(mono_time Now);
  /// Returns when to call poll() next if no other call precedes it.
  [[nodiscard]] std::optional<mono_time> nextWake() const { return NextWake; }

  /// Must be called for each attempt before it is sent, even if poll() did not place it.
  void attemptStarted(const attempt_id &Attempt, const work_item &Item, const backend_key &Backend,
                      mono_time Now);
  void attemptAnswering(const attempt_id &Attempt, mono_time Now);
  void attemptProgressed(const attempt_id &Attempt, std::uint64_t Events, mono_time Now);
  /// Releases an attempt that the server holds no memory for any more: it completed, or its
  /// cancellation was confirmed.
  void attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now);
  /// Places nothing on a server until its pause ends.
  void pauseBackend(const backend_key &Backend, std::chrono::milliseconds Pause, mono_time Now) {
    Pauses.record(Backend, Pause, Now);
  }
  /**
   * Records that an attempt failed before its server has confirmed that it holds no memory for it.
   * The memory stays reserved until attemptEnded(). This call is optional.
   */
  void attemptFailed(const attempt_id &Attempt, attempt_failure Failure, mono_time Now);

  /// Returns the state of the queue and each backend server as JSON, without prompts or keys.
  [[nodiscard]] std::string dump() const;
  [[nodiscard]] std::size_t queued() const { return Queue.size(); }

private:
  /// A placement or attempt in flight, from poll() or attemptStarted() until it has ended.
  struct open_placement {
    backend_key Backend;
    request_number Request;
    client_account_name Account;
    length_class Class{length_class::Short};
    tokens Prompt;
    tokens AnswerLimit;
    double Uncached{0};       ///< Prompt tokens that are probably not in the engine's cache.
    double CachedShare{0};    ///< Part of the prompt that is expected to be in the cache.
    double TokensAhead{0};    ///< Estimated tokens that the engine processes first.
    double Cost{0};           ///< Engine seconds charged to the account.
    mono_duration Expected{}; ///< Expected time from placement to the first token.
    mono_time Placed;
    mono_time Deadline;
    mono_time LastProgress;
    std::optional<attempt_id> Attempt; ///< Set once an attempt has started.
    bool Answered{false};
    bool FailureRecorded{false}; ///< The attempt already counts as a failure of its server.
  };
  struct engine_estimate {
    double Uncached{0};
    double CachedShare{0};
    double TokensAhead{0};
    double FirstToken{0};      ///< Seconds from now until the first token.
    bool Deprioritized{false}; ///< The account is over its share: other work overtakes this one.
    /// Seconds, including the delays of other classes; a server near the lowest one is chosen.
    double ChoicePenalty{0};
  };
  struct server_choice {
    scheduled_backend *Record{nullptr};
    engine_estimate Estimate;
  };
  /// Requests that differ only in prompt length and account: if one cannot be placed in this poll,
  /// those with a prompt at least as long are not tried. The bool is whether they are
  /// deprioritized.
  using work_kind = std::tuple<service_name, model_name, group_name, length_class, bool>;

  // scheduler_intake.cpp
  [[nodiscard]] length_class classOf(const work_item &Item) const;
  [[nodiscard]] double expectedAnswer(const work_item &Item) const;
  [[nodiscard]] double costOf(const work_item &Item) const;
  [[nodiscard]] double expectedRunSeconds(const work_item &Item) const;
  std::optional<group_name> pickGroup(const work_item &Item);
  [[nodiscard]] std::optional<work_refusal> checkFleet(const work_item &Item);
  [[nodiscard]] double assumedPlacementRate(const work_item &Item, length_class Class);
  [[nodiscard]] double queueWaitSeconds(const waiting_work &Work, mono_time Now);
  void recordRequiredPace(const work_item &Item);
  [[nodiscard]] std::chrono::seconds retryAfter(const waiting_work &Work, mono_time Now);

  // scheduler_evacuation.cpp
  [[nodiscard]] bool isEvacuated(const work_item &Item);
  void refuseEvacuated(mono_time Now, poll_outcome &Outcome);

  // scheduler_choice.cpp
  std::vector<scheduled_backend *> eligibleServers(const waiting_work &Work);
  [[nodiscard]] bool isDeprioritized(const waiting_work &Work, mono_time Now);
  [[nodiscard]] bool canAccept(const scheduled_backend &Record, const waiting_work &Work) const;
  [[nodiscard]] engine_estimate estimate(const scheduled_backend &Record, const waiting_work &Work,
                                         const std::optional<cached_prefix> &Cached,
                                         bool Deprioritized, mono_time Now) const;
  [[nodiscard]] bool isWithinPrefillLimit(const scheduled_backend &Record, const waiting_work &Work,
                                          const engine_estimate &Estimate, mono_time Now) const;
  [[nodiscard]] bool isWithinConcurrencyLimit(const scheduled_backend &Record, length_class Class,
                                              bool Deprioritized) const;
  std::optional<server_choice> choose(const waiting_work &Work, mono_time Now);
  server_choice pickNearBest(const std::vector<server_choice> &Choices, length_class Class);
  void reserveEngineFor(const waiting_work &Work, mono_time Now);
  [[nodiscard]] std::uint32_t priorityOf(const waiting_work &Work, mono_time Now);

  // scheduler.cpp
  bool placeNext(mono_time Now, poll_outcome &Outcome);
  bool placeNextOf(length_class Class, mono_time Now, poll_outcome &Outcome);
  [[nodiscard]] std::array<length_class, LengthClassCount> classOrder(mono_time Now) const;
  void expireLate(mono_time Now, poll_outcome &Outcome);
  void expireUnstarted(mono_time Now);
  void reviewServers(mono_time Now, poll_outcome &Outcome);

  // scheduler_attempt.cpp
  placement_id openPlacement(const waiting_work &Work, const server_choice &Choice, mono_time Now);
  void closePlacement(std::map<placement_id, open_placement>::iterator Found);
  void updateTrackers(scheduled_backend &Record);
  void recordServerFailure(open_placement &Placement, mono_time Now);
  void recordStalledAttempts(mono_time Now);
  void learnFromReport(const open_placement &Placement, const attempt_report &End);

  scheduler_settings Settings;
  random_source Random;
  bool HasDeclaration{false};
  policy_declaration Policy;
  limits_declaration Limits;
  account_queue Queue;
  prefix_affinity Affinity;
  backend_pool Pool;
  pause_table Pauses;
  class_rates ArrivedCosts;
  class_rates PlacedCosts;
  concurrency_limit Concurrency;
  mono_time LastLimitReached; ///< When the concurrency limit last delayed work.
  std::map<placement_id, open_placement> OpenPlacements;
  std::map<attempt_id, placement_id> ByAttempt;
  std::map<request_number, placement_id> Unstarted; ///< Placements whose attempt has not started.
  placement_id NextPlacementId{1};
  double AnswerShare{0.5}; ///< Average part of the allowed answer tokens that answers use.
  std::map<work_kind, tokens> Unplaceable;              ///< Smallest prompt by kind.
  std::map<client_account_name, bool> IsOverShareCache; ///< As of this poll.
  /// Engine that accepts only long work until a waiting long prompt fits.
  std::optional<backend_key> ReservedForLong;
  bool ReservationRequested{false}; ///< A long prompt needs the reservation in this poll.
  mono_time NextReview;
  std::optional<mono_time> NextWake;
};

/// Builds a scheduler.
class scheduler_builder {
public:
  /// @param Seed Seed of the random choice between servers of nearly equal penalty.
  scheduler_builder &seed(std::uint64_t Seed);
  /// @param Name Name of this host; different hosts rank equal engines differently.
  scheduler_builder &host(host_name Name);
  scheduler_builder &tuning(const scheduler_tuning &Tuning);
  [[nodiscard]] scheduler build() const { return scheduler(Settings); }

private:
  scheduler_settings Settings;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_SCHEDULER_BASE_H

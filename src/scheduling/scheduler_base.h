/** @file scheduler_base.h Decides which waiting request runs on which backend server, and when. */
#ifndef POLLENSTALL_SCHEDULING_SCHEDULER_BASE_H
#define POLLENSTALL_SCHEDULING_SCHEDULER_BASE_H

#include "scheduling/account_queue_base.h"
#include "scheduling/affinity_base.h"
#include "scheduling/backend_pool_base.h"
#include "scheduling/class_rates_base.h"
#include "scheduling/concurrency_limit_base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pollenstall {

/// What the policy is tuned by beyond what operators declare. Seconds unless said otherwise.
struct scheduler_tuning {
  /// Work that runs first on an engine, beyond which a class waits at the entry instead.
  std::array<double, LengthClasses> SlotSeconds{0.25, 0.5, 4.0};
  /// Waits that count as equally long when classes compete: the class with the greatest wait
  /// over patience goes first, so that each class starts in the end.
  std::array<double, LengthClasses> Patience{1.0, 8.0, 32.0};
  /// Where the fleet is full, work of an account that used this many times its fair share yields to
  /// all other work.
  double UsageOverShare{2.0};
  /// The fleet counts as full for this long after the limit of requests at once held work back.
  mono_duration FullFor{std::chrono::seconds(10)};
  /// Weight of a slower answer against a later first token, second for second.
  double AnswerWeight{0.05};
  /// Part of its time limit that a request's answer may take.
  double AnswerPart{0.75};
  /// Part of the limit of requests at once that each class may fill, so that shorter work finds
  /// room.
  std::array<double, LengthClasses> ClassPart{1.0, 0.7, 1.5};
  /// Part of the limit of requests at once that work of accounts over their share may fill.
  double YieldPart{0.4};
  double NearEqual{0.1};         ///< Costs within this part of the least are drawn from at random.
  double NearEqualSeconds{0.01}; ///< And those within this time of it.
  double ChunkTokens{2'048.0};   ///< Prefill that runs on before a higher priority is looked at.
  mono_duration PollInterval{std::chrono::milliseconds(20)}; ///< While work waits.
  std::size_t AffinityBound{65'536};                         ///< Prefix hashes remembered.
};

/// What a scheduler is built from.
struct scheduler_settings {
  std::uint64_t Seed{1};
  host_name Host;
  scheduler_tuning Tuning;
};

/**
 * One entry's scheduler: holds waiting work, places it, learns from how attempts go.
 * Every call is made from one thread.
 */
class scheduler {
public:
  explicit scheduler(scheduler_settings Settings);

  /// Takes over accounts, groups, limits and the weighting of classes; waiting work stays.
  void applyDeclaration(const fleet_declaration &Declaration);
  void updateBackend(const backend_view &View, mono_time Now);
  /// The incarnation is gone for good and holds nothing any more.
  void removeBackend(const backend_key &Backend, mono_time Now);

  /// Takes a request in, or refuses it at once where it can't run in time.
  std::variant<done, work_refusal> submit(work_item Item, mono_time Now);
  /// The request needs no server any more; a placement that no attempt has started on is undone.
  void withdraw(request_number Request);
  /**
   * Places what can be placed and gives up what can no longer end in time. A placement reserves
   * its engine's memory until attemptStarted() takes it over, withdraw() undoes it, or the
   * request's deadline passes without an attempt.
   */
  poll_outcome poll(mono_time Now);
  /// @return When poll() is to be called next, if nothing else happens before.
  [[nodiscard]] std::optional<mono_time> nextWake() const { return NextWake; }

  /// Call for each attempt before it is sent, also for one that no poll has placed.
  void attemptStarted(const attempt_id &Attempt, const work_item &Item, const backend_key &Backend,
                      mono_time Now);
  void attemptAnswering(const attempt_id &Attempt, mono_time Now);
  void attemptAdvanced(const attempt_id &Attempt, std::uint64_t Events, mono_time Now);
  /// The server holds nothing of the attempt any more: it completed, or a cancel was confirmed.
  void attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now);
  /**
   * The attempt failed and its server has not yet confirmed that it holds nothing. Its memory
   * stays reserved until attemptEnded(); calling this first is optional.
   */
  void attemptBroken(const attempt_id &Attempt, attempt_failure Failure, mono_time Now);

  /// @return JSON of the queue and of each backend server, without prompts or keys.
  [[nodiscard]] std::string dump() const;
  [[nodiscard]] std::size_t queued() const { return Queue.size(); }

private:
  /// A placement or an attempt, from poll() or attemptStarted() until it has ended.
  struct open_ticket {
    backend_key Backend;
    request_number Request;
    client_account_name Account;
    length_class Class{length_class::Short};
    tokens Prompt;
    tokens AnswerLimit;
    double Uncached{0};       ///< Prompt tokens believed not to be in the engine's cache.
    double CachedShare{0};    ///< Part of the prompt expected in the cache.
    double Ahead{0};          ///< Tokens believed to run first.
    double Cost{0};           ///< As charged to the account.
    mono_duration Expected{}; ///< From placement to the first token.
    mono_time Placed;
    mono_time Deadline;
    mono_time LastProgress;
    std::optional<attempt_id> Attempt; ///< Once one has started.
    bool Answered{false};
    bool Blamed{false}; ///< The server was already held to account for this attempt.
  };
  struct engine_estimate {
    double Uncached{0};
    double CachedShare{0};
    double Ahead{0};
    double FirstToken{0}; ///< Seconds from now.
    bool Yields{false};   ///< Its account is over its share: others' work passes it.
    double Cost{0};       ///< Of the choice, with what it does to other classes.
  };
  struct choice {
    scheduled_backend *Record{nullptr};
    engine_estimate Estimate;
  };
  /// What could not be placed in this poll, so that work alike is not tried again.
  using failed_key = std::tuple<service_name, model_name, group_name, length_class, bool>;

  // scheduler_intake.cpp
  [[nodiscard]] length_class classOf(const work_item &Item) const;
  [[nodiscard]] double expectedAnswer(const work_item &Item) const;
  [[nodiscard]] double costOf(const work_item &Item) const;
  [[nodiscard]] double runSeconds(const work_item &Item) const;
  std::optional<group_name> drawGroup(const work_item &Item);
  [[nodiscard]] std::optional<work_refusal> refusalByFleet(const work_item &Item);
  [[nodiscard]] double engineRate(const work_item &Item, length_class Class);
  [[nodiscard]] double waitSeconds(const waiting_work &Work, mono_time Now);
  void needPace(const work_item &Item);
  [[nodiscard]] std::chrono::seconds retryAfter(const waiting_work &Work, mono_time Now);

  // scheduler_choice.cpp
  std::vector<scheduled_backend *> usable(const waiting_work &Work);
  [[nodiscard]] bool yields(const waiting_work &Work, mono_time Now);
  [[nodiscard]] bool mayPlace(const scheduled_backend &Record, const waiting_work &Work) const;
  [[nodiscard]] engine_estimate estimate(const scheduled_backend &Record, const waiting_work &Work,
                                         const std::optional<cached_prefix> &Cached, bool Yields,
                                         mono_time Now) const;
  [[nodiscard]] bool hasSlot(const scheduled_backend &Record, const waiting_work &Work,
                             const engine_estimate &Estimate, mono_time Now) const;
  [[nodiscard]] bool hasRoom(const scheduled_backend &Record, length_class Class,
                             bool Yields) const;
  std::optional<choice> choose(const waiting_work &Work, mono_time Now);
  choice drawNearLeast(const std::vector<choice> &Choices, length_class Class);
  void holdEngineFor(const waiting_work &Work, mono_time Now);
  [[nodiscard]] std::uint32_t priorityOf(const waiting_work &Work, mono_time Now);

  // scheduler.cpp
  bool placeOne(mono_time Now, poll_outcome &Outcome);
  bool placeOneOf(length_class Class, mono_time Now, poll_outcome &Outcome);
  [[nodiscard]] std::array<length_class, LengthClasses> classOrder(mono_time Now) const;
  void expireLate(mono_time Now, poll_outcome &Outcome);
  void dropUnstarted(mono_time Now);
  void reviewServers(mono_time Now);

  // scheduler_attempt.cpp
  ticket_number openTicket(const waiting_work &Work, const choice &Choice, mono_time Now);
  void closeTicket(std::map<ticket_number, open_ticket>::iterator Found);
  void reportToLedgers(scheduled_backend &Record);
  void blame(open_ticket &Ticket, mono_time Now);
  void blameStalled(mono_time Now);
  void learnFromEnd(const open_ticket &Ticket, const attempt_report &End);

  scheduler_settings Settings;
  random_source Random;
  bool Declared{false};
  policy_declaration Policy;
  limits_declaration Limits;
  account_queue Queue;
  affinity Affinity;
  backend_pool Pool;
  class_rates Arrivals;
  class_rates Placed;
  concurrency_limit Concurrency;
  mono_time LastFull; ///< When the limit of requests at once last held work back.
  std::map<ticket_number, open_ticket> Tickets;
  std::map<attempt_id, ticket_number> ByAttempt;
  std::map<request_number, ticket_number> Unstarted; ///< Placements without an attempt yet.
  ticket_number NextTicket{1};
  double AnswerShare{0.5}; ///< Part of the allowed answer that is used, on average.
  std::map<failed_key, tokens> Failed;
  std::map<client_account_name, bool> Yielding; ///< Accounts looked at in this poll.
  std::optional<backend_key> HeldForLong;       ///< Kept from other work until a long prompt fits.
  bool HoldWanted{false};                       ///< A long prompt asked for the hold in this poll.
  mono_time NextReview;
  std::optional<mono_time> NextWake;
};

/// Builds a scheduler.
class scheduler_builder {
public:
  /// @param Seed Of the random choice between near-equals.
  scheduler_builder &seed(std::uint64_t Seed);
  /// @param Name Of this host; spreads the choices of several hosts.
  scheduler_builder &host(host_name Name);
  scheduler_builder &tuning(const scheduler_tuning &Tuning);
  [[nodiscard]] scheduler build() const { return scheduler(Settings); }

private:
  scheduler_settings Settings;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_SCHEDULER_BASE_H

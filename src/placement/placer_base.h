/** @file placer_base.h Places waiting work on engines and splits the prefill of long prompts. */
#ifndef POLLENSTALL_PLACEMENT_PLACER_BASE_H
#define POLLENSTALL_PLACEMENT_PLACER_BASE_H

#include "evacuation/evacuation.h"
#include "fleet_queue/fleet_queue.h"
#include "placement/answer_times_base.h"
#include "placement/cold_table_base.h"
#include "placement/placement_type.h"
#include "placement/reachability_monitor_base.h"
#include "placement/request_rate_base.h"
#include "placement/tracked_engine_base.h"
#include "rate_limit/rate_limit.h"
#include "server_notice/server_notice.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/**
 * Places the requests of one entry. Used instead of scheduler if the declaration contains routes
 * and the figures of the engines. The prefill of a long prompt is split over several engines. A
 * pass of an engine with decoding requests never gets longer than their declared gaps allow. All
 * calls must come from one thread.
 */
class placer {
public:
  placer(const host_name &Host, std::uint64_t Seed, const placement_tuning &InitialTuning = {});

  void applyDeclaration(const fleet_declaration &Declaration);
  void updateBackend(const backend_listing &Listing);
  /// Records what a listing says about its server being cold; to be called after updateBackend().
  void updateCold(const backend_listing &Listing, mono_time Now);
  /// Counts the servers of a failure domain that is back in service as cold for the `cold_start_s`
  /// of their service, unless a later listing says otherwise.
  void markDomainCold(const failure_domain_name &Domain, mono_time Now);
  /// Removes an incarnation that has ended and holds no memory any more.
  void removeBackend(const backend_key &Backend);
  /// Places nothing on servers of evacuated failure domains from now on.
  void setEvacuations(const evacuation_list &List);
  /// Returns the number of claims that were given up because a server was evacuated.
  [[nodiscard]] std::uint64_t evacuatedClaims() const { return EvacuatedClaims; }
  /// Updates the work of all other entries on the engines for which it changed or was sent again.
  void updateOthersLoads(const std::vector<work_load> &Loads, mono_time Now);
  void updateExchange(const load_exchange_properties &Properties) { Exchange = Properties; }
  /// Sets whether scarce slots are taken in one order of the waiting requests of all entries.
  void setOrderOverEntries(bool Value) { Tuning.OrderOverEntries = Value; }
  /// Replaces the counts of requests that wait at all other entries.
  void updateOthersWaiting(std::vector<waiting_load> Loads, mono_time Now) {
    OthersWaiting.update(std::move(Loads), Now);
  }

  /// Queues a request, or refuses it immediately if it cannot run.
  std::variant<done, work_refusal> submit(const work_item &Item, mono_time Now);
  void withdraw(request_number Request);
  poll_outcome poll(mono_time Now);
  [[nodiscard]] std::optional<mono_time> nextWake() const { return NextWake; }

  void attemptStarted(const attempt_id &Attempt, const work_item &Item, const backend_key &Backend,
                      mono_time Now);
  void attemptAnswering(const attempt_id &Attempt, mono_time Now);
  /// Records that an attempt has sent further events since the last call.
  void attemptAdvanced(const attempt_id &Attempt, std::uint64_t Events, mono_time Now);
  /// Places nothing on a server until its pause ends.
  void pauseBackend(const backend_key &Backend, std::chrono::milliseconds Pause, mono_time Now) {
    Pauses.record(Backend, Pause, Now);
  }
  /// Releases an attempt that the server holds no memory for any more.
  void attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now);
  void attemptFailed(const attempt_id &Attempt, attempt_failure Failure, mono_time Now);

  /// Returns the work of this entry, to be published to the other entries.
  [[nodiscard]] std::vector<work_load> ownLoads(mono_time Now) const;
  /// Returns how many requests of this entry wait for slots of each service with declared figures,
  /// to be published to the other entries; nothing if none waits.
  [[nodiscard]] std::vector<waiting_load> ownWaiting(mono_time Now) const;
  /// Returns the number of claims made so far. Each claim must be published to the other entries
  /// immediately.
  [[nodiscard]] std::uint64_t claimsMade() const { return ClaimsMade; }
  /// Returns whether this entry appears to reach no backend server. Work then waits, except for
  /// periodic probe requests, and is refused with QueueFull after WaitFraction of its time limit.
  [[nodiscard]] bool reachesNoBackend() const { return Reachability.isIsolated(); }
  [[nodiscard]] std::size_t queued() const { return Waiting.size() + Claimed.size(); }
  /// The rate limits of servers. Placements at such a server use up one permit.
  [[nodiscard]] permit_client &permits() { return Permits; }
  [[nodiscard]] const permit_client &permits() const { return Permits; }
  /// Returns how many idle connections to the server this entry may keep, so that those of all
  /// entries stay well below the number that the server declares.
  [[nodiscard]] std::size_t maxIdleConnections(const backend_key &Backend) const;
  /// Returns the server of an incarnation; nullptr if it is unknown.
  [[nodiscard]] const backend_key *findBackend(incarnation Server) const;
  /// Returns the servers that are slower than expected or fail more attempts than the others.
  [[nodiscard]] std::vector<uneven_server> unevenServers(mono_time Now) const;
  /// Returns the state of the queue and each backend server as JSON.
  [[nodiscard]] std::string dump(mono_time Now) const;

private:
  struct waiting_work {
    work_item Item;
    service_name Service;        ///< Chosen at random by the weights of the route.
    mono_time WaitingSince;      ///< When this attempt began to wait.
    bool OverShare{false};       ///< Its account sends more than its share.
    bool AskedForPermits{false}; ///< It no longer waits for permits if it can be placed elsewhere.
  };
  /// What a server is expected to do from a moment on, for comparison with what it does.
  struct speed_mark {
    double ExpectedMs{0};    ///< Time to the first event at normal speed, from the placement on.
    double PassMs{0};        ///< Time between events at normal speed.
    double Fill{0};          ///< See speed_sample.
    double SeenPrefillMs{0}; ///< tracked_engine::seenPrefillMs() at that moment.
  };
  /// Part of a prompt's prefill on one engine.
  struct prefill_part {
    backend_key Backend;
    double DurationMs{0};
    mono_time Until;     ///< Expected end of the prefill.
    double Tokens{0};    ///< Memory that stays allocated until the end of the request.
    permit_stamp Permit; ///< Set if the server states a rate limit.
    speed_mark Mark;     ///< When the attempt was sent.
  };
  /// Work with its parts on engines, from its claim or placement until its attempt has ended.
  struct assigned_work {
    request_number Request;
    std::vector<prefill_part> Parts; ///< The first part is on the engine that answers.
    double GapMs{0};                 ///< Maximum time between two events; 0: unlimited.
    bool Answered{false};
    bool CountedAsTaken{false};  ///< In the record of the server that answers.
    bool CountedAsFailed{false}; ///< Likewise. An abandoned attempt reports its failure twice.
    mono_time SentTime;          ///< When the attempt was started.
    speed_mark Advanced;         ///< Of the server that answers, as of AdvancedTime.
    mono_time AdvancedTime;      ///< When its last events came.
    bool GapRecorded{false};
  };
  /// A placement that is published to the other entries before it takes effect.
  struct claimed_work {
    waiting_work Work;
    assigned_work Assigned;
    work_placement Placement;
    /// Takes effect then, unless one of its engines has left or is also claimed by an entry with a
    /// lower claim rank.
    mono_time DueTime;
  };
  struct engine_option {
    tracked_engine *Engine{nullptr};
    engine_view View;
    bool Limited{false};     ///< Requests need permits: it states a rate limit, or is cold.
    bool NeedsPermit{false}; ///< It needs a permit, and there is none for it yet.
    bool Cold{false};        ///< Servers that are warm come first.
    double Slowness{1};      ///< Factor of its times at this load; see server_speed.
    speed_mark Mark{};
  };
  /// Engines that may run a request.
  struct engine_options {
    std::vector<engine_option> Preferred;
    std::vector<engine_option> Resting; ///< They have failed attempts; see server_record.
  };
  /// Engines chosen for one request; the first one answers.
  struct prefill_plan {
    std::vector<engine_option> PrefillEngines;
    double PartMs{0};
    double FirstEventMs{0};                     ///< Expected time from now to the first event.
    std::map<backend_key, double> HeldTokens{}; ///< Tokens held on engines other than the first.
  };

  /// Slots of a service and the requests that wait for them, in the current poll.
  struct slot_supply {
    std::vector<std::uint32_t> FreeSlots; ///< Of each engine.
    double Free{0};                       ///< Sum of FreeSlots.
    double FreedPerSecond{0};             ///< Slots that become free, by this entry's measure.
    double ArrivalsPerSecond{0};          ///< Requests of all entries.
    waiting_load Others;                  ///< Requests that wait at other entries.
    double OwnAhead{0};                   ///< Own requests that could not be placed in this poll.
    std::uint32_t Spare{0};               ///< Slots of each engine that stay free.
    bool Scarce{false};                   ///< More requests wait in the fleet than slots are free.
  };
  /// Which slots a request may take.
  enum class slot_origin : std::uint8_t {
    Any,   ///< Any free slot.
    Freed, ///< Also one that a request of this entry has just left.
  };
  /// A slot that a request of this entry has left. Other entries don't know of it yet.
  struct freed_slot {
    backend_key Backend;
    mono_time Time;
  };

  /// An engine that may prefill a prompt or a part of it.
  struct prefill_candidate {
    engine_option Option;
    std::size_t Rank{0}; ///< Position in the order that all entries share.
    double PassMs{0};
    double StartMs{0};   ///< Time from now until the engine can begin the prefill.
    double MaxPartMs{0}; ///< Longest prefill part that the gaps of its streams allow.
    bool CanAnswer{false};

    /// Returns the time from now until the engine has prefilled a part of this normal duration.
    [[nodiscard]] double endMs(double NormalPartMs) const {
      return StartMs + NormalPartMs * Option.Slowness;
    }
    /// Returns whether the engine has requests. One in prefill counts like a decoding one, because
    /// it decodes soon.
    [[nodiscard]] bool occupied() const { return Option.View.Requests > 0; }
  };
  /// Engines without a long pending prefill.
  struct idle_engines {
    std::vector<prefill_candidate> Unoccupied; ///< Engines without requests.
    std::vector<prefill_candidate> Occupied;   ///< Engines with requests.
  };
  using engine_views = std::map<backend_key, engine_view>;

  [[nodiscard]] engine_views ownWork(mono_time Now) const;
  [[nodiscard]] engine_views allWork(mono_time Now) const;
  static void addWork(engine_views &Views, const assigned_work &Work, mono_time Now);
  [[nodiscard]] std::vector<request_number> pollOrder(mono_time Now) const;
  void expireWaiting(mono_time Now, poll_outcome &Outcome);
  double prefillBacklogMs(const service_declaration &Service);
  std::chrono::seconds retryAfter(const waiting_work &Work, mono_time Now);
  std::optional<service_name> pickService(const work_item &Item);
  [[nodiscard]] std::optional<work_refusal> refusalFor(const work_item &Item,
                                                       const service_name &Service) const;
  engine_options candidateEngines(const waiting_work &Work, mono_time Now);
  std::optional<prefill_plan> choose(const waiting_work &Work, mono_time Now);
  std::optional<prefill_plan> chooseAmong(std::vector<engine_option> Options,
                                          const waiting_work &Work, mono_time Now);
  std::optional<prefill_plan> chooseServer(std::vector<engine_option> Options, mono_time Now);
  std::optional<prefill_plan> chooseEngines(const waiting_work &Work, const engine_profile &Figures,
                                            std::vector<engine_option> Options, mono_time Now);
  std::optional<prefill_plan> chooseCandidates(const waiting_work &Work,
                                               const engine_profile &Figures,
                                               const std::vector<prefill_candidate> &Candidates,
                                               mono_time Now);
  void applySpeed(prefill_candidate &Candidate, const waiting_work &Work,
                  const engine_profile &Figures, mono_time Now) const;
  void applySpeed(engine_option &Option, const engine_profile *Figures, mono_time Now) const;
  void recordFirstEvent(assigned_work &Work, mono_time Now);
  void recordFirstAnswer(const assigned_work &Work, mono_time Now);
  void recordGap(assigned_work &Work, std::uint64_t Events, mono_time Now);
  [[nodiscard]] engine_view workAt(const tracked_engine &Engine, mono_time Now) const;
  [[nodiscard]] double slownessOf(const tracked_engine &Engine, double Fill, mono_time Now) const;
  [[nodiscard]] double usualSlowness(const service_name &Service, mono_time Now) const;
  static incarnation newsKeyOf(incarnation Server);
  void addSpeedNews(std::vector<work_load> &Loads, mono_time Now) const;
  void receiveSpeedNews(const work_load &Load, mono_time Now);
  [[nodiscard]] const engine_profile *figuresOf(const tracked_engine &Engine) const;
  static speed_mark markOf(const tracked_engine &Engine, const engine_profile *Figures,
                           const engine_view &View);
  [[nodiscard]] std::size_t packedChoiceCount(mono_time Now) const;
  std::optional<prefill_plan> packShort(const std::vector<prefill_candidate> &Candidates,
                                        double PromptMs, double RemainingMs, mono_time Now);
  void surveySlots(mono_time Now);
  [[nodiscard]] slot_supply *supplyOf(const waiting_work &Work);
  [[nodiscard]] std::uint32_t spareSlotsFor(const waiting_work &Work, mono_time Now) const;
  [[nodiscard]] const slot_supply *scarceSupplyOf(const waiting_work &Work) const;
  [[nodiscard]] bool waitsForSlot(const waiting_work &Work) const;
  [[nodiscard]] queue_rank rankOfWork(const waiting_work &Work, mono_time Now) const;
  [[nodiscard]] bool missesTarget(const waiting_work &Work, mono_time Now) const;
  [[nodiscard]] bool mayTakeSlot(const waiting_work &Work, slot_origin Origin, mono_time Now);
  void refuseIfHopeless(const waiting_work &Work, double Ahead, mono_time Now,
                        poll_outcome &Outcome);
  void recordSlotTaken(const waiting_work &Work, const prefill_plan &Plan, mono_time Now);
  [[nodiscard]] std::string slotsText() const;
  void recordSlotFreed(const assigned_work &Work, bool Completed, mono_time Now);
  std::optional<prefill_plan> chooseScarceSlot(const std::vector<prefill_candidate> &Candidates,
                                               const waiting_work &Work, double PromptMs,
                                               double RemainingMs, mono_time Now);
  void recordArrival(waiting_work &Work, mono_time Now);
  void passOver(const waiting_work &Work, mono_time Now, poll_outcome &Outcome);
  std::optional<prefill_plan> chooseSoonest(const std::vector<prefill_candidate> &Candidates,
                                            double PromptMs);
  [[nodiscard]] std::optional<prefill_plan>
  spreadLongPrompt(const std::vector<prefill_candidate> &Candidates, double PromptMs,
                   double RemainingMs, double TargetMs) const;
  [[nodiscard]] idle_engines
  findIdleEngines(const std::vector<prefill_candidate> &Candidates) const;
  void keepHeadroom(std::vector<prefill_candidate> &Unoccupied,
                    const std::vector<prefill_candidate> &Occupied, std::size_t CandidateCount,
                    double PromptMs) const;
  [[nodiscard]] std::optional<prefill_plan>
  splitPrefill(const std::vector<prefill_candidate> &Unoccupied,
               const std::vector<prefill_candidate> &Occupied, double PromptMs,
               bool UseOccupied) const;
  static std::optional<prefill_plan>
  planWithEngines(const std::vector<prefill_candidate> &Unoccupied,
                  const std::vector<prefill_candidate> &Occupied, std::size_t Count, double PartMs,
                  bool UseOccupied);
  /// Passes the cold periods on to Permits, after they or the declaration have changed.
  void refreshCold(mono_time Now);
  std::optional<prefill_plan> chooseWarmFirst(std::vector<engine_option> Options,
                                              const waiting_work &Work, mono_time Now);
  /// Requests the permits that the plan lacks. @return Whether it lacks any.
  bool requestPermits(const prefill_plan &Plan, mono_time Now);
  void requestPermitForWaiting(const waiting_work &Work, mono_time Now);
  void refuseUnlessAvailable(const waiting_work &Work, mono_time Now, poll_outcome &Outcome);
  void refuseEvacuated(mono_time Now, poll_outcome &Outcome);
  [[nodiscard]] bool isEvacuated(const service_name &Service) const;
  [[nodiscard]] bool usesEvacuated(const assigned_work &Work) const;
  [[nodiscard]] std::optional<mono_time> unavailableUntil(const backend_key &Backend,
                                                          mono_time Now) const;
  [[nodiscard]] std::optional<mono_time> unavailableUntil(const service_name &Service,
                                                          mono_time Now) const;
  void placeWork(const waiting_work &Work, const prefill_plan &Plan, mono_time Now,
                 poll_outcome &Outcome);
  std::optional<prefill_plan> chooseHolders(const std::vector<prefill_candidate> &AllCandidates,
                                            const engine_profile &Figures, double NeededTokens,
                                            double PromptMs, double RemainingMs) const;
  void resolveClaims(mono_time Now, poll_outcome &Outcome);
  [[nodiscard]] bool isClaimLost(const claimed_work &Claim, mono_time Now) const;
  void setNextWake(mono_time Now);
  [[nodiscard]] bool isPastTarget(const waiting_work &Work, mono_time Now) const;
  [[nodiscard]] double memoryOf(const work_item &Item) const;
  void recordAttemptFailure(const attempt_id &Attempt, attempt_failure Failure, mono_time Now);
  void recordTaken(assigned_work &Work, mono_time Now);
  void recordFault(assigned_work &Work, server_fault Fault, mono_time Now);
  [[nodiscard]] double usualFailedShare(const tracked_engine &Server, mono_time Now) const;
  void recordConnectFailure(const assigned_work &Work, const tracked_engine &Engine, mono_time Now);
  [[nodiscard]] bool mayPlace(mono_time Now) const;

  /// Claim rank of this entry; the lower rank wins if two claims conflict.
  std::uint32_t ClaimRank;
  random_source Random;
  placement_tuning Tuning;
  std::map<service_name, service_declaration> Services;
  std::map<backend_key, tracked_engine> Engines;
  std::unordered_map<incarnation, tracked_engine *> EnginesByIncarnation; ///< Points into Engines.
  std::unordered_map<incarnation, backend_key> EnginesByNews;             ///< See newsKeyOf().
  std::map<request_number, waiting_work> Waiting;
  std::map<request_number, claimed_work> Claimed;
  std::uint64_t ClaimsMade{0};
  std::map<request_number, assigned_work> Unstarted; ///< Placements whose attempt has not started.
  std::map<attempt_id, assigned_work> Running;
  load_exchange_properties Exchange;
  permit_client Permits;
  cold_table Cold;
  bool ColdChanged{false};
  std::set<service_name> NewlyBounded; ///< Services whose cold servers had no bound until now.
  pause_table Pauses;
  evacuation_list Evacuations;
  std::uint64_t EvacuatedClaims{0};
  reachability_monitor Reachability;
  request_rate Rate; ///< Requests of all entries, as far as reported.
  /// Times to the first event of services without declared figures.
  std::map<service_name, answer_times> AnswerTimes;
  struct usual_slowness {
    double Value{1};
    mono_time Time; ///< When it was computed, for use until UsualSlownessLifetime later.
  };
  mutable std::map<service_name, usual_slowness> UsualSlowness;
  engine_views AllWork; ///< Work of this and the other entries, as of the current poll.
  std::optional<mono_time> NextWake;
  peer_waiting OthersWaiting;
  account_shares Shares;
  slot_turnover Turnover;
  request_rate Arrivals;                        ///< Requests of this entry that need one slot.
  std::map<service_name, slot_supply> Supplies; ///< Of services with waiting work.
  std::vector<freed_slot> FreedSlots;           ///< Within the delay until other entries know.
  double LateCredit{0}; ///< Late requests that may take a slot before work in time.
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_PLACER_BASE_H

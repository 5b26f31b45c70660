/** @file placer_base.h Decides where waiting work runs, and which engines help to read it. */
#ifndef POLLENSTALL_PLACEMENT_PLACER_BASE_H
#define POLLENSTALL_PLACEMENT_PLACER_BASE_H

#include "placement/engine_state_base.h"
#include "placement/placement_type.h"
#include "placement/reach_watch_base.h"
#include "placement/request_rate_base.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/**
 * One entry's placement of calls whose routes and engines are declared. Prompts that one engine
 * would read for long are read by several at once; no pass of an engine that writes gets longer
 * than the declared gaps allow. Every call is made from one thread.
 */
class placer {
public:
  placer(const host_name &Host, std::uint64_t Seed, const placement_tuning &Values = {});

  void applyDeclaration(const fleet_declaration &Declaration);
  void updateBackend(const backend_listing &Listing);
  /// The life is over and holds nothing any more.
  void removeBackend(const backend_key &Backend);
  /// What all other entries together have under way, at the engines where that changed or was told
  /// again.
  void takeOthersLoads(const std::vector<work_load> &Loads, mono_time Now);
  void useExchange(const exchange_facts &Facts) { Exchange = Facts; }

  /// Takes a request in, or refuses it at once where it can't run.
  std::variant<done, work_refusal> submit(const work_item &Item, mono_time Now);
  void withdraw(request_number Request);
  poll_outcome poll(mono_time Now);
  [[nodiscard]] std::optional<mono_time> nextWake() const { return NextWake; }

  void attemptStarted(const attempt_id &Attempt, const work_item &Item, const backend_key &Backend,
                      mono_time Now);
  void attemptAnswering(const attempt_id &Attempt, mono_time Now);
  /// The server holds nothing of the attempt any more.
  void attemptEnded(const attempt_id &Attempt, const attempt_report &End, mono_time Now);
  void attemptBroken(const attempt_id &Attempt, attempt_failure Failure, mono_time Now);

  /// @return What this entry has under way, for the others.
  [[nodiscard]] std::vector<work_load> ownLoads(mono_time Now) const;
  /// @return How many choices were ever held back. Each is to be told to the others at once.
  [[nodiscard]] std::uint64_t claimsMade() const { return ClaimsMade; }
  /// @return Whether no backend server can be reached from here: work waits but for a trial now and
  /// then, and is refused as not run when its time to wait is over.
  [[nodiscard]] bool reachesNobody() const { return Reach.isOut(); }
  [[nodiscard]] std::size_t queued() const { return Waiting.size() + Claimed.size(); }
  /// @return JSON of the queue and of each backend server.
  [[nodiscard]] std::string dump(mono_time Now) const;

private:
  struct waiting_work {
    work_item Item;
    service_name Service; ///< Drawn by the route's weights.
    mono_time Since;      ///< When this attempt began to wait.
  };
  /// A reader of one prompt.
  struct reading_part {
    backend_key Backend;
    double Ms{0};
    mono_time Until;  ///< When it is expected to be done.
    double Tokens{0}; ///< Memory taken there until the end.
  };
  struct running_work {
    request_number Request;
    std::vector<reading_part> Parts; ///< The first is at the engine that answers.
    double GapMs{0};                 ///< Longest that the caller allows between two events.
    bool Answered{false};
    mono_time Sent; ///< When the attempt was started.
  };
  /// A choice that the other entries are being told of.
  struct claimed_work {
    waiting_work Work;
    running_work Started;
    work_placement Placement;
    mono_time Due; ///< When it holds, unless an entry that goes first has told the same.
  };
  struct engine_option {
    engine_state *Engine{nullptr};
    engine_view View;
  };
  /// A choice of engines; the first one answers.
  struct read_plan {
    std::vector<engine_option> Readers;
    double PartMs{0};
    double FinishMs{0};                   ///< From now to the first event.
    std::map<backend_key, double> Held{}; ///< Tokens kept at readers other than the first.
  };

  /// An engine as a possible reader of one prompt. Milliseconds.
  struct reader_option {
    engine_option Option;
    std::size_t Place{0}; ///< In the order that all entries share.
    double PassMs{0};
    double StartMs{0}; ///< From now until it can begin to read.
    double RoomMs{0};  ///< Longest part that its streams' gaps allow.
    bool MayAnswer{false};

    /// A request that is being read there writes in a moment: it counts as one that does.
    [[nodiscard]] bool occupied() const { return Option.View.Requests > 0; }
  };
  /// Engines that read nothing long.
  struct idle_readers {
    std::vector<reader_option> Free;    ///< Without any request.
    std::vector<reader_option> Writing; ///< With requests of their own.
  };
  using work_views = std::map<backend_key, engine_view>;

  [[nodiscard]] work_views ownWork(mono_time Now) const;
  [[nodiscard]] work_views allWork(mono_time Now) const;
  static void addWork(work_views &Sum, const running_work &Work, mono_time Now);
  [[nodiscard]] std::vector<request_number> order(mono_time Now) const;
  void expireLate(mono_time Now, poll_outcome &Outcome);
  double readingAheadMs(const service_declaration &Service);
  std::chrono::seconds returnAfter(const waiting_work &Work, mono_time Now);
  std::optional<service_name> drawService(const work_item &Item);
  [[nodiscard]] std::optional<work_refusal> refusalFor(const work_item &Item,
                                                       const service_name &Service) const;
  std::vector<engine_option> options(const waiting_work &Work, mono_time Now);
  std::optional<read_plan> choose(const waiting_work &Work, mono_time Now);
  std::optional<read_plan> chooseServer(std::vector<engine_option> Options);
  std::optional<read_plan> chooseEngines(const waiting_work &Work, const engine_figures &Figures,
                                         std::vector<engine_option> Options, mono_time Now);
  [[nodiscard]] std::size_t packedChoices(mono_time Now) const;
  std::optional<read_plan> packShort(const std::vector<reader_option> &Readers, double WholeMs,
                                     double LeftMs, mono_time Now);
  std::optional<read_plan> soonest(const std::vector<reader_option> &Readers, double WholeMs);
  [[nodiscard]] std::optional<read_plan> gather(const std::vector<reader_option> &Readers,
                                                double WholeMs, double LeftMs,
                                                double TargetMs) const;
  [[nodiscard]] idle_readers idleReaders(const std::vector<reader_option> &Readers) const;
  void leaveRoom(std::vector<reader_option> &Free, const std::vector<reader_option> &Writing,
                 std::size_t All, double WholeMs) const;
  [[nodiscard]] std::optional<read_plan> split(const std::vector<reader_option> &Free,
                                               const std::vector<reader_option> &Writing,
                                               double WholeMs, bool Widely) const;
  static std::optional<read_plan> withReaders(const std::vector<reader_option> &Free,
                                              const std::vector<reader_option> &Writing,
                                              std::size_t Count, double PartMs, bool Widely);
  void start(const waiting_work &Work, const read_plan &Plan, mono_time Now, poll_outcome &Outcome);
  std::optional<read_plan> chooseHolders(const std::vector<reader_option> &All,
                                         const engine_figures &Figures, double Memory,
                                         double WholeMs, double LeftMs) const;
  void settleClaims(mono_time Now, poll_outcome &Outcome);
  [[nodiscard]] bool givesWay(const claimed_work &Claim, mono_time Now) const;
  void setNextWake(mono_time Now);
  [[nodiscard]] bool isLate(const waiting_work &Work, mono_time Now) const;
  [[nodiscard]] double memoryOf(const work_item &Item) const;
  void blame(const attempt_id &Attempt, attempt_failure Failure, mono_time Now);
  void noteNotConnected(const running_work &Work, const engine_state &Engine, mono_time Now);
  [[nodiscard]] bool mayPlace(mono_time Now) const;

  std::uint32_t Precedence; ///< Of this entry, where two would read on one engine.
  random_source Random;
  placement_tuning Tuning;
  std::map<service_name, service_declaration> Services;
  std::map<backend_key, engine_state> Engines;
  std::unordered_map<incarnation, engine_state *> EnginesByIncarnation; ///< Into Engines.
  std::map<request_number, waiting_work> Waiting;
  std::map<request_number, claimed_work> Claimed;
  std::uint64_t ClaimsMade{0};
  std::map<request_number, running_work> Placed; ///< Without an attempt yet.
  std::map<attempt_id, running_work> Running;
  exchange_facts Exchange;
  reach_watch Reach;
  request_rate Rate;  ///< Of all entries, as far as this one has heard.
  work_views AllWork; ///< This entry's and the others', as of the present poll.
  std::optional<mono_time> NextWake;
};

} // namespace pollenstall

#endif // POLLENSTALL_PLACEMENT_PLACER_BASE_H

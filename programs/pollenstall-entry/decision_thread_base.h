/** @file decision_thread_base.h The thread that decides: events come in by rings, orders go out. */
#ifndef POLLENSTALL_ENTRY_DECISION_THREAD_BASE_H
#define POLLENSTALL_ENTRY_DECISION_THREAD_BASE_H

#include "control_link/control_link.h"
#include "decision_seam_base.h"
#include "relay/relay.h"
#include "wake_gate_base.h"
#include "work_exchange/work_exchange.h"
#include "work_share/work_share.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pollenstall {

/// What the decision thread is built from.
struct decision_plan {
  process_key Self;
  /// A fixed declaration; with it no lease is asked for. Empty where control hosts declare.
  std::optional<fleet_declaration> Fixed;
  backend_source Backends{backend_source::Gossip};
  /// Reads a declaration's text; empty: the TOML format.
  declaration_reader ReadDeclaration;
  std::optional<double> RetryShare;   ///< Of first attempts; none: as declared.
  std::optional<double> RetryReserve; ///< Of all entries, in the window; none: a fixed one here.
  mono_duration RetryWindow{std::chrono::seconds(10)};
  std::size_t RingCapacity{1U << 16U};
  std::shared_ptr<prometheus::Registry> Registry;
};

/**
 * Owns the dispatcher, the scheduler and the declaration in use; nothing else touches them.
 * Rings: callers' events from the relay thread, membership from the gossip thread, declarations,
 * leases and claims from the control link. The thread sleeps until one of them has something or the
 * next timeout is due.
 */
class decision_thread {
public:
  explicit decision_thread(decision_plan Wanted);
  ~decision_thread();
  decision_thread(const decision_thread &) = delete;
  decision_thread &operator=(const decision_thread &) = delete;

  /// Filled by the relay thread.
  [[nodiscard]] bounded_ring<dispatch_event> &events() { return Events; }
  /// Filled by the relay thread with answers to list_attempts.
  [[nodiscard]] bounded_ring<attempts_listed> &attemptLists() { return Lists; }
  /// Filled by the relay thread.
  [[nodiscard]] bounded_ring<crash_update> &crashUpdates() { return CrashNews; }
  /// Emptied by the relay thread.
  [[nodiscard]] bounded_ring<relay_order> &orders() { return Orders; }
  /// Wakes the thread; for the gossip thread and the control link.
  void wake() { Gate.wake(); }

  /// Sets the control link; before start().
  void useControl(std::unique_ptr<control_link> Link) { Control = std::move(Link); }
  /// Sets the thread that carries work reports; before start().
  void useShare(work_share &Used) { Share = &Used; }
  /// Sets the ring of the gossip thread; before start().
  void useViews(bounded_ring<membership_event> &Source) { Views = &Source; }
  void start();
  /// Refuses new requests; those admitted end by themselves or at the limit.
  void beginShutdown(mono_duration Limit);
  /// Ends the thread.
  void stop();

  /// @return Whether new requests are admitted; from any thread.
  [[nodiscard]] bool ready() const { return Ready.isReady(boot_clock::now()); }
  /// @return Whether a newer life of this host runs; from any thread.
  [[nodiscard]] bool superseded() const { return Superseded.load(std::memory_order_relaxed); }
  /// @return Attempts given up whose end the backend server has not confirmed; from any thread.
  [[nodiscard]] std::size_t abandoned() const { return Abandoned.load(std::memory_order_relaxed); }
  /// @return JSON of the decisions' state, or nothing where the thread did not answer in time.
  [[nodiscard]] std::optional<std::string> dump(std::chrono::milliseconds Limit);

private:
  void run();
  void turn();
  void drainNews(mono_time Now);
  void takeControlEvent(control_link_event &&Event, mono_time Now);
  void takeDeclaration(const declaration_received &Received);
  void tellOfCrash(crash_report &&Crash);
  void tellOfCrash(suspect_cleared &&Cleared);
  void takeEntries(const entries_listed &Listed);
  void tellLoads(mono_time Now);
  [[nodiscard]] bool toldOtherwise(const std::vector<work_load> &Loads, mono_time Now) const;
  void useIndex(declaration_view View);
  void updateReadiness(mono_time Now);
  void carryOut(dispatch_action &&Action);
  void endOrphans(const attempts_listed &Listed, mono_time Now);
  void answerDumps(mono_time Now);
  void publishGauges();
  void logReach();
  [[nodiscard]] mono_duration untilNextWake(mono_time Now) const;
  /// @return Until when the declaration may be acted upon.
  [[nodiscard]] mono_time declarationUsableUntil() const;
  /// @return Until when new requests may be admitted, as far as is known.
  [[nodiscard]] mono_time usableUntil() const;

  decision_plan Plan;
  bounded_ring<dispatch_event> Events;
  std::vector<dispatch_event> Batch; ///< Taken from the ring in this turn.
  bounded_ring<attempts_listed> Lists;
  bounded_ring<crash_update> CrashNews;
  bounded_ring<relay_order> Orders;
  event_outbox<relay_order> Outbox;
  bounded_ring<membership_event> *Views{nullptr};
  work_share *Share{nullptr};
  const work_share_tuning ShareTuning;
  std::vector<work_load> ToldLoads;
  std::uint64_t ToldClaims{0}; ///< Of placer::claimsMade().
  mono_time LoadsToldAt{};
  wake_gate Gate;
  std::unique_ptr<control_link> Control;
  declaration_lease Freshness;
  declaration_view Declaration;
  decision_seam Seam;
  bool Usable{false};        ///< New requests were admitted at the last look.
  bool ReachesNobody{false}; ///< No backend server answers, as far as the log says.
  bool Announced{false};     ///< The relay was told of the declaration.
  mono_time ToldUntil{};     ///< End of the lease that the relay was told of.
  bool ToldLags{false};      ///< The relay was told that a newer declaration is on its way.
  std::uint64_t BadDeclarations{0};

  readiness_deadline Ready;
  std::atomic<std::size_t> Abandoned{0};
  std::atomic<bool> Superseded{false};
  std::atomic<bool> Stopping{false};
  std::mutex Guard; ///< Of the two below, which other threads set.
  std::vector<std::promise<std::string>> DumpsWanted;
  std::optional<mono_duration> ShutdownWanted;
  prometheus::Counter &OrphanCounter;
  prometheus::Gauge &QueueGauge;
  prometheus::Gauge &LiveGauge;
  prometheus::Gauge &AbandonedGauge;
  prometheus::Gauge &ReadyGauge;
  prometheus::Gauge &RevisionGauge;
  prometheus::Gauge &OutOfReachGauge;
  prometheus::Gauge &WorkDatagramsGauge;
  prometheus::Gauge &WorkBytesGauge;
  std::thread Thread;
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_DECISION_THREAD_BASE_H

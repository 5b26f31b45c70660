/** @file decision_thread_base.h Thread that reads events from rings, makes decisions and sends
 * orders. */
#ifndef POLLENSTALL_ENTRY_DECISION_THREAD_BASE_H
#define POLLENSTALL_ENTRY_DECISION_THREAD_BASE_H

#include "control_link/control_link.h"
#include "decision_core_base.h"
#include "evacuation_metrics_base.h"
#include "relay/relay.h"
#include "uneven_log_base.h"
#include "wakeup_event_base.h"
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

/// Options of the decision thread.
struct decision_options {
  process_key Self;
  /// A fixed declaration, for which no lease is requested; empty if control hosts supply it.
  std::optional<fleet_declaration> FixedDeclaration;
  backend_source Backends{backend_source::Gossip};
  /// Parses the text of a declaration; if empty, the text is parsed as TOML.
  declaration_reader ReadDeclaration;
  std::optional<double> RetryShare; ///< Retries per first attempt; empty: as declared.
  /// Retries of all entries together per window; empty: a fixed reserve for each entry.
  std::optional<double> RetryReserve;
  bool OrderOverEntries{false}; ///< See placement_tuning.
  mono_duration RetryWindow{std::chrono::seconds(10)};
  std::size_t RingCapacity{1U << 16U};
  std::shared_ptr<prometheus::Registry> Registry;
};

/**
 * Owns the dispatcher, the scheduler and the declaration in use; no other thread accesses them.
 * Input rings: callers' events from the relay thread, membership events from the gossip thread, and
 * declarations, leases and claims from the control link. The thread sleeps until a ring has an
 * element or the next timeout is due.
 */
class decision_thread {
public:
  explicit decision_thread(decision_options Requested);
  ~decision_thread();
  decision_thread(const decision_thread &) = delete;
  decision_thread &operator=(const decision_thread &) = delete;

  /// Filled by the relay thread.
  [[nodiscard]] bounded_ring<dispatch_event> &events() { return Events; }
  /// Filled by the relay thread with answers to list_attempts.
  [[nodiscard]] bounded_ring<attempts_listed> &attemptLists() { return Lists; }
  /// Filled by the relay thread.
  [[nodiscard]] bounded_ring<crash_update> &crashUpdates() { return CrashNews; }
  /// Filled by the relay thread.
  [[nodiscard]] bounded_ring<rate_limit_answer> &rateLimits() { return RateLimits; }
  /// Filled by the relay thread.
  [[nodiscard]] bounded_ring<server_notice> &serverNotices() { return ServerNotices; }
  /// Filled by the relay thread.
  [[nodiscard]] bounded_ring<evacuations_in_use> &evacuationReports() { return EvacuationReports; }
  /// Emptied by the relay thread.
  [[nodiscard]] bounded_ring<relay_order> &orders() { return Orders; }
  /// Wakes the thread; for the gossip thread and the control link.
  void wake() { WakeEvent.wake(); }

  /// Sets the control link; call before start().
  void setControlLink(std::unique_ptr<control_link> Link) { Control = std::move(Link); }
  /// Sets the thread that exchanges work reports with other entries; call before start().
  void setWorkShare(work_share &NewShare);
  /// Sets the ring of the gossip thread; call before start().
  void setMembershipEvents(bounded_ring<membership_event> &Source) { MembershipEvents = &Source; }
  void start();
  /// Refuses new requests; admitted ones run to their end or are ended at the limit.
  void beginShutdown(mono_duration Limit);
  /// Stops and joins the thread.
  void stop();

  /// @return Whether new requests are admitted; from any thread.
  [[nodiscard]] bool ready() const { return Ready.isReady(boot_clock::now()); }
  /// @return Whether a newer incarnation of this host runs; from any thread.
  [[nodiscard]] bool superseded() const { return Superseded.load(std::memory_order_relaxed); }
  /// @return Number of abandoned attempts whose end the backend server has not confirmed; from any
  /// thread.
  [[nodiscard]] std::size_t abandoned() const { return Abandoned.load(std::memory_order_relaxed); }
  /// @return State as JSON, or nothing if the thread did not answer within the limit.
  [[nodiscard]] std::optional<std::string> dump(std::chrono::milliseconds Limit);

private:
  void run();
  void runOnce();
  void noteStall();
  void drainInputs(mono_time Now);
  void handleControlEvent(control_link_event &&Event, mono_time Now);
  void handleDeclaration(const declaration_received &Received);
  void reportCrash(crash_report &&Crash);
  void reportCrash(suspect_cleared &&Cleared);
  void reportCrash(suspect_run_begun &&Run);
  void handleEvacuations(const evacuations_changed &Changed, mono_time Now);
  void handleEvacuationsInUse(const evacuations_in_use &Report);
  void forwardEvacuations();
  void confirmEvacuations();
  void countEvacuatedClaims();
  void handleRateLimit(const rate_limit_answer &Answer, mono_time Now);
  void handleNotice(const server_notice &Notice, mono_time Now);
  void handlePermitReply(const permit_reply &Reply, mono_time Now);
  void sendPermitMessages(mono_time Now);
  /// Tells the exchange of permits when the lease ends and returns.
  void reportLease(mono_time Now);
  void reportColdServers(mono_time Now);
  void shareRetries(const entries_listed &Listed, mono_time Now);
  void sendRetryMessages(mono_time Now);
  void publishRetryBudgets(mono_time Now);
  void handleEntries(const entries_listed &Listed, mono_time Now);
  void forwardListings();
  void publishLoads(mono_time Now);
  [[nodiscard]] bool loadsDiffer(const std::vector<work_load> &Loads, mono_time Now) const;
  void installDeclaration(declaration_view View);
  void updateReadiness(mono_time Now);
  void execute(dispatch_action &&Action);
  void cancelOrphans(const attempts_listed &Listed, mono_time Now);
  void fulfilDumps(mono_time Now);
  void publishGauges();
  void logReachability();
  void reportRetries();
  [[nodiscard]] mono_duration sleepDuration(mono_time Now) const;
  /// @return Time until which the declaration may be used.
  [[nodiscard]] mono_time declarationUsableUntil() const;
  /// @return Time until which new requests may be admitted, without further renewals.
  [[nodiscard]] mono_time admissionUntil() const;

  decision_options DecisionOptions;
  bounded_ring<dispatch_event> Events;
  std::vector<dispatch_event> Batch; ///< Events that this iteration has read from the ring.
  bounded_ring<attempts_listed> Lists;
  bounded_ring<crash_update> CrashNews;
  bounded_ring<rate_limit_answer> RateLimits;
  bounded_ring<server_notice> ServerNotices;
  bounded_ring<evacuations_in_use> EvacuationReports;
  bounded_ring<relay_order> Orders;
  event_outbox<relay_order> Outbox;
  bounded_ring<membership_event> *MembershipEvents{nullptr};
  work_share *WorkShare{nullptr};
  const work_share_tuning ShareTuning;
  std::vector<work_load> PublishedLoads;
  std::vector<waiting_load> PublishedWaiting;
  std::uint64_t PublishedClaims{0}; ///< Value of placer::claimsMade() at the last update.
  mono_time LoadsPublishedAt{};
  mono_time RetryBudgetsPublishedAt{};
  double LoggedRetryPart{
      0}; ///< This entry's part of the reserve of retries when it was last logged.
  wakeup_event WakeEvent;
  running_clock Clock;
  std::unique_ptr<control_link> Control;
  declaration_lease DeclarationLease;
  declaration_view Declaration;
  decision_core Core;
  bool Admitting{false};          ///< Whether new requests were admitted at the last check.
  bool NoBackendReachable{false}; ///< Last state of reachability that was logged.
  bool DeclarationSent{false};    ///< Whether the relay has the current declaration.
  bool SentStale{false};    ///< Whether a newer declaration is pending, as last sent to the relay.
  bool AnyDomainOut{false}; ///< As of EvacuationsInUse.
  bool HadLease{false};
  std::atomic<bool> Superseded{false};
  std::atomic<bool> Stopping{false};
  mono_time SentLeaseEnd{}; ///< Lease end last sent to the relay.
  std::uint64_t RejectedDeclarations{0};
  std::optional<evacuations_in_use> EvacuationsInUse; ///< As the relay reported last.
  std::uint64_t CountedEvacuatedClaims{0};

  readiness_deadline Ready;
  std::atomic<std::size_t> Abandoned{0};
  entries_update LastEntries; ///< As last received.
  std::size_t ReportedCold{0};
  std::uint64_t ReportedColdRequests{0};
  std::mutex Guard; ///< Guards the two members below, which other threads set.
  std::vector<std::promise<std::string>> PendingDumps;
  std::optional<mono_duration> PendingShutdown;
  evacuation_metrics Metrics;
  prometheus::Counter &OrphanCounter;
  prometheus::Gauge &QueueGauge;
  prometheus::Gauge &LiveGauge;
  prometheus::Gauge &AbandonedGauge;
  prometheus::Gauge &ReadyGauge;
  prometheus::Gauge &RevisionGauge;
  prometheus::Gauge &OutOfReachGauge;
  uneven_log UnevenServers;
  prometheus::Gauge &LimitedServersGauge;
  prometheus::Gauge &ColdServersGauge;
  prometheus::Counter &ColdRequestsCounter;
  prometheus::Counter &LimitedRequestsCounter;
  prometheus::Family<prometheus::Counter> &RetryFamily;
  prometheus::Gauge &RetryReserveGauge;
  prometheus::Family<prometheus::Gauge> &RetriesLeftFamily;
  prometheus::Family<prometheus::Gauge> &RetriesLentFamily;
  prometheus::Family<prometheus::Gauge> &RetriesBorrowedFamily;
  prometheus::Gauge &PermitDatagramsGauge;
  prometheus::Gauge &WorkDatagramsGauge;
  prometheus::Gauge &WorkBytesGauge;
  std::thread Thread;
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_DECISION_THREAD_BASE_H

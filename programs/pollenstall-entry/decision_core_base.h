/** @file decision_core_base.h Combines dispatcher, scheduler or placer, and selectors, without a
 * thread or a clock. */
#ifndef POLLENSTALL_ENTRY_DECISION_CORE_BASE_H
#define POLLENSTALL_ENTRY_DECISION_CORE_BASE_H

#include "control_link/control_link.h"
#include "declaration/declaration.h"
#include "directory/directory.h"
#include "dispatch/dispatch.h"
#include "evacuation/evacuation.h"
#include "gossip/gossip.h"
#include "orphan/orphan.h"
#include "placement/placement.h"
#include "rate_limit/rate_limit.h"
#include "relay/relay.h"
#include "scheduling/scheduling.h"
#include "work_exchange/work_exchange.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// Where the list of backend servers comes from; it also decides which policy places work on them.
enum class backend_source : std::uint8_t {
  Gossip,  ///< Announcements that the entries gossip; engine performance is learned.
  Control, ///< Directory of the control leader; engine performance is declared.
};

/// Makes the dispatching decisions of one entry; decision_thread drives it.
class decision_core {
public:
  decision_core(const process_key &Self, std::uint64_t Seed, backend_source ConfiguredSource);
  decision_core(const decision_core &) = delete;
  decision_core &operator=(const decision_core &) = delete;

  void useDeclaration(declaration_view View);
  /// Sets the backend servers that operators drain; they get no new work.
  void setDrains(const std::vector<backend_address> &Backends, mono_time Now);
  /// Takes the evacuated failure domains; their backend servers get no new work from now on.
  /// @return Whether the list is newer than the previous one.
  bool setEvacuations(const evacuations_changed &Changed, mono_time Now);
  /// Takes the list with the domains of all servers if one of them changed since the last call;
  /// null otherwise, and before the first list.
  std::shared_ptr<const server_evacuations> takeEvacuationsChange();
  [[nodiscard]] const evacuation_list &evacuations() const { return Evacuations.list(); }
  /// Returns the number of claims that were given up because a server was evacuated.
  [[nodiscard]] std::uint64_t evacuatedClaims() const { return Placer.evacuatedClaims(); }
  /// Sets until when a list of evacuations is known to be the latest.
  void setLeaseEnd(mono_time Until) { LeaseEnd = Until; }
  void handleEvent(const membership_event &Event, mono_time Now);
  void handleEvent(const dispatch_event &Event, mono_time Now);
  void handleEvent(const backends_listed &Listed, mono_time Now);
  /// Updates the changed loads of other entries and the state of the work report exchange.
  void updatePeerLoads(const peer_work_update &Others, mono_time Now) {
    Placer.updateExchange(Others.ExchangeStats);
    Placer.updateOthersLoads(Others.ChangedLoads, Now);
    if (Others.Waiting)
      Placer.updateOthersWaiting(*Others.Waiting, Now);
  }
  [[nodiscard]] std::vector<work_load> ownLoads(mono_time Now) const {
    return Placer.ownLoads(Now);
  }
  /// Sets whether scarce slots are taken in one order of the waiting requests of all entries.
  void setOrderOverEntries(bool Value) { Placer.setOrderOverEntries(Value); }
  [[nodiscard]] std::vector<waiting_load> ownWaiting(mono_time Now) const {
    return Placer.ownWaiting(Now);
  }
  /// @return Whether the backend server has announced that it accepts no new work.
  [[nodiscard]] bool isLeaving(const backend_key &Backend) const;
  /// @return The instance name of the backend server; empty if it has none.
  [[nodiscard]] std::string instanceOf(const backend_key &Backend) const;
  void setRetryAllowance(const retry_allowance &Value, mono_time Now) {
    Dispatcher.setRetryAllowance(Value, Now);
  }
  /// @return The budget of retries that all entries share; nullptr if there is none.
  [[nodiscard]] shared_retry_budget *sharedRetries() { return Dispatcher.sharedRetries(); }
  /// Handles a message of another entry about loans of retries.
  void receiveRetryMessage(const received_retry_message &Received, mono_time Now) {
    Dispatcher.receiveRetryMessage(Received, Now);
  }
  /// Takes the decisions on retries since the last call.
  std::vector<retry_decision> takeRetryDecisions() { return std::exchange(RetryDecisions, {}); }
  /// Records the limit that an answer states. @return How the known limit of its server changed.
  rate_limit_change recordRateLimit(const rate_limit_answer &Answer, mono_time Now);
  /// Records that a server wants no further work from this entry for a time.
  void pauseBackend(const backend_key &Backend, std::chrono::milliseconds Pause, mono_time Now);
  /// Records that a server says itself that it leaves. @return Whether this was not known.
  bool markLeaving(const backend_key &Backend, mono_time Now);
  /// Records a reply of an issuer of permits. @return How the known limit of its server changed.
  rate_limit_change receivePermitReply(const permit_reply &Reply, mono_time Now);
  /// @return Messages to issuers of permits that are due.
  std::vector<permit_message> takePermitMessages(mono_time Now) {
    return Placer.permits().takeMessages(Now);
  }
  [[nodiscard]] std::size_t rateLimitedServers() const { return Placer.permits().limitedServers(); }
  [[nodiscard]] std::size_t coldServers(mono_time Now) const {
    return Placer.permits().coldServers(Now);
  }
  /// @return Permits for cold servers that were used so far.
  [[nodiscard]] std::uint64_t coldPermitsUsed() const { return Placer.permits().coldPermitsUsed(); }
  /// Counts the servers of a failure domain that is back in service as cold.
  void domainRestored(const failure_domain_name &Domain, mono_time Now) {
    PollPending = true;
    Placer.markDomainCold(Domain, Now);
  }
  /// @return How many idle connections to the server this entry may keep.
  [[nodiscard]] std::size_t maxIdleConnections(const backend_key &Backend) const {
    return usesPlacer() ? Placer.maxIdleConnections(Backend) : DefaultMaxIdleConnections;
  }
  /// Takes the listings that changed since the last call.
  std::vector<backend_listing> takeListingChanges() { return std::exchange(ListingChanges, {}); }
  /// @return Address and incarnation of a server, for the log.
  [[nodiscard]] std::string backendText(incarnation Server) const;
  /// Checks the attempts that an engine has listed. @return Cancels for those without a live owner.
  std::vector<cancel_attempt> findOrphans(const attempts_listed &Listed, mono_time Now);
  /// Takes the engines whose attempts are due to be listed.
  std::vector<backend_key> takeEnginesToList(mono_time Now) { return Reaper.takeDueEngines(Now); }
  /// Sets whether new requests are admitted.
  void setReady(bool Ready);
  void beginShutdown(mono_time Now, mono_duration Limit);

  /// Advances the time and places queued work. @return The actions to execute.
  std::vector<dispatch_action> step(mono_time Now);
  /// @return The time by which step() must be called again.
  [[nodiscard]] std::optional<mono_time> nextWake() const;

  /// @return Whether cancel requests are sent to the backend server; true if it is unknown.
  [[nodiscard]] bool supportsCancel(const backend_key &Backend) const;
  /// @return The time until which the backend views are fresh enough to place work.
  [[nodiscard]] mono_time viewsValidUntil() const;
  /// @return Whether a newer incarnation of this host exists, so that this process must stop.
  [[nodiscard]] bool isSuperseded() const { return Superseded; }
  [[nodiscard]] std::size_t liveRequests() const { return Dispatcher.liveRequests(); }
  [[nodiscard]] std::size_t abandonedAttempts() const { return Dispatcher.abandonedAttempts(); }
  [[nodiscard]] bool reachesNoBackend() const { return usesPlacer() && Placer.reachesNoBackend(); }
  [[nodiscard]] std::vector<uneven_server> unevenServers(mono_time Now) const {
    return usesPlacer() ? Placer.unevenServers(Now) : std::vector<uneven_server>();
  }
  /// @return The number of claims on the capacity of engines; no claims of idempotency keys.
  [[nodiscard]] std::uint64_t claimsMade() const { return Placer.claimsMade(); }
  [[nodiscard]] std::size_t queued() const;
  /// @return JSON of requests, queue and backend servers, without prompts or keys.
  [[nodiscard]] std::string dump(mono_time Now);

private:
  [[nodiscard]] bool usesPlacer() const { return Source == backend_source::Control; }
  /// Calls the policy in use. Both have the same functions: the placer serves backend servers from
  /// the control directory, the scheduler those from gossip.
  template <typename Callback> auto withPolicy(Callback &&Call) {
    return usesPlacer() ? Call(Placer) : Call(Scheduler);
  }
  template <typename Callback> [[nodiscard]] auto withPolicy(Callback &&Call) const {
    return usesPlacer() ? Call(Placer) : Call(Scheduler);
  }
  dispatcher_callbacks makeCallbacks();
  std::variant<done, work_refusal> submit(const work_item &WorkItem, mono_time Now);
  void withdraw(request_number Request);
  void onAttemptAnswering(const attempt_id &Attempt, mono_time Now);
  void onListingChanged(const backend_listing &Listing, mono_time Now);
  [[nodiscard]] std::optional<mono_time> nextPoll() const;
  std::vector<candidate_group> groupsFor(const request_facts &Facts) const;
  void onAttemptStarted(const started_attempt &Start, mono_time Now);
  void onAttemptEnded(const attempt_result &Ending, mono_time Now);
  void onBackendChanged(const backend_view &View, mono_time Now);
  void onBackendRemoved(const backend_key &Backend, mono_time Now);
  void place(mono_time Now);
  [[nodiscard]] bool mayPlace(mono_time Now) const;
  void recordDomain(const backend_key &Backend, const failure_domain_name &Domain);
  [[nodiscard]] backend_view withDrain(backend_view View) const;

  backend_source Source;
  declaration_view Declaration;
  orphan_reaper Reaper;
  scheduler Scheduler;
  placer Placer;
  directory_follower Directory;
  std::map<request_number, work_item> Waiting; ///< Submitted work that has no attempt yet.
  std::map<backend_key, backend_view> Backends;
  std::set<backend_address> Drained;
  std::set<backend_key> SaidLeaving; ///< Announced servers whose answers say that they leave.
  server_evacuations Evacuations;
  bool EvacuationsChanged{false}; ///< The list, or the domain of a server.
  mono_time LeaseEnd{mono_time::max()};
  bool PlacementsHeld{false}; ///< At the last step.
  mono_time FreshUntil;
  std::vector<backend_listing> ListingChanges;
  std::vector<retry_decision> RetryDecisions;
  bool PollPending{false};
  bool Superseded{false};
  dispatcher Dispatcher; ///< Its callbacks use the members above.
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_DECISION_CORE_BASE_H

/** @file decision_seam_base.h Joins dispatcher, scheduler and selectors; no thread, no clock. */
#ifndef POLLENSTALL_ENTRY_DECISION_SEAM_BASE_H
#define POLLENSTALL_ENTRY_DECISION_SEAM_BASE_H

#include "control_link/control_link.h"
#include "declaration/declaration.h"
#include "directory/directory.h"
#include "dispatch/dispatch.h"
#include "gossip/gossip.h"
#include "orphan/orphan.h"
#include "placement/placement.h"
#include "relay/relay.h"
#include "scheduling/scheduling.h"
#include "work_exchange/work_exchange.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenstall {

/// Who knows the backend servers, and with it who places work on them.
enum class backend_source : std::uint8_t {
  Gossip,  ///< Announcements spread by the entries; engines' figures are learnt.
  Control, ///< The leading control host's directory; engines' figures are declared.
};

/// One entry's decisions: everything but the thread that runs them.
class decision_seam {
public:
  decision_seam(const process_key &Self, std::uint64_t Seed, backend_source Known);
  decision_seam(const decision_seam &) = delete;
  decision_seam &operator=(const decision_seam &) = delete;

  /// Takes a declaration into use.
  void useDeclaration(declaration_view View);
  /// Operators drain these backend servers; they get no new work.
  void useDrains(const std::vector<backend_address> &Backends, mono_time Now);
  void take(const membership_event &Event, mono_time Now);
  void take(const dispatch_event &Event, mono_time Now);
  void take(const backends_listed &Listed, mono_time Now);
  /// What all other entries have under way, where that changed, and how it is told.
  void takeOthers(const peer_work_update &Others, mono_time Now) {
    Placer.updateExchange(Others.Facts);
    Placer.updateOthersLoads(Others.ChangedLoads, Now);
  }
  [[nodiscard]] std::vector<work_load> ownLoads(mono_time Now) const {
    return Placer.ownLoads(Now);
  }
  /// @return Whether the backend server has said that it takes no new work.
  [[nodiscard]] bool isLeaving(const backend_key &Backend) const;
  /// @return The name that a backend server gives its life; empty where it has none.
  [[nodiscard]] std::string instanceOf(const backend_key &Backend) const;
  void setRetryAllowance(const retry_allowance &Value) { Dispatcher.setRetryAllowance(Value); }
  /// An engine told what it holds. @return What is to be cancelled there for want of an owner.
  std::vector<cancel_attempt> orphansIn(const attempts_listed &Listed, mono_time Now);
  /// @return Engines to be asked for what they hold.
  std::vector<backend_key> enginesToList(mono_time Now) { return Patrol.takeDueEngines(Now); }
  /// Admitted work that was placed on views older than this could go to a server that is leaving.
  void setReady(bool Ready);
  void beginShutdown(mono_time Now, mono_duration Limit);

  /// Lets time pass and places what can be placed. @return What is to be done.
  std::vector<dispatch_action> step(mono_time Now);
  /// @return When step() has something to do at the latest.
  [[nodiscard]] std::optional<mono_time> nextWake() const;

  /// @return Whether the backend server ends attempts on request.
  [[nodiscard]] bool takesCancels(const backend_key &Backend) const;
  /// @return Until when the backend servers are known well enough to place work.
  [[nodiscard]] mono_time viewsUsableUntil() const;
  /// @return Whether a newer life of this host is known, so that this one must stop.
  [[nodiscard]] bool isSuperseded() const { return Superseded; }
  [[nodiscard]] std::size_t liveRequests() const { return Dispatcher.liveRequests(); }
  [[nodiscard]] std::size_t abandonedAttempts() const { return Dispatcher.abandonedAttempts(); }
  [[nodiscard]] bool reachesNoBackend() const { return usesPlacer() && Placer.reachesNoBackend(); }
  [[nodiscard]] std::uint64_t claimsMade() const { return Placer.claimsMade(); }
  [[nodiscard]] std::size_t queued() const;
  /// @return JSON of requests, queue and backend servers, without prompts or keys.
  [[nodiscard]] std::string dump(mono_time Now) const;

private:
  [[nodiscard]] bool usesPlacer() const { return Source == backend_source::Control; }
  /// Both policies have the same calls: the placer serves backend servers that control hosts list,
  /// the scheduler those that entries hear of by gossip.
  template <typename Use> auto withPolicy(Use &&Call) {
    return usesPlacer() ? Call(Placer) : Call(Scheduler);
  }
  template <typename Use> [[nodiscard]] auto withPolicy(Use &&Call) const {
    return usesPlacer() ? Call(Placer) : Call(Scheduler);
  }
  dispatcher_callbacks hooks();
  std::variant<done, work_refusal> submit(const work_item &Item, mono_time Now);
  void withdraw(request_number Request);
  void noteAnswering(const attempt_id &Attempt, mono_time Now);
  void noteListing(const backend_listing &Listing, mono_time Now);
  [[nodiscard]] std::optional<mono_time> nextPoll() const;
  std::vector<candidate_group> groupsFor(const request_facts &Facts) const;
  void noteStart(const started_attempt &Start, mono_time Now);
  void noteEnd(const attempt_result &Ending, mono_time Now);
  void noteBackend(const backend_view &View, mono_time Now);
  void noteGone(const backend_key &Backend, mono_time Now);
  void place(mono_time Now);
  [[nodiscard]] backend_view withDrain(backend_view View) const;

  backend_source Source;
  declaration_view Declaration;
  orphan_reaper Patrol;
  scheduler Scheduler;
  placer Placer;
  directory_follower Directory;
  std::map<request_number, work_item> Waiting; ///< Submitted, without an attempt yet.
  std::map<backend_key, backend_view> Backends;
  std::set<backend_address> Drained;
  mono_time FreshUntil;
  bool PollDue{false};
  bool Superseded{false};
  dispatcher Dispatcher; ///< Its hooks use the members above.
};

} // namespace pollenstall

#endif // POLLENSTALL_ENTRY_DECISION_SEAM_BASE_H

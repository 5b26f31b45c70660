/** @file control_core_base.h The decision thread: runs the replica, the disk and the state. */
#ifndef POLLENSTALL_CONTROL_CONTROL_CORE_BASE_H
#define POLLENSTALL_CONTROL_CONTROL_CORE_BASE_H

#include "control_metrics_base.h"
#include "control_request_type.h"
#include "control_settings_type.h"
#include "control_state/control_state.h"
#include "directory/directory.h"
#include "entry_server_base.h"
#include "offer_queue_base.h"
#include "order_link/order_link.h"
#include "peer_link/peer_link.h"
#include "storage/storage.h"
#include "wake_signal_base.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace pollenstall {

/// Components that the decision thread uses; they must outlive it.
struct control_core_dependencies {
  control_settings Settings;
  wake_signal *Wake{nullptr};
  peer_link *Peers{nullptr};
  entry_listener *Entries{nullptr};
  control_metrics *Metrics{nullptr};
  std::unique_ptr<data_folder> Folder;
  peer_addresses Own;
  std::shared_ptr<order_status_view> Orders; ///< Null if this host sends no orders.
};

/// What the voters survive of the tolerated losses.
struct tolerance_state {
  survivable_losses Survived;
  bool Met{false}; ///< They survive all of them.

  bool operator==(const tolerance_state &) const = default;
};

/**
 * Owns the replica, the data folder and the state; only its thread accesses them. Operators'
 * threads enqueue requests and wait for the answers.
 */
class control_core {
public:
  explicit control_core(control_core_dependencies Dependencies);
  ~control_core();
  control_core(const control_core &) = delete;
  control_core &operator=(const control_core &) = delete;

  void start();

  /// Enqueues an operation and waits for its outcome; callable from any thread.
  /// @return outcome_unknown after Limit.
  control_outcome ask(control_operation Operation, std::chrono::milliseconds Limit);

  /// @return The declaration applied on this host, perhaps not the newest; callable from any
  /// thread.
  std::shared_ptr<const declaration_record> declared() const;

  /// @return The leader lease that orders require, as of the last periodic update; callable from
  /// any thread.
  leader_lease lease() const;

  /// @return Whether the platform's load balancer may send operators here; callable from any
  /// thread.
  [[nodiscard]] bool ready() const { return Ready.load(); }
  /// @return Whether the disk failed or the log cannot be applied. This object must be destroyed
  /// then.
  [[nodiscard]] bool failed() const { return Failed.load(); }
  /// @return Whether the disk was the cause; it may accept writes again later.
  [[nodiscard]] bool diskFailed() const { return DiskFailed.load(); }

private:
  using answer_hook = std::function<void(std::optional<control_answer>)>;
  struct waiting_proposal {
    term_number Term;
    answer_hook Answered;
    mono_time Deadline;
  };
  struct waiting_membership {
    term_number Term;
    std::shared_ptr<std::promise<control_outcome>> Answer;
    mono_time Deadline;
  };
  struct waiting_read {
    std::function<std::string(const control_state &)> Read;
    std::shared_ptr<std::promise<control_outcome>> Answer;
  };

  void run();
  void step();
  void perform();
  /// Writes the batch to the disk. @return False if the disk failed.
  bool flush(std::vector<persist_log> &Batch);

  void performAction(const send_to_member &Action);
  void performAction(const persist_log &Action);
  void performAction(const apply_entry &Action);
  void performAction(const install_snapshot &Action);
  void performAction(const became_leader &Action);
  void performAction(const stepped_down &Action);
  void performAction(const read_ready &Action);
  void performAction(const read_refused &Action);
  void performAction(const take_snapshot &Action);
  void performAction(const admission_requested &Action);
  void performAction(const members_changed &Action);

  void receive(peer_message &&Message);
  /// Stores the addresses of a host.
  /// @param FromItself Whether the host reported its own addresses. @return Whether they are new.
  bool learnAddresses(member_id Member, const peer_addresses &Reported, bool FromItself);
  void answer(control_request &&Request);
  void handleOperation(const get_status &Operation, const control_request &Request);
  void handleOperation(const get_dump &Operation, const control_request &Request);
  void handleOperation(const submit_command &Operation, const control_request &Request);
  void handleOperation(const read_state &Operation, const control_request &Request);
  void handleOperation(const get_evacuations &Operation, const control_request &Request);
  void handleOperation(const admit_member &Operation, const control_request &Request);
  void handleOperation(const remove_member &Operation, const control_request &Request);
  void handleOperation(const announce_backend &Operation, const control_request &Request);
  void handleOperation(const withdraw_backend &Operation, const control_request &Request);
  /// @return Whether this host leads and holds its lease; otherwise the request has been answered.
  bool requireLeadership(const control_request &Request);
  void publishBackends(const std::vector<backend_listing> &Changes, const instance_name &Announcer,
                       const std::shared_ptr<std::promise<control_outcome>> &Reply);
  [[nodiscard]] bool hasUnrecordedLeave(const instance_name &Instance) const;
  void recordBackends(std::vector<backend_listing> Changes,
                      const std::shared_ptr<std::promise<control_outcome>> &Reply);
  void answerOffer(const offer_declaration &Offer, const control_request &Request);
  void answerOffers();
  void answerEvacuation(const set_evacuation &Command, const control_request &Request);
  void answerEvacuations();
  void announceEvacuation(const set_evacuation &Command);
  [[nodiscard]] std::string evacuationsText() const;
  void answerMembership(const proposal_result &Result, const control_request &Request);
  [[nodiscard]] control_outcome refusalOf(const proposal_refusal &Refusal) const;
  [[nodiscard]] control_outcome notLeader(const member_key &Leader) const;

  std::optional<proposal_refusal> propose(const control_command &Command, answer_hook Answered);
  void execute(const log_entry &Entry);
  void completeProposal(const log_entry &Entry, const control_answer &Answer);
  void announceEffects(revision Before, std::uint64_t DrainsBefore);
  void announceSuspects();
  void recordAccepted(mono_time Time);
  void publishDeclared();
  void publishLease(const replica_status &Status);
  void fail(std::string_view Event, const std::string &Why);

  void updatePeriodically();
  void replaceLostMembers(const replica_status &Status);
  /// Logs when the losses that the voters survive change, and whether they are all that the
  /// settings require.
  void reportTolerance(const replica_status &Status, const member_repair_options &Options);
  [[nodiscard]] member_id self() const { return Parts.Folder->identity().Key.Member; }
  void updateLinkMetrics();
  void expireWaiters();
  void expireClaims();
  void reportInForce();
  [[nodiscard]] entry_server_callbacks entryServerCallbacks();
  [[nodiscard]] const peer_addresses *addressesOf(const member_key &Member) const;
  [[nodiscard]] std::string statusText();
  [[nodiscard]] std::string dumpText();

  control_core_dependencies Parts;
  control_limits Limits;
  replica Replica;
  control_state State;
  entry_server EntryServer;
  backend_directory Directory; ///< Filled while this host leads.
  mono_time Now{};             ///< Read at each step, and again before any use of the lease.
  log_index Applied;
  member_set Members; ///< Committed. A proposed change may be lost with this leader.
  std::map<log_index, waiting_proposal> Proposals;
  offer_queue Offers;
  /// Senders of evacuations that are in the log. Their revisions are versions of the list.
  offer_queue EvacuationWaiters;
  std::map<log_index, waiting_membership> Memberships;
  std::map<read_id, waiting_read> Reads;
  read_id LastRead;
  std::optional<read_id> LeadershipRead; ///< This host starts to lead when it completes.
  std::map<member_id, peer_addresses> Addresses;
  std::set<member_id> ReplacedMembers; ///< Their addresses are now used by other members.
  std::map<member_id, std::pair<member_key, mono_time>> Applicants;
  /// Accepted during this leadership, not yet in force.
  std::map<revision, mono_time> AwaitingInForce;
  mono_time NextClaimExpiry{};
  mono_time NextRepair{};
  std::optional<tolerance_state> Tolerance; ///< Last reported; only while this host leads.

  std::mutex RequestMutex; ///< Serializes the operators' threads as one producer.
  bounded_ring<control_request> Requests;
  mutable std::mutex DeclaredMutex;
  std::shared_ptr<const declaration_record> Published;
  mutable std::mutex LeaseMutex;
  leader_lease Lease;
  std::atomic<bool> Ready{false};
  std::atomic<bool> Failed{false};
  std::atomic<bool> DiskFailed{false};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONTROL_CONTROL_CORE_BASE_H

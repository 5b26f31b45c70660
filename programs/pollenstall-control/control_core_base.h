/** @file control_core_base.h The decision thread: drives the replica, the disk and the state. */
#ifndef POLLENSTALL_CONTROL_CONTROL_CORE_BASE_H
#define POLLENSTALL_CONTROL_CONTROL_CORE_BASE_H

#include "control_metrics_base.h"
#include "control_request_type.h"
#include "control_settings_type.h"
#include "control_state/control_state.h"
#include "directory/directory.h"
#include "entry_desk_base.h"
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

/// The parts that the decision thread is joined to; they outlive it.
struct control_core_parts {
  control_settings Settings;
  wake_signal *Wake{nullptr};
  peer_link *Peers{nullptr};
  entry_hub *Entries{nullptr};
  control_metrics *Metrics{nullptr};
  std::unique_ptr<data_folder> Folder;
  peer_addresses Own;
  std::shared_ptr<order_status_view> Orders; ///< Null where this host sends no orders.
};

/**
 * Owns everything that decides. Its thread alone touches the replica, the data folder and the
 * state; operators' threads hand requests over and wait for the answers.
 */
class control_core {
public:
  explicit control_core(control_core_parts Given);
  ~control_core();
  control_core(const control_core &) = delete;
  control_core &operator=(const control_core &) = delete;

  void start();

  /// Asks and waits; callable from any thread. @return outcome_unknown after Limit.
  control_outcome ask(control_question Question, std::chrono::milliseconds Limit);

  /// @return The declaration as applied here, perhaps not the newest; callable from any thread.
  std::shared_ptr<const declaration_record> declared() const;

  /// @return The lease that orders need, as of the last look; callable from any thread.
  leader_lease lease() const;

  /// @return Whether the platform's balancer may send operators here; callable from any thread.
  [[nodiscard]] bool ready() const { return Ready.load(); }
  /// @return Whether the disk failed or the log cannot be carried out: this object must go.
  [[nodiscard]] bool failed() const { return Failed.load(); }
  /// @return Whether it was the disk: it may take writes again later.
  [[nodiscard]] bool diskFailed() const { return DiskFailed.load(); }

private:
  using answer_hook = std::function<void(std::optional<control_answer>)>;
  struct waiting_proposal {
    term_number Term;
    answer_hook Answered;
    mono_time GiveUp;
  };
  struct waiting_membership {
    term_number Term;
    std::shared_ptr<std::promise<control_outcome>> Answer;
    mono_time GiveUp;
  };
  struct waiting_read {
    std::function<std::string(const control_state &)> Read;
    std::shared_ptr<std::promise<control_outcome>> Answer;
  };

  void run();
  void step();
  void perform();
  /// @return False where the disk failed.
  bool flush(std::vector<persist_log> &Batch);

  void carryOut(const send_to_member &Action);
  void carryOut(const persist_log &Action);
  void carryOut(const apply_entry &Action);
  void carryOut(const install_snapshot &Action);
  void carryOut(const became_leader &Action);
  void carryOut(const stepped_down &Action);
  void carryOut(const read_ready &Action);
  void carryOut(const read_refused &Action);
  void carryOut(const take_snapshot &Action);
  void carryOut(const admission_requested &Action);
  void carryOut(const members_changed &Action);

  void receive(peer_message &&Message);
  /// @param FirstHand Told by the host itself. @return Whether that was news.
  bool learnAddresses(member_id Member, const peer_addresses &Told, bool FirstHand);
  void answer(control_request &&Request);
  void answerQuestion(const status_wanted &Question, const control_request &Request);
  void answerQuestion(const dump_wanted &Question, const control_request &Request);
  void answerQuestion(const command_wanted &Question, const control_request &Request);
  void answerQuestion(const read_wanted &Question, const control_request &Request);
  void answerQuestion(const admission_wanted &Question, const control_request &Request);
  void answerQuestion(const expulsion_wanted &Question, const control_request &Request);
  void answerQuestion(const announcement_wanted &Question, const control_request &Request);
  void answerQuestion(const withdrawal_wanted &Question, const control_request &Request);
  /// @return Whether this host may speak for the fleet now; otherwise the request was answered.
  bool mayServe(const control_request &Request);
  void noteBackends(const std::vector<backend_listing> &Changes, const instance_name &Speaker,
                    const std::shared_ptr<std::promise<control_outcome>> &Asker);
  [[nodiscard]] bool leavesUnkept(const instance_name &Instance) const;
  void keepBackends(std::vector<backend_listing> Changes,
                    const std::shared_ptr<std::promise<control_outcome>> &Asker);
  void answerOffer(const offer_declaration &Offer, const control_request &Request);
  void answerOffers();
  void answerMembership(const proposal_result &Result, const control_request &Request);
  [[nodiscard]] control_outcome refusalOf(const proposal_refusal &Refusal) const;
  [[nodiscard]] control_outcome elsewhere(const member_key &Leader) const;

  std::optional<proposal_refusal> propose(const control_command &Command, answer_hook Answered);
  void execute(const log_entry &Entry);
  void completeProposal(const log_entry &Entry, const control_answer &Answer);
  void announceEffects(revision Before, std::uint64_t DrainsBefore);
  void announceSuspects();
  void noteAccepted(mono_time Time);
  void publishDeclared();
  void publishLease(const replica_status &Status);
  void fail(std::string_view Event, const std::string &Why);

  void watchTime();
  void replaceLostMembers(const replica_status &Status);
  [[nodiscard]] member_id self() const { return Parts.Folder->identity().Key.Member; }
  void countLinks();
  void giveUpOldWaits();
  void expireClaims();
  void reportInForce();
  [[nodiscard]] entry_desk_hooks deskHooks();
  [[nodiscard]] const peer_addresses *addressesOf(const member_key &Member) const;
  [[nodiscard]] std::string statusText();
  [[nodiscard]] std::string dumpText();

  control_core_parts Parts;
  control_limits Limits;
  replica Replica;
  control_state State;
  entry_desk Desk;
  backend_directory Directory; ///< Filled while this host is in office.
  mono_time Now{}; ///< Read at each step and again before anything that needs the lease.
  log_index Applied;
  member_set Members; ///< Committed. One that is only proposed may be lost with this leader.
  std::map<log_index, waiting_proposal> Proposals;
  offer_queue Offers;
  std::map<log_index, waiting_membership> Memberships;
  std::map<read_id, waiting_read> Reads;
  read_id LastRead;
  std::optional<read_id> OfficeRead; ///< Its answer opens the office.
  std::map<member_id, peer_addresses> Addresses;
  std::set<member_id> Emptied; ///< Members at whose addresses others have come up.
  std::map<member_id, std::pair<member_key, mono_time>> Applicants;
  std::map<revision, mono_time> AwaitingForce; ///< Accepted in this office, not yet in force.
  mono_time NextClaimExpiry{};
  mono_time NextRepair{};

  std::mutex RequestMutex; ///< Makes the operators' threads one producer.
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

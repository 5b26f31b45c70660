/** @file replica_core_base.h Implementation of class replica. */
#ifndef POLLENSTALL_CONSENSUS_REPLICA_CORE_BASE_H
#define POLLENSTALL_CONSENSUS_REPLICA_CORE_BASE_H

#include "consensus/follower_progress_base.h"
#include "consensus/member_history_base.h"
#include "consensus/member_set_func.h"
#include "consensus/persist_tracker_base.h"
#include "consensus/replica_base.h"
#include "consensus/replica_log_base.h"
#include "consensus/role_base.h"

#include <map>
#include <set>

namespace pollenstall {

/// Arguments of replica_core's constructor, collected by replica_builder.
struct replica_arguments {
  member_key Self;
  replica_options Options;
  restored_log State;
  std::vector<member_id> Peers;
  cluster_id NewCluster; ///< 0 if this host may not bootstrap the cluster.
  std::uint64_t Seed{0};
};

/// Implements replica. The definitions are in replica_core.cpp, _election, _follower, _leader,
/// _lease, _member, _read, _snapshot and _dump.
class replica_core {
public:
  replica_core(replica_arguments Arguments, mono_time Now);

  void tick(mono_time Now);
  void receive(consensus_message Message, mono_time Now);
  void persisted(persist_number Number, mono_time Now);
  proposal_result propose(std::string Payload, mono_time Now);
  void readIndex(read_id Read, mono_time Now);
  bool snapshotTaken(log_index Index, std::string State, mono_time Now);
  proposal_result admit(const member_key &Key, mono_time Now);
  proposal_result expel(member_id Member, mono_time Now);
  proposal_result promote(const member_key &Key, mono_time Now);
  void addPeer(member_id Peer);
  void setDomain(member_id Member, failure_domain_name Domain);
  std::vector<consensus_action> takeActions(mono_time Now);

  [[nodiscard]] bool leaseValid(mono_time Now) const;
  [[nodiscard]] mono_time leaseEnd() const;
  [[nodiscard]] replica_status status(mono_time Now) const;
  [[nodiscard]] std::string dump() const;

private:
  /// A message to be sent once the write RequiredPersist is confirmed.
  struct deferred_message {
    persist_number RequiredPersist;
    consensus_message Message;
  };

  /// A host that has reported that its disk is empty.
  struct empty_peer {
    member_key Key;
    mono_time ReportedAt; ///< Of the last report.
  };

  /// A read that waits until a quorum confirms that this replica still leads.
  struct pending_read {
    read_id Read;
    std::uint64_t Round{0}; ///< 0 until an entry of the leader's term is committed.
    log_index Index;
  };

  // replica_core.cpp: events, terms, outgoing messages.
  void restoreMembers(const log_entry &Entry);
  void beginEvent(mono_time Now);
  void checkInvariant(bool Holds, std::string_view Condition) const;
  [[nodiscard]] replica_role role() const { return Role.current(); }
  [[nodiscard]] const member_set &members() const { return History.current(); }
  [[nodiscard]] cluster_id cluster() const { return members().Cluster; }
  [[nodiscard]] bool isEmpty() const;
  [[nodiscard]] bool acceptsMessage(const consensus_message &Message) const;
  void setHardState(hard_state Next);
  void adoptTerm(term_number Term);
  /// Ends any leadership or candidacy and forgets the leader.
  void stepDown();
  [[nodiscard]] consensus_message makeMessage(const member_key &To, consensus_body Body) const;
  void sendNow(const member_key &To, consensus_body Body);
  void reply(const consensus_message &Request, consensus_body Body, persist_number RequiredPersist);
  void sendDeferredMessages();
  void setCommit(log_index Index);
  void applyCommitted();

  // replica_core_election.cpp
  [[nodiscard]] bool mayVote(mono_time Now) const;
  void recordLeaderContact(mono_time Now);
  void randomizeElectionDeadline(mono_time Now);
  void randomizeEarlyDeadline(mono_time Now, mono_duration Delay);
  void recordFollowedLeader(const member_key &Member);
  void handleWillNotLead(const consensus_message &Message, mono_time Now);
  void startPreVote(mono_time Now);
  void becomeCandidate(mono_time Now);
  void countOwnVote();
  void countVotes(mono_time Now);
  void becomeLeader(mono_time Now);
  void receiveBody(const consensus_message &Message, const pre_vote_request &Request,
                   mono_time Now);
  void receiveBody(const consensus_message &Message, const pre_vote_reply &Reply, mono_time Now);
  void receiveBody(const consensus_message &Message, const vote_request &Request, mono_time Now);
  void receiveBody(const consensus_message &Message, const vote_reply &Reply, mono_time Now);

  // replica_core_follower.cpp
  bool acceptLeader(const consensus_message &Message, mono_time Now);
  [[nodiscard]] bool isWellFormed(const append_request &Request, term_number Term) const;
  void rejectAppend(const consensus_message &Message, const append_request &Request);
  void storeEntries(const consensus_message &Message, const append_request &Request);
  bool storeEntry(const log_entry &Entry);
  void receiveBody(const consensus_message &Message, append_request &Request, mono_time Now);
  void receiveBody(const consensus_message &Message, snapshot_request &Request, mono_time Now);

  // replica_core_leader.cpp
  follower_progress *progressOf(const member_key &Key);
  log_index appendAsLeader(entry_kind Kind, std::string Payload);
  void resetProgress();
  void broadcast();
  void sendEntries(follower_progress &Progress);
  void sendAppend(follower_progress &Progress, std::vector<log_entry> Entries);
  void sendSnapshot(follower_progress &Progress);
  void sendHeartbeat(follower_progress &Progress);
  void advanceCommit();
  void receiveBody(const consensus_message &Message, const append_reply &Reply, mono_time Now);

  // replica_core_lease.cpp
  [[nodiscard]] std::optional<mono_time> quorumContactTime(mono_time Now) const;
  void checkQuorum(mono_time Now);
  void handleClockJump(mono_time Now);
  [[nodiscard]] bool isClockJump(mono_time Now) const;

  // replica_core_read.cpp
  void startReads();
  void answerReads();
  void refuseReads();

  // replica_core_member.cpp
  void adoptMembers(log_index Index, member_set Set);
  void handleMembersChange();
  proposal_result proposeMembers(member_set Set);
  [[nodiscard]] std::optional<proposal_refusal> checkMembershipChange(const member_set &Set) const;
  void promoteLearner(mono_time Now);
  [[nodiscard]] bool shouldRequestAdmission(mono_time Now) const;
  void requestAdmission(mono_time Now);
  void bootstrapWhenReady(mono_time Now);
  [[nodiscard]] std::optional<member_set> initialMembers(mono_time Now) const;
  [[nodiscard]] std::optional<member_set> allPeersAsVoters() const;
  void receiveBody(const consensus_message &Message, const admission_request &Request,
                   mono_time Now);
  void receiveBody(const consensus_message &Message, const bootstrap_probe &Probe, mono_time Now);

  // replica_core_snapshot.cpp
  void requestSnapshot();

  member_key Self;
  replica_options Options;
  std::vector<member_id> Peers;
  cluster_id NewCluster;
  random_source Random;

  hard_state Hard;
  replica_log Log;
  member_history History;
  std::shared_ptr<const log_snapshot> Snapshot;
  persist_tracker PersistTracker;
  role_machine Role;
  log_index Commit;
  log_index Applied;
  member_key Leader;

  mono_time LastEvent; ///< The newest time seen.
  /// Time of the last message from a leader. Initially the start time, because earlier contacts are
  /// not known after a restart.
  mono_time LastLeaderContact;
  mono_time ElectionDeadline;    ///< When a voter starts an election.
  mono_time EarlyElectionsUntil; ///< Until then elections follow each other after a short timeout.
  /// The leader that this member replied to last no longer leads, so no lease depends on the reply.
  bool LeaseReleased{false};
  /// End of the lease that this process held when it stepped down. Writes permitted by the lease
  /// may still happen until then, so this member does not report earlier that it no longer leads.
  mono_time FormerLeaseEnd;
  mono_time NextHeartbeat;
  mono_time NextAdmissionRequest;

  std::set<member_key> Votes;    ///< Votes or pre-votes granted in this election.
  persist_number OwnVotePersist; ///< The write of a candidate's vote for itself.

  std::vector<follower_progress> Followers; ///< Leader only: the other members.
  term_number LastLedTerm;                  ///< The last term that this process led.
  mono_time LeadingSince;
  log_index TermStartIndex; ///< Index of the leader's no-op entry.
  std::uint64_t NextRound{1};
  std::uint64_t LeaseRound{0}; ///< Replies to earlier rounds do not count for the lease.
  bool HeartbeatPending{false};
  std::vector<pending_read> PendingReads;

  bool SnapshotRequested{false};
  log_index SnapshotRequestIndex;
  std::map<member_id, empty_peer> EmptyPeers;       ///< Bootstrapping host only.
  std::map<member_id, failure_domain_name> Domains; ///< Of the hosts that reported theirs.
  mono_time StartedAt;

  std::vector<deferred_message> DeferredMessages;
  std::vector<consensus_action> Actions;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_REPLICA_CORE_BASE_H

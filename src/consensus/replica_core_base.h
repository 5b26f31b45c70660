/** @file replica_core_base.h The state of a replica and its steps; replica hides it. */
#ifndef POLLENSTALL_CONSENSUS_REPLICA_CORE_BASE_H
#define POLLENSTALL_CONSENSUS_REPLICA_CORE_BASE_H

#include "consensus/follower_progress_base.h"
#include "consensus/member_history_base.h"
#include "consensus/member_set_func.h"
#include "consensus/persist_ledger_base.h"
#include "consensus/replica_base.h"
#include "consensus/replica_log_base.h"
#include "consensus/role_base.h"

#include <map>
#include <set>

namespace pollenstall {

/// What replica_builder gathers.
struct replica_parts {
  member_key Self;
  replica_options Options;
  restored_log State;
  std::vector<member_id> Peers;
  cluster_id Fresh; ///< 0 where this host may not found the log.
  std::uint64_t Seed{0};
};

/// Split by duty over replica_core.cpp, _election, _follower, _leader, _lease, _member, _read,
/// _snapshot and _dump.
class replica_core {
public:
  replica_core(replica_parts Parts, mono_time Now);

  void tick(mono_time Now);
  void receive(consensus_message Message, mono_time Now);
  void persisted(persist_number Number, mono_time Now);
  proposal_result propose(std::string Payload, mono_time Now);
  void readIndex(read_id Read, mono_time Now);
  bool snapshotTaken(log_index Index, std::string State, mono_time Now);
  proposal_result admit(const member_key &Key, mono_time Now);
  proposal_result expel(member_id Member, mono_time Now);
  proposal_result promote(const member_key &Key, mono_time Now);
  void learnPeer(member_id Peer);
  std::vector<consensus_action> takeActions(mono_time Now);

  [[nodiscard]] bool leaseValid(mono_time Now) const;
  [[nodiscard]] mono_time leaseEnd() const;
  [[nodiscard]] replica_status status(mono_time Now) const;
  [[nodiscard]] std::string dump() const;

private:
  /// A message that may go out once the disk has confirmed Needs.
  struct held_message {
    persist_number Needs;
    consensus_message Message;
  };

  /// A read that waits for a quorum to confirm the leader.
  struct waiting_read {
    read_id Read;
    std::uint64_t Round{0}; ///< 0 while nothing of the leader's term is committed.
    log_index Index;
  };

  // replica_core.cpp: events, terms, messages out.
  void restoreMembers(const log_entry &Entry);
  void enter(mono_time Now);
  void check(bool Holds, std::string_view Name) const;
  [[nodiscard]] replica_role role() const { return Role.current(); }
  [[nodiscard]] const member_set &members() const { return History.current(); }
  [[nodiscard]] cluster_id cluster() const { return members().Cluster; }
  [[nodiscard]] bool isEmpty() const;
  [[nodiscard]] bool isAddressedHere(const consensus_message &Message) const;
  void setHardState(hard_state Next);
  void adoptTerm(term_number Term);
  void leaveOffice();
  [[nodiscard]] consensus_message makeMessage(const member_key &To, consensus_body Body) const;
  void sendNow(const member_key &To, consensus_body Body);
  void reply(const consensus_message &Request, consensus_body Body, persist_number Needs);
  void release();
  void setCommit(log_index Index);
  void applyCommitted();

  // replica_core_election.cpp
  [[nodiscard]] bool mayVote(mono_time Now) const;
  void heardLeader(mono_time Now);
  void drawElectionDeadline(mono_time Now);
  void drawEarlyDeadline(mono_time Now, mono_duration After);
  void follow(const member_key &Member);
  void noteLeadsNoMore(const consensus_message &Message, mono_time Now);
  void stand(mono_time Now);
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
  bool followSender(const consensus_message &Message, mono_time Now);
  [[nodiscard]] bool isWellFormed(const append_request &Request, term_number Term) const;
  void rejectAppend(const consensus_message &Message, const append_request &Request);
  void takeEntries(const consensus_message &Message, const append_request &Request);
  bool storeEntry(const log_entry &Entry);
  void receiveBody(const consensus_message &Message, append_request &Request, mono_time Now);
  void receiveBody(const consensus_message &Message, snapshot_request &Request, mono_time Now);

  // replica_core_leader.cpp
  follower_progress *progressOf(const member_key &Key);
  log_index appendOwn(entry_kind Kind, std::string Payload);
  void resetProgress();
  void broadcast();
  void sendEntries(follower_progress &Progress);
  void sendAppend(follower_progress &Progress, std::vector<log_entry> Entries);
  void sendSnapshot(follower_progress &Progress);
  void sendHeartbeat(follower_progress &Progress);
  void advanceCommit();
  void receiveBody(const consensus_message &Message, const append_reply &Reply, mono_time Now);

  // replica_core_lease.cpp
  [[nodiscard]] std::optional<mono_time> quorumHeardAt(mono_time Now) const;
  void checkQuorum(mono_time Now);
  void noteClockJump(mono_time Now);
  [[nodiscard]] bool isClockJump(mono_time Now) const;

  // replica_core_read.cpp
  void startReads();
  void answerReads();
  void refuseReads();

  // replica_core_member.cpp
  void putMembers(log_index Index, member_set Set);
  void membersChanged();
  proposal_result proposeMembers(member_set Set);
  [[nodiscard]] std::optional<proposal_refusal> refuseChange(const member_set &Set) const;
  void promoteLearner(mono_time Now);
  [[nodiscard]] bool mustAskToJoin(mono_time Now) const;
  void askToJoin(mono_time Now);
  void foundWhenAllAreEmpty();
  void receiveBody(const consensus_message &Message, const admission_request &Request,
                   mono_time Now);
  void receiveBody(const consensus_message &Message, const founder_probe &Probe, mono_time Now);

  // replica_core_snapshot.cpp
  void askForSnapshot();

  member_key Self;
  replica_options Options;
  std::vector<member_id> Peers;
  cluster_id Fresh;
  random_source Random;

  hard_state Hard;
  replica_log Log;
  member_history History;
  std::shared_ptr<const log_snapshot> Snapshot;
  persist_ledger Ledger;
  role_machine Role;
  log_index Commit;
  log_index Applied;
  member_key Leader;

  mono_time LastEvent; ///< The newest time seen.
  mono_time LastHeard; ///< From a leader; or the start, as what was heard before is forgotten.
  mono_time ElectionDeadline; ///< A voter stands then.
  mono_time EarlyUntil;       ///< Until then it stands again after a short time.
  /// The leader that was answered last leads no more: its lease counts on nobody.
  bool PromiseOver{false};
  /// End of the lease with which this process left office. What was allowed under it may be written
  /// until then, so nobody is told before that this member leads no more.
  mono_time LedUntil;
  mono_time NextHeartbeat;
  mono_time NextJoin;

  std::set<member_key> Votes;  ///< Granted in this election, also those of a pre-vote.
  persist_number OwnVoteNeeds; ///< Confirms a candidate's vote for itself.

  std::vector<follower_progress> Followers; ///< A leader's view of the other members.
  term_number LedTerm;                      ///< Term of the last leadership that was announced.
  mono_time LeadingSince;
  log_index FirstOwnIndex; ///< The leader's no-op.
  std::uint64_t NextRound{1};
  std::uint64_t LeaseRound{0}; ///< Answers to earlier messages do not count for the lease.
  bool HeartbeatWanted{false};
  std::vector<waiting_read> Reads;

  bool SnapshotAsked{false};
  log_index SnapshotAskedAt;
  std::map<member_id, member_key> Joined; ///< Peers that told this founder they are empty.

  std::vector<held_message> Held;
  std::vector<consensus_action> Actions;
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_REPLICA_CORE_BASE_H

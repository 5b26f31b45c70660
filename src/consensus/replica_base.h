/** @file replica_base.h One member of the replicated log: events in, actions out. */
#ifndef POLLENSTALL_CONSENSUS_REPLICA_BASE_H
#define POLLENSTALL_CONSENSUS_REPLICA_BASE_H

#include "consensus/consensus_type.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

class replica_core;

/// How far one member is, as the leader knows it.
struct member_progress {
  log_member Member;
  log_index Match;            ///< Known to be on its disk.
  mono_duration SinceHeard{}; ///< Since the send time of the last message it answered.
};

/// What a replica says of itself, for status pages.
struct replica_status {
  member_key Self;
  replica_role Role{replica_role::Learner};
  term_number Term;
  member_key Leader; ///< Member 0 where none is known.
  log_index Commit;
  log_index Applied;
  log_index LastIndex;
  log_index SnapshotIndex;
  bool LeaseValid{false};
  bool Empty{true}; ///< Nothing was founded here and nobody let this disk in.
  member_set Members;
  std::vector<member_progress> Progress; ///< On a leader only.
};

/**
 * Raft (Ongaro 2014) with pre-vote, check-quorum, a leader lease, read index, learners and
 * single-server membership changes. Pure: no files, sockets, threads or clocks. Each call takes the
 * time now; takeActions() then says what is to be done.
 */
class replica {
public:
  ~replica();
  replica(replica &&) noexcept;
  replica &operator=(replica &&) noexcept;

  /// To be called at least every heartbeat interval.
  void tick(mono_time Now);
  /// A message arrived; whatever it says, it was decoded and bounded in size before.
  void receive(consensus_message Message, mono_time Now);
  /// All persist actions up to Number are durable.
  void persisted(persist_number Number, mono_time Now);
  /// @return Where the payload stands in the log, or why it was not taken.
  proposal_result propose(std::string Payload, mono_time Now);
  /// Asks for a linearizable read: answered by read_ready or read_refused.
  void readIndex(read_id Read, mono_time Now);
  /// Answers take_snapshot. @param Index What State includes. @return False where it is over the
  /// bound or older than the snapshot there is.
  bool snapshotTaken(log_index Index, std::string State, mono_time Now);

  /// Leader: lets a disk in as a learner, in place of an older disk of the same id; it is promoted
  /// by itself once it has caught up.
  proposal_result admit(const member_key &Key, mono_time Now);
  /// Leader: takes a member out.
  proposal_result expel(member_id Member, mono_time Now);
  /// Leader: lets a learner vote, also beyond the target of voters.
  proposal_result promote(const member_key &Key, mono_time Now);
  /// A host was heard of that may let this disk in while it belongs to no log.
  void learnPeer(member_id Peer);

  /// @return What is to be done, in order. Entries proposed since the last call go out in batches.
  std::vector<consensus_action> takeActions(mono_time Now);

  /// @return Whether no other member can be a leader with a lease now.
  [[nodiscard]] bool leaseValid(mono_time Now) const;
  /// @return When the lease ends unless renewed; the epoch where there is none.
  [[nodiscard]] mono_time leaseEnd() const;
  [[nodiscard]] replica_status status(mono_time Now) const;
  /// @return The whole state as text without payloads.
  [[nodiscard]] std::string dump() const;

private:
  friend class replica_builder;
  explicit replica(std::unique_ptr<replica_core> Made);

  std::unique_ptr<replica_core> Core;
};

/// Builds a replica from what its disk held.
class replica_builder {
public:
  explicit replica_builder(member_key Key);

  replica_builder &options(const replica_options &Bounds);
  replica_builder &restored(restored_log State);
  /// Members whom an empty disk asks to be let in: all of the settings' control hosts.
  replica_builder &peers(std::vector<member_id> Ids);
  /**
   * This host may found the log, once every peer has said that its disk is empty too; with a target
   * of voters, once so many disks are known to be empty. Safe to leave in the settings: a founder
   * that lost its disk finds peers that are not empty and joins instead.
   * @param Fresh A random id for the log.
   */
  replica_builder &founder(cluster_id Fresh);
  /// Draws election timeouts.
  replica_builder &seed(std::uint64_t Seed);
  /// @param Now When the process started: no vote is given for a minimum election timeout.
  [[nodiscard]] replica build(mono_time Now);

private:
  member_key Self;
  replica_options Options;
  restored_log State;
  std::vector<member_id> Peers;
  cluster_id Cluster;
  std::uint64_t Seed{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_REPLICA_BASE_H

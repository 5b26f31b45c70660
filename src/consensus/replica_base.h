/** @file replica_base.h One member of the replicated log: events in, actions out. */
#ifndef POLLENSTALL_CONSENSUS_REPLICA_BASE_H
#define POLLENSTALL_CONSENSUS_REPLICA_BASE_H

#include "consensus/consensus_type.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pollenstall {

class replica_core;

/// Replication progress of one member, as known by the leader.
struct member_progress {
  log_member Member;
  log_index Match;                ///< Last index known to be durable on the member.
  mono_duration SinceLastReply{}; ///< Since the send time of the last message with a reply.
};

/// State of a replica for status pages.
struct replica_status {
  member_key Self;
  replica_role Role{replica_role::Learner};
  term_number Term;
  member_key Leader; ///< Member 0 if no leader is known.
  log_index Commit;
  log_index Applied;
  log_index LastIndex;
  log_index SnapshotIndex;
  bool LeaseValid{false};
  bool Empty{true}; ///< The cluster is not bootstrapped here, or this disk is not admitted yet.
  member_set Members;
  std::vector<member_progress> Progress;            ///< On a leader only.
  std::map<member_id, failure_domain_name> Domains; ///< Those known, of members and other hosts.
};

/**
 * Raft (Ongaro 2014) with pre-vote, check-quorum, a leader lease, read index, learners and
 * single-server membership changes. It uses no files, sockets, threads or clocks. Each call takes
 * the current time; takeActions() then returns the actions to execute.
 */
class replica {
public:
  ~replica();
  replica(replica &&) noexcept;
  replica &operator=(replica &&) noexcept;

  /// Advances the replica's timers. Must be called at least once per heartbeat interval.
  void tick(mono_time Now);
  /// Handles a message, which must be decoded and limited in size; its contents are not trusted.
  void receive(consensus_message Message, mono_time Now);
  /// Reports that all persist actions up to Number are durable.
  void persisted(persist_number Number, mono_time Now);
  /// @return The position of the payload in the log, or why it was refused.
  proposal_result propose(std::string Payload, mono_time Now);
  /// Requests a linearizable read. The reply is read_ready or read_refused.
  void readIndex(read_id Read, mono_time Now);
  /// Completes take_snapshot. @param Index Last entry that State includes. @return False if State
  /// exceeds the size limit or is not newer than the current snapshot.
  bool snapshotTaken(log_index Index, std::string State, mono_time Now);

  /// Leader only: adds a disk as a learner, in place of an older disk of the same id. Without
  /// replica_options::Tolerance the learner is promoted automatically once it has caught up.
  proposal_result admit(const member_key &Key, mono_time Now);
  /// Leader only: removes a member.
  proposal_result expel(member_id Member, mono_time Now);
  /// Leader only: promotes a learner to voter, even one that the tolerated losses do not require.
  proposal_result promote(const member_key &Key, mono_time Now);
  /// Adds a host from which this disk requests admission while it is not a member.
  void addPeer(member_id Peer);
  /// Records the failure domain that a host, perhaps this one, is in.
  void setDomain(member_id Member, failure_domain_name Domain);

  /// @return The actions to execute, in order. Entries proposed since the last call are batched.
  std::vector<consensus_action> takeActions(mono_time Now);

  /// @return Whether this replica holds a lease, so that no other member can act as leader now.
  [[nodiscard]] bool leaseValid(mono_time Now) const;
  /// @return When the lease ends unless it is renewed; the clock's epoch if there is no lease.
  [[nodiscard]] mono_time leaseEnd() const;
  [[nodiscard]] replica_status status(mono_time Now) const;
  /// @return The state as text, without payloads.
  [[nodiscard]] std::string dump() const;

private:
  friend class replica_builder;
  explicit replica(std::unique_ptr<replica_core> NewCore);

  std::unique_ptr<replica_core> Core;
};

/// Builds a replica from the contents of its disk.
class replica_builder {
public:
  explicit replica_builder(member_key Key);

  replica_builder &options(const replica_options &NewOptions);
  replica_builder &restored(restored_log State);
  /// Sets the hosts from which this disk requests admission while it is not a member: all control
  /// hosts in the settings.
  replica_builder &peers(std::vector<member_id> Ids);
  /**
   * Allows this host to bootstrap the cluster once every peer has reported that its disk is empty;
   * with replica_options::Tolerance, once the empty disks survive those losses, or after
   * BootstrapWait with as many hosts absent as are tolerated. It is safe to leave this set: a
   * bootstrapping host that lost its disk finds peers that are not empty and joins them instead.
   * @param NewCluster A random id for the cluster.
   */
  replica_builder &bootstrapCluster(cluster_id NewCluster);
  /// Seeds the random election timeouts.
  replica_builder &seed(std::uint64_t Seed);
  /// @param Now Start time of the process; no vote is granted for a minimum election timeout.
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

/** @file consensus_type.h Ids, log entries, messages and actions of the replicated log. */
#ifndef POLLENSTALL_CONSENSUS_CONSENSUS_TYPE_H
#define POLLENSTALL_CONSENSUS_CONSENSUS_TYPE_H

#include "core/core.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenstall {

struct term_tag {};
struct log_index_tag {};
struct member_tag {};
struct disk_tag {};
struct cluster_tag {};
struct read_tag {};
struct persist_tag {};

using term_number = strong_id<term_tag>;    ///< Increases with each election; 0 before the first.
using log_index = strong_id<log_index_tag>; ///< Position in the log; the first entry is at 1.
using member_id = strong_id<member_tag>;    ///< From the settings; 0 means no member.
using disk_identity = strong_id<disk_tag>;  ///< Random; chosen when a data folder is created.
using cluster_id = strong_id<cluster_tag>;  ///< Random; chosen when the cluster is bootstrapped.
using read_id = strong_id<read_tag>;        ///< Chosen by the caller of readIndex().
using persist_number = strong_id<persist_tag>; ///< Increases with each persist action.

/**
 * Identifies a member: its id together with the disk that holds its hard state.
 * The same id with an empty disk is a different member, because the votes it cast are lost.
 */
struct member_key {
  member_id Member;
  /// 0 only in an admission_request, if the sender does not know the receiver's disk.
  disk_identity Disk;

  auto operator<=>(const member_key &) const = default;
};

/// Whether a member counts in quorums.
enum class voting_status : std::uint8_t {
  Learner, ///< Receives the log but counts in no quorum.
  Voter,   ///< Counts in every quorum.
};

/// One member of a member_set.
struct log_member {
  member_key Key;
  voting_status VotingStatus{voting_status::Learner};

  auto operator<=>(const log_member &) const = default;
};

/// All members of the cluster in ascending order of their ids. The payload of a Membership entry.
struct member_set {
  cluster_id Cluster; ///< 0 only before the cluster is bootstrapped.
  std::vector<log_member> Members;

  bool operator==(const member_set &) const = default;
};

/// The type of an entry's payload.
enum class entry_kind : std::uint8_t {
  Noop,       ///< First entry of a leader's term; the payload is empty.
  Command,    ///< Bytes of the application.
  Membership, ///< encodeMembers() of the member set that is in force from this entry on.
};

/// One entry of the log.
struct log_entry {
  log_index Index;
  term_number Term;
  entry_kind Kind{entry_kind::Command};
  std::string Payload;

  bool operator==(const log_entry &) const = default;
};

/// The leader of a term.
struct term_leader {
  term_number Term;
  member_key Member; ///< Member 0 if the leader is not known.

  bool operator==(const term_leader &) const = default;
};

/// State that must be durable before any message that depends on it is sent.
struct hard_state {
  term_number Term;
  member_key Vote; ///< Member 0 if this member has not voted in this term.
  /// The leader that this member followed last, or this member itself if it has led since. That
  /// leader's lease may depend on this member's replies.
  term_leader FollowedLeader{};

  bool operator==(const hard_state &) const = default;
};

/// The application state after all entries up to Index.
struct log_snapshot {
  log_index Index;
  term_number Term;   ///< Of the entry at Index.
  member_set Members; ///< In force at Index.
  std::string State;  ///< Bytes of the application.

  bool operator==(const log_snapshot &) const = default;
};

/// The contents of a disk when it was opened.
struct restored_log {
  hard_state Hard;
  std::shared_ptr<const log_snapshot> Snapshot; ///< Null if none was taken.
  std::vector<log_entry> Entries; ///< Consecutive; they overlap or follow the snapshot.
};

// ---- Messages. Plain aggregates, so that a codec depends on their members alone. ----

/// Asks whether the receiver would vote for the sender; increments no term.
struct pre_vote_request {
  term_number ForTerm; ///< The term in which the sender would be a candidate.
  log_index LastIndex;
  term_number LastTerm;
};

struct pre_vote_reply {
  term_number ForTerm;
  bool Granted{false};
  /// The sender is neither leader nor candidate and its last lease has ended, so it cannot lead
  /// the message's term or any earlier one any more.
  bool WillNotLead{false};
};

/// Requests a vote in the message's term.
struct vote_request {
  log_index LastIndex;
  term_number LastTerm;
};

struct vote_reply {
  bool Granted{false};
};

/// Appends entries; without entries it is a heartbeat.
struct append_request {
  log_index PrevIndex;
  term_number PrevTerm;
  log_index Commit;
  std::uint64_t Round{0}; ///< Increases with every message of a leader; echoed in the reply.
  std::int64_t SentAt{0}; ///< Leader's clock in ns; echoed in the reply, read only by the leader.
  std::vector<log_entry> Entries;
};

/// Reply to append_request and snapshot_request.
struct append_reply {
  bool Matched{false};
  log_index Match;        ///< If Matched: last index that is durable and equal to the leader's log.
  log_index RejectedPrev; ///< If not Matched: the PrevIndex that did not match.
  log_index HintIndex;    ///< If not Matched: the last index at which the logs may agree.
  term_number HintTerm;   ///< Term of the sender's entry at HintIndex.
  std::uint64_t Round{0};
  std::int64_t SentAt{0};
};

/// A complete snapshot, of at most replica_options::MaxSnapshotBytes.
struct snapshot_request {
  log_snapshot Snapshot;
  std::uint64_t Round{0};
  std::int64_t SentAt{0};
};

/// Sent by a disk that is not a member: asks a leader for admission. The bootstrapping host also
/// takes it from an empty disk as the report that the disk is empty.
struct admission_request {};

/// Reply of the bootstrapping host to an admission_request that did not name that host's
/// current disk in To.Disk. An empty disk answers with an admission_request that names it.
struct bootstrap_probe {};

using consensus_body =
    std::variant<pre_vote_request, pre_vote_reply, vote_request, vote_reply, append_request,
                 append_reply, snapshot_request, admission_request, bootstrap_probe>;

/// A message between members; may be lost, delayed, duplicated and reordered.
struct consensus_message {
  cluster_id Cluster; ///< 0 if the sender belongs to no cluster yet.
  member_key From;
  member_key To;
  term_number Term; ///< The sender's current term.
  consensus_body Body;
};

// ---- Actions, to be executed in order. ----

/// Sends Message to Message.To once; the replica resends what it needs.
struct send_to_member {
  consensus_message Message;
};

/**
 * Makes the hard state, the snapshot, the truncation and the entries durable, in this order.
 * Several persist actions may share one sync. Report completion with replica::persisted(Number). A
 * failed write must end the process.
 */
struct persist_log {
  persist_number Number;
  std::optional<hard_state> Hard;
  std::shared_ptr<const log_snapshot> Snapshot; ///< To be stored if not null.
  bool ResetLog{false};                         ///< With Snapshot: it replaces the whole log.
  log_index CompactTo;                   ///< With Snapshot: entries up to here may be removed.
  std::optional<log_index> TruncateFrom; ///< Entries from this index on are removed.
  std::vector<log_entry> Entries;        ///< To be appended.
};

/// Applies the entry to the application state. Indexes have no gaps. Only entries of kind Command
/// carry a payload of the application.
struct apply_entry {
  log_entry Entry;
};

/// Replaces the application state. The next apply_entry has the index after the snapshot's.
struct install_snapshot {
  std::shared_ptr<const log_snapshot> Snapshot;
};

/// This replica became leader. It may serve requests once leaseValid() holds or a read is ready.
struct became_leader {
  term_number Term;
};

/// This replica is no longer leader. The outcome of proposals that it has not applied is unknown.
struct stepped_down {
  term_number Term; ///< The term that it led.
};

/// The applied state now includes every change that was acknowledged before the read was requested.
struct read_ready {
  read_id Read;
  log_index Index;
};

/// This replica does not lead; the read must be sent to the leader.
struct read_refused {
  read_id Read;
  member_key LeaderHint; ///< Member 0 if no leader is known.
};

/// The log is due for compaction. The caller must pass the application state after Index to
/// replica::snapshotTaken(); until it does, no other snapshot is requested.
struct take_snapshot {
  log_index Index; ///< Index of the last applied entry.
};

/**
 * Leader only: a disk that is not a member requests admission. The caller calls replica::admit() if
 * its policy allows it. An expelled member also requests admission as long as its process runs.
 */
struct admission_requested {
  member_key Key;
};

/// The member set in force changed; its entry is appended but may not be committed yet.
struct members_changed {
  member_set Members;
};

using consensus_action = std::variant<send_to_member, persist_log, apply_entry, install_snapshot,
                                      became_leader, stepped_down, read_ready, read_refused,
                                      take_snapshot, admission_requested, members_changed>;

// ---- Results of calls on a replica. ----

/// Position of a proposal in the log. The proposal is committed once an apply_entry arrives with
/// the same index and term.
struct proposal_position {
  log_index Index;
  term_number Term;

  auto operator<=>(const proposal_position &) const = default;
};

/// Why a proposal was refused; a refused proposal is never applied.
enum class proposal_error : std::uint8_t {
  NotLeader,
  TooLarge,         ///< Over replica_options::MaxPayloadBytes.
  TooManyInFlight,  ///< Over replica_options::MaxUncommitted.
  ChangeInProgress, ///< Membership only: another change is not committed yet.
  NotReady,         ///< Membership only: no entry of the leader's term is committed yet.
  UnknownMember,    ///< Membership only.
  /// Membership only. admit(): the disk is already a member. promote(): it is already a voter.
  AlreadyMember,
  LastVoter,    ///< Membership only: no voter would remain.
  MemberActive, ///< Membership only: the id's current disk replied recently.
};

struct proposal_refusal {
  proposal_error Reason{proposal_error::NotLeader};
  member_key LeaderHint; ///< Member 0 if no leader is known.
};

using proposal_result = result<proposal_position, proposal_refusal>;

/// Losses at the same time, disks included, that the log must survive: any hosts, or any failure
/// domains, or any regions.
struct loss_tolerance {
  std::size_t Hosts{0};
  std::size_t Domains{0};
  std::size_t Regions{0};

  bool operator==(const loss_tolerance &) const = default;
};

/// The Raft role of a replica.
enum class replica_role : std::uint8_t { Learner, Follower, PreCandidate, Candidate, Leader };

/// Limits and timeouts; must be the same on every member.
struct replica_options {
  /// Followers grant no vote for this long after a message from the leader.
  mono_duration MinElectionTimeout{std::chrono::milliseconds(1000)};
  /// A follower starts an election after a random time between the minimum and this.
  mono_duration MaxElectionTimeout{std::chrono::milliseconds(2000)};
  mono_duration HeartbeatInterval{std::chrono::milliseconds(100)};
  /// A member that has just started, or knows that its leader no longer leads, starts an election
  /// after a random time up to this, and the next one after up to twice this time.
  mono_duration EarlyElectionTimeout{std::chrono::milliseconds(100)};
  /// Maximum rate error of a member's clock, fast or slow, in parts per thousand.
  std::uint32_t ClockSkewPermille{20};
  /// A longer time between two events, or any step back, counts as a clock jump.
  mono_duration MaxClockStep{std::chrono::milliseconds(500)};
  /// Time between two admission_requests.
  mono_duration AdmissionRequestInterval{std::chrono::milliseconds(500)};
  std::size_t MaxBatchBytes{256U << 10U};   ///< Payload bytes in one append.
  std::size_t MaxBatchEntries{256};         ///< Entries in one append.
  std::size_t MaxInFlight{8};               ///< Unacknowledged appends to one member.
  std::size_t MaxPayloadBytes{1U << 20U};   ///< Of one proposal.
  std::size_t MaxUncommitted{4096};         ///< Uncommitted entries of a leader.
  std::size_t MaxSnapshotBytes{32U << 20U}; ///< Application state in one snapshot.
  std::size_t SnapshotEvery{4096};          ///< Applied entries between two snapshots.
  std::size_t KeepAfterSnapshot{512};       ///< Entries kept for followers that lag slightly.
  std::size_t CaughtUpWithin{64};           ///< Maximum lag in entries of a learner to be promoted.
  /// If set, the voters are those that survive these losses, and the caller makes the changes of
  /// nextMemberRepair(). Otherwise every learner that has caught up is promoted.
  std::optional<loss_tolerance> Tolerance{};
  /// How long the bootstrapping host waits for empty disks that survive the losses. After that,
  /// as many hosts as are tolerated may be absent.
  mono_duration BootstrapWait{std::chrono::seconds(3)};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_CONSENSUS_TYPE_H

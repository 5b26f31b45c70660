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

using term_number = strong_id<term_tag>;       ///< Rises with each election; 0 before the first.
using log_index = strong_id<log_index_tag>;    ///< Position in the log; the first entry has 1.
using member_id = strong_id<member_tag>;       ///< From the settings; 0 is nobody.
using disk_identity = strong_id<disk_tag>;     ///< Drawn at random when a data folder is made.
using cluster_id = strong_id<cluster_tag>;     ///< Drawn at random when the log is founded.
using read_id = strong_id<read_tag>;           ///< Chosen by whoever asks for a read.
using persist_number = strong_id<persist_tag>; ///< Rises with each persist action.

/**
 * Who a member is: its id together with the disk that holds its promises.
 * Under an empty disk the same id is another member: it has forgotten which votes it gave.
 */
struct member_key {
  member_id Member;
  disk_identity
      Disk; ///< 0 only in an admission_request whose sender does not know the receiver's disk.

  auto operator<=>(const member_key &) const = default;
};

/// What a member counts for.
enum class member_standing : std::uint8_t {
  Learner, ///< Receives the log and counts in no quorum.
  Voter,   ///< Counts in every quorum.
};

/// One member of the set.
struct log_member {
  member_key Key;
  member_standing Standing{member_standing::Learner};

  auto operator<=>(const log_member &) const = default;
};

/// All members, in the order of their ids; an entry of kind Membership carries one as its payload.
struct member_set {
  cluster_id Cluster; ///< 0 only where nothing was founded yet.
  std::vector<log_member> Members;

  bool operator==(const member_set &) const = default;
};

/// What an entry's payload is.
enum class entry_kind : std::uint8_t {
  Noop,       ///< A leader's first entry of its term; empty payload.
  Command,    ///< The user's bytes.
  Membership, ///< encodeMembers() of the set in force from this entry on.
};

/// One entry of the log.
struct log_entry {
  log_index Index;
  term_number Term;
  entry_kind Kind{entry_kind::Command};
  std::string Payload;

  bool operator==(const log_entry &) const = default;
};

/// A member that led a term, once.
struct term_leader {
  term_number Term;
  member_key Member; ///< Member 0 where it is not known.

  bool operator==(const term_leader &) const = default;
};

/// The promises that must be on the disk before they are told to anyone.
struct hard_state {
  term_number Term;
  member_key Vote; ///< Member 0 where no vote was given in this term.
  /// The leader that was answered last: its lease may count on this member.
  term_leader Followed{};

  bool operator==(const hard_state &) const = default;
};

/// The user's state after all entries up to Index.
struct log_snapshot {
  log_index Index;
  term_number Term;   ///< Of the entry at Index.
  member_set Members; ///< In force at Index.
  std::string State;  ///< The user's bytes.

  bool operator==(const log_snapshot &) const = default;
};

/// What a disk held when it was opened.
struct restored_log {
  hard_state Hard;
  std::shared_ptr<const log_snapshot> Snapshot; ///< Null where none was taken.
  std::vector<log_entry> Entries; ///< Consecutive; they overlap or follow the snapshot.
};

// ---- Messages. Plain aggregates, so that a codec needs to know nothing else. ----

/// Asks whether a vote would be given, without raising anybody's term.
struct pre_vote_request {
  term_number ForTerm; ///< The term the sender would stand in.
  log_index LastIndex;
  term_number LastTerm;
};

struct pre_vote_reply {
  term_number ForTerm;
  bool Granted{false};
  /// The sender neither leads nor stands, so that it never leads the message's term from now on.
  bool LeadsNoMore{false};
};

/// Asks for a vote in the message's term.
struct vote_request {
  log_index LastIndex;
  term_number LastTerm;
};

struct vote_reply {
  bool Granted{false};
};

/// Entries, or a heartbeat where there are none.
struct append_request {
  log_index PrevIndex;
  term_number PrevTerm;
  log_index Commit;
  std::uint64_t Round{0}; ///< Rises with every message of one leader; echoed.
  std::int64_t SentAt{0}; ///< The leader's own clock in ns; only echoed, never compared elsewhere.
  std::vector<log_entry> Entries;
};

/// Answers append_request and snapshot_request.
struct append_reply {
  bool Matched{false};
  log_index Match;        ///< Where Matched: on the sender's disk and equal to the leader's log.
  log_index RejectedPrev; ///< Where not: the PrevIndex that did not fit.
  log_index HintIndex;    ///< Where not: the last place at which the logs may agree.
  term_number HintTerm;   ///< Term of the sender's entry at HintIndex.
  std::uint64_t Round{0};
  std::int64_t SentAt{0};
};

/// A whole snapshot; replica_options bounds its size.
struct snapshot_request {
  log_snapshot Snapshot;
  std::uint64_t Round{0};
  std::int64_t SentAt{0};
};

/// A disk that is no member asks to be admitted; where it is empty it tells a founder so.
struct admission_request {};

/// A founder answers an admission_request; an empty disk then names the founder's disk in another.
struct founder_probe {};

using consensus_body =
    std::variant<pre_vote_request, pre_vote_reply, vote_request, vote_reply, append_request,
                 append_reply, snapshot_request, admission_request, founder_probe>;

/// What members send each other; may be lost, delayed, duplicated and reordered.
struct consensus_message {
  cluster_id Cluster; ///< 0 where the sender belongs to none yet.
  member_key From;
  member_key To;
  term_number Term; ///< The sender's.
  consensus_body Body;
};

// ---- Actions, to be carried out in order. ----

/// Deliver to Message.To; no need to retry.
struct send_to_member {
  consensus_message Message;
};

/**
 * Make durable in this order: hard state, snapshot, truncation, entries. Several may share one
 * sync. Confirm with replica::persisted(Number); a failed write must end the process.
 */
struct persist_log {
  persist_number Number;
  std::optional<hard_state> Hard;
  std::shared_ptr<const log_snapshot>
      Snapshot;                          ///< Not null: store it; then entries may be dropped.
  bool ResetLog{false};                  ///< With Snapshot: it replaces the whole log.
  log_index CompactTo;                   ///< With Snapshot: entries up to here may be dropped.
  std::optional<log_index> TruncateFrom; ///< Drop the entries from here on.
  std::vector<log_entry> Entries;        ///< Append these.
};

/// Apply to the user's state; indexes come without gaps. Only Kind Command has a user's payload.
struct apply_entry {
  log_entry Entry;
};

/// Replace the user's state; the next apply has the index after the snapshot's.
struct install_snapshot {
  std::shared_ptr<const log_snapshot> Snapshot;
};

/// This replica leads; it may serve once leaseValid() says so or a read is ready.
struct became_leader {
  term_number Term;
};

/// This replica leads no more; the outcome of what it proposed and did not apply is unknown.
struct stepped_down {
  term_number Term; ///< The term in which it led.
};

/// All that was applied by now includes every change acknowledged before the read was asked for.
struct read_ready {
  read_id Read;
  log_index Index;
};

/// Ask the leader instead.
struct read_refused {
  read_id Read;
  member_key LeaderHint; ///< Member 0 where none is known.
};

/// The log is long: hand the state after Index to replica::snapshotTaken(), always, or none is
/// asked for again.
struct take_snapshot {
  log_index Index; ///< What was applied last.
};

/**
 * Leader only: a disk that is no member asks to be let in. Answer with replica::admit() where
 * policy agrees; a member that was expelled asks as well for as long as its process runs.
 */
struct admission_requested {
  member_key Key;
};

/// The set of members changed (as appended, not yet committed).
struct members_changed {
  member_set Members;
};

using consensus_action = std::variant<send_to_member, persist_log, apply_entry, install_snapshot,
                                      became_leader, stepped_down, read_ready, read_refused,
                                      take_snapshot, admission_requested, members_changed>;

// ---- Answers to the user's calls. ----

/// Where a proposal stands in the log; it was accepted once apply comes with both equal.
struct proposal_place {
  log_index Index;
  term_number Term;

  auto operator<=>(const proposal_place &) const = default;
};

/// Why nothing was proposed; the proposal was certainly not run.
enum class proposal_error : std::uint8_t {
  NotLeader,
  TooLarge,         ///< Over replica_options::MaxPayloadBytes.
  TooManyInFlight,  ///< Over replica_options::MaxUncommitted.
  ChangeInProgress, ///< Membership only: another change is not committed yet.
  NotReady,         ///< Membership only: nothing of the leader's term is committed yet.
  UnknownMember,    ///< Membership only.
  AlreadyMember,    ///< Membership only: that very disk is a member.
  LastVoter,        ///< Membership only: nobody would be left to vote.
  MemberActive,     ///< Membership only: the id's present disk was heard of a moment ago.
};

struct proposal_refusal {
  proposal_error Reason{proposal_error::NotLeader};
  member_key LeaderHint; ///< Member 0 where none is known.
};

using proposal_result = result<proposal_place, proposal_refusal>;

/// The part a replica plays.
enum class replica_role : std::uint8_t { Learner, Follower, PreCandidate, Candidate, Leader };

/// Bounds and times; the same on every member.
struct replica_options {
  /// Followers grant no vote for this long after they heard from a leader.
  mono_duration MinElectionTimeout{std::chrono::milliseconds(1000)};
  /// A follower stands after a random time between the minimum and this.
  mono_duration MaxElectionTimeout{std::chrono::milliseconds(2000)};
  mono_duration HeartbeatInterval{std::chrono::milliseconds(100)};
  /// A member that has just started, or knows that its leader leads no more, stands after a random
  /// time up to this, and again after up to twice of it.
  mono_duration EarlyElectionTimeout{std::chrono::milliseconds(100)};
  /// How much faster or slower than true time a member's clock may run, in parts per thousand.
  std::uint32_t ClockSkewPermille{20};
  /// A longer time between two events, or any step back, counts as a clock jump.
  mono_duration MaxClockStep{std::chrono::milliseconds(500)};
  mono_duration JoinInterval{std::chrono::milliseconds(500)}; ///< Between two admission_requests.
  std::size_t MaxBatchBytes{256U << 10U};                     ///< Entries' bytes in one append.
  std::size_t MaxBatchEntries{256};                           ///< Entries in one append.
  std::size_t MaxInFlight{8};               ///< Appends to one member without an answer.
  std::size_t MaxPayloadBytes{1U << 20U};   ///< Of one proposal.
  std::size_t MaxUncommitted{4096};         ///< Entries a leader holds that are not committed.
  std::size_t MaxSnapshotBytes{32U << 20U}; ///< State of one snapshot.
  std::size_t SnapshotEvery{4096};          ///< Entries after which take_snapshot is asked for.
  std::size_t KeepAfterSnapshot{512};       ///< Entries kept for followers that lag a little.
  std::size_t CaughtUpWithin{64};           ///< A learner that lags no more than this is promoted.
  /// Learners are promoted only up to so many voters; 0 promotes every one that has caught up.
  std::size_t TargetVoters{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_CONSENSUS_CONSENSUS_TYPE_H

/** @file replica_core_leader.cpp Replicating the log to the other members and committing entries.
 */
#include "consensus/replica_core_base.h"

#include <algorithm>
#include <functional>

namespace pollenstall {

follower_progress *replica_core::progressOf(const member_key &Key) {
  for (follower_progress &Progress : Followers)
    if (Progress.key() == Key)
      return &Progress;
  return nullptr;
}

void replica_core::resetProgress() {
  Followers.clear();
  for (const log_member &Member : members().Members)
    if (Member.Key != Self)
      Followers.emplace_back(Member.Key, Log.lastIndex().next());
}

log_index replica_core::appendAsLeader(entry_kind Kind, std::string Payload) {
  log_entry Entry{Log.lastIndex().next(), Hard.Term, Kind, std::move(Payload)};
  const log_index Index = Entry.Index;
  PersistTracker.append(Entry);
  Log.append(std::move(Entry));
  return Index;
}

void replica_core::broadcast() {
  for (follower_progress &Progress : Followers) {
    sendEntries(Progress);
    const bool CommitAdvanced =
        Progress.SentCommit < Commit && Progress.mode() == send_mode::Replicate;
    if (HeartbeatPending || CommitAdvanced)
      sendHeartbeat(Progress);
  }
  if (HeartbeatPending)
    NextHeartbeat = LastEvent + Options.HeartbeatInterval;
  HeartbeatPending = false;
}

void replica_core::sendEntries(follower_progress &Progress) {
  // This also applies if the window of in-flight appends is full: if those appends were lost and
  // their entries are compacted since, no reply to a heartbeat would ever empty the window.
  const bool Compacted = !Log.termAt(log_index(Progress.next().value() - 1));
  if (Compacted && Progress.mode() != send_mode::Snapshot) {
    sendSnapshot(Progress);
    return;
  }
  while (Progress.mayAppend(Options.MaxInFlight)) {
    const bool Probing = Progress.mode() == send_mode::Probe;
    if (!Probing && Progress.next() > Log.lastIndex())
      return;
    sendAppend(Progress,
               Log.slice(Progress.next(), Options.MaxBatchEntries, Options.MaxBatchBytes));
  }
}

void replica_core::sendAppend(follower_progress &Progress, std::vector<log_entry> Entries) {
  const log_index Prev(Progress.next().value() - 1);
  const log_index Last(Prev.value() + Entries.size());
  append_request Request{Prev,
                         *Log.termAt(Prev),
                         Commit,
                         NextRound++,
                         LastEvent.time_since_epoch().count(),
                         std::move(Entries)};
  sendNow(Progress.key(), std::move(Request));
  Progress.recordSentAppend(Last);
  Progress.SentCommit = Commit;
}

void replica_core::sendSnapshot(follower_progress &Progress) {
  checkInvariant(Snapshot != nullptr, "compacted entries are covered by a snapshot");
  sendNow(Progress.key(),
          snapshot_request{*Snapshot, NextRound++, LastEvent.time_since_epoch().count()});
  Progress.recordSentSnapshot(NextRound, LastEvent);
}

void replica_core::sendHeartbeat(follower_progress &Progress) {
  const mono_duration SnapshotRetryInterval = 2 * Options.MaxElectionTimeout;
  const bool SendingSnapshot = Progress.mode() == send_mode::Snapshot;
  if (SendingSnapshot && LastEvent - Progress.snapshotSentAt() >= SnapshotRetryInterval) {
    Progress.restartProbe(Progress.next(), NextRound);
    sendEntries(Progress);
  }
  if (Progress.mode() != send_mode::Snapshot) {
    sendAppend(Progress, {});
    return;
  }
  // While a snapshot is in flight no matching entry is known, so PrevIndex stays 0.
  append_request Request;
  Request.Round = NextRound++;
  Request.SentAt = LastEvent.time_since_epoch().count();
  sendNow(Progress.key(), std::move(Request));
}

void replica_core::receiveBody(const consensus_message &Message, const append_reply &Reply,
                               mono_time Now) {
  if (findMember(members(), Message.From) == nullptr)
    return;
  if (Message.Term > Hard.Term) {
    adoptTerm(Message.Term);
    return;
  }
  if (role() != replica_role::Leader || Message.Term < Hard.Term)
    return;
  follower_progress *Progress = progressOf(Message.From);
  const mono_time SentAt{mono_duration(Reply.SentAt)};
  if (Progress == nullptr || SentAt > Now || Reply.Round >= NextRound)
    return;
  if (Reply.Round >= LeaseRound)
    Progress->recordReply(Reply.Round, SentAt);
  if (!Reply.Matched) {
    Progress->recordRejection(Reply.RejectedPrev,
                              Log.lastIndexWithTermAtMost(Reply.HintIndex, Reply.HintTerm).next(),
                              Reply.Round, NextRound);
    return;
  }
  checkInvariant(Reply.Match <= Log.lastIndex(), "no member matches beyond the leader's log");
  const bool SnapshotDone =
      Progress->mode() == send_mode::Snapshot && Reply.Match >= Log.baseIndex();
  if (SnapshotDone)
    Progress->restartProbe(Reply.Match.next(), NextRound);
  if (Progress->recordMatch(Reply.Match, Reply.Round, NextRound))
    advanceCommit();
}

void replica_core::advanceCommit() {
  std::vector<log_index> Matches;
  for (const log_member &Member : members().Members) {
    if (Member.VotingStatus != voting_status::Voter)
      continue;
    const follower_progress *Progress = progressOf(Member.Key);
    Matches.push_back(Progress != nullptr ? Progress->match() : PersistTracker.durable());
  }
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  const log_index QuorumMatch = Matches[quorumSize(members()) - 1];
  if (QuorumMatch <= Commit || Log.termAt(QuorumMatch) != Hard.Term)
    return;
  setCommit(QuorumMatch);
  startReads();
}

} // namespace pollenstall

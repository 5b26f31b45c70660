/** @file replica_core_read.cpp Linearizable reads by read index (Ongaro 2014, 6.4). */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

void replica_core::readIndex(read_id Read, mono_time Now) {
  beginEvent(Now);
  if (role() != replica_role::Leader) {
    Actions.emplace_back(read_refused{Read, Leader});
    return;
  }
  PendingReads.push_back({Read, 0, {}});
  startReads();
}

void replica_core::startReads() {
  // Until an entry of its own term is committed, a leader does not know the true commit index. Its
  // own may be behind what its predecessor has acknowledged.
  if (role() != replica_role::Leader || Commit < TermStartIndex)
    return;
  for (pending_read &Read : PendingReads) {
    if (Read.Round != 0)
      continue;
    Read.Round = NextRound;
    Read.Index = Commit;
    HeartbeatPending = true;
  }
}

void replica_core::answerReads() {
  if (role() != replica_role::Leader)
    return;
  // Only replies to messages sent after the read request show that no other member led at that
  // time.
  const auto IsReady = [this](const pending_read &Read) {
    const auto HasReplied = [this, &Read](const member_key &Key) {
      const follower_progress *Progress = progressOf(Key);
      return Progress == nullptr || Progress->lastRepliedRound() >= Read.Round;
    };
    return Read.Round != 0 && Applied >= Read.Index && hasQuorum(members(), HasReplied);
  };
  const auto IsWaiting = [&IsReady](const pending_read &Read) { return !IsReady(Read); };
  const auto Ready = std::stable_partition(PendingReads.begin(), PendingReads.end(), IsWaiting);
  for (auto Read = Ready; Read != PendingReads.end(); ++Read)
    Actions.emplace_back(read_ready{Read->Read, Read->Index});
  PendingReads.erase(Ready, PendingReads.end());
}

void replica_core::refuseReads() {
  for (const pending_read &Read : PendingReads)
    Actions.emplace_back(read_refused{Read.Read, Leader});
  PendingReads.clear();
}

} // namespace pollenstall

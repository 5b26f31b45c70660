/** @file replica_core_read.cpp Linearizable reads by read index (Ongaro 2014, 6.4). */
#include "consensus/replica_core_base.h"

#include <algorithm>

namespace pollenstall {

void replica_core::readIndex(read_id Read, mono_time Now) {
  enter(Now);
  if (role() != replica_role::Leader) {
    Actions.emplace_back(read_refused{Read, Leader});
    return;
  }
  Reads.push_back({Read, 0, {}});
  startReads();
}

void replica_core::startReads() {
  // Before an entry of its own term is committed a leader does not know the true commit index: it
  // may be behind what its predecessor has acknowledged.
  if (role() != replica_role::Leader || Commit < FirstOwnIndex)
    return;
  for (waiting_read &Read : Reads) {
    if (Read.Round != 0)
      continue;
    Read.Round = NextRound;
    Read.Index = Commit;
    HeartbeatWanted = true;
  }
}

void replica_core::answerReads() {
  if (role() != replica_role::Leader)
    return;
  // Only answers to messages sent after the read was asked for show that nobody else led then.
  const auto IsReady = [this](const waiting_read &Read) {
    const auto Confirmed = [this, &Read](const member_key &Key) {
      const follower_progress *Progress = progressOf(Key);
      return Progress == nullptr || Progress->heardRound() >= Read.Round;
    };
    return Read.Round != 0 && Applied >= Read.Index && hasQuorum(members(), Confirmed);
  };
  const auto Waits = [&IsReady](const waiting_read &Read) { return !IsReady(Read); };
  const auto Ready = std::stable_partition(Reads.begin(), Reads.end(), Waits);
  for (auto Read = Ready; Read != Reads.end(); ++Read)
    Actions.emplace_back(read_ready{Read->Read, Read->Index});
  Reads.erase(Ready, Reads.end());
}

void replica_core::refuseReads() {
  for (const waiting_read &Read : Reads)
    Actions.emplace_back(read_refused{Read.Read, Leader});
  Reads.clear();
}

} // namespace pollenstall

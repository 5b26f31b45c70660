/** @file follower_progress.cpp Replication progress of one other member, kept by the leader. */
#include "consensus/follower_progress_base.h"

#include <algorithm>

namespace pollenstall {

bool follower_progress::mayAppend(std::size_t MaxInFlight) const {
  switch (Mode) {
  case send_mode::Probe:
    return !ProbeInFlight;
  case send_mode::Replicate:
    return InFlight.size() < MaxInFlight;
  case send_mode::Snapshot:
    return false;
  }
  return false;
}

void follower_progress::recordSentAppend(log_index Last) {
  if (Mode == send_mode::Probe) {
    ProbeInFlight = true;
    return;
  }
  if (Last < Next)
    return;
  InFlight.push_back(Last);
  Next = Last.next();
}

void follower_progress::changeMode(send_mode NewMode, std::uint64_t NextRound) {
  Mode = NewMode;
  FirstModeRound = NextRound;
  ProbeInFlight = false;
  InFlight.clear();
}

void follower_progress::recordSentSnapshot(std::uint64_t NextRound, mono_time Now) {
  changeMode(send_mode::Snapshot, NextRound);
  SnapshotSentAt = Now;
}

bool follower_progress::recordMatch(log_index Index, std::uint64_t Round, std::uint64_t NextRound) {
  const bool Advanced = Index > Match;
  Match = std::max(Match, Index);
  if (Mode == send_mode::Probe && Round >= FirstModeRound) {
    // Entries after the match are sent again, because the probe's entries may not be durable yet.
    changeMode(send_mode::Replicate, NextRound);
    Next = Match.next();
    return Advanced;
  }
  Next = std::max(Next, Match.next());
  while (!InFlight.empty() && InFlight.front() <= Match)
    InFlight.pop_front();
  return Advanced;
}

bool follower_progress::recordRejection(log_index Prev, log_index NextTry, std::uint64_t Round,
                                        std::uint64_t NextRound) {
  if (Prev <= Match || Round < FirstModeRound || Mode == send_mode::Snapshot)
    return false;
  changeMode(send_mode::Probe, NextRound);
  Next = std::max(Match.next(), std::min(NextTry, Prev));
  return true;
}

void follower_progress::restartProbe(log_index NextTry, std::uint64_t NextRound) {
  changeMode(send_mode::Probe, NextRound);
  Next = std::max(Match.next(), NextTry);
}

void follower_progress::recordReply(std::uint64_t Round, mono_time SentAt) {
  LastRepliedRound = std::max(LastRepliedRound, Round);
  LastRepliedSendTime = std::max(LastRepliedSendTime.value_or(SentAt), SentAt);
}

} // namespace pollenstall

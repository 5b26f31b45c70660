/** @file follower_progress.cpp What a leader knows of one other member. */
#include "consensus/follower_progress_base.h"

#include <algorithm>

namespace pollenstall {

bool follower_progress::mayAppend(std::size_t MaxInFlight) const {
  switch (Mode) {
  case send_mode::Probe:
    return !ProbeUnderWay;
  case send_mode::Replicate:
    return InFlight.size() < MaxInFlight;
  case send_mode::Snapshot:
    return false;
  }
  return false;
}

void follower_progress::sentAppend(log_index Last) {
  if (Mode == send_mode::Probe) {
    ProbeUnderWay = true;
    return;
  }
  if (Last < Next)
    return;
  InFlight.push_back(Last);
  Next = Last.next();
}

void follower_progress::changeMode(send_mode To, std::uint64_t NextRound) {
  Mode = To;
  ModeSince = NextRound;
  ProbeUnderWay = false;
  InFlight.clear();
}

void follower_progress::sentSnapshot(std::uint64_t NextRound, mono_time Now) {
  changeMode(send_mode::Snapshot, NextRound);
  SnapshotSentAt = Now;
}

bool follower_progress::matched(log_index Index, std::uint64_t Round, std::uint64_t NextRound) {
  const bool News = Index > Match;
  Match = std::max(Match, Index);
  if (Mode == send_mode::Probe && Round >= ModeSince) {
    // What follows the match is sent again: the probe's own entries may not be on the disk yet.
    changeMode(send_mode::Replicate, NextRound);
    Next = Match.next();
    return News;
  }
  Next = std::max(Next, Match.next());
  while (!InFlight.empty() && InFlight.front() <= Match)
    InFlight.pop_front();
  return News;
}

bool follower_progress::rejected(log_index Prev, log_index NextTry, std::uint64_t Round,
                                 std::uint64_t NextRound) {
  if (Prev <= Match || Round < ModeSince || Mode == send_mode::Snapshot)
    return false;
  changeMode(send_mode::Probe, NextRound);
  Next = std::max(Match.next(), std::min(NextTry, Prev));
  return true;
}

void follower_progress::leaveSnapshot(log_index NextTry, std::uint64_t NextRound) {
  changeMode(send_mode::Probe, NextRound);
  Next = std::max(Match.next(), NextTry);
}

void follower_progress::heard(std::uint64_t Round, mono_time SentAt) {
  HeardRound = std::max(HeardRound, Round);
  HeardAt = std::max(HeardAt.value_or(SentAt), SentAt);
}

} // namespace pollenstall

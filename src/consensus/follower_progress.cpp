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

void follower_progress::sentSnapshot(mono_time Now) {
  Mode = send_mode::Snapshot;
  InFlight.clear();
  SnapshotSentAt = Now;
}

bool follower_progress::matched(log_index Index) {
  const bool News = Index > Match;
  Match = std::max(Match, Index);
  if (Mode == send_mode::Probe) {
    // What follows the match is sent again: the probe's own entries may not be on the disk yet.
    Mode = send_mode::Replicate;
    Next = Match.next();
    InFlight.clear();
    return News;
  }
  Next = std::max(Next, Match.next());
  while (!InFlight.empty() && InFlight.front() <= Match)
    InFlight.pop_front();
  return News;
}

bool follower_progress::rejected(log_index Prev, log_index NextTry) {
  if (Prev <= Match || Mode == send_mode::Snapshot)
    return false;
  if (Mode == send_mode::Probe && Prev.next() != Next)
    return false;
  Mode = send_mode::Probe;
  ProbeUnderWay = false;
  InFlight.clear();
  Next = std::max(Match.next(), std::min(NextTry, Prev));
  return true;
}

void follower_progress::leaveSnapshot(log_index NextTry) {
  Mode = send_mode::Probe;
  ProbeUnderWay = false;
  Next = std::max(Match.next(), NextTry);
}

void follower_progress::heard(std::uint64_t Round, mono_time SentAt) {
  HeardRound = std::max(HeardRound, Round);
  HeardAt = std::max(HeardAt.value_or(SentAt), SentAt);
}

} // namespace pollenstall

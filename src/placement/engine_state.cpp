/** @file engine_state.cpp Others' work, and pauses after failures. */
#include "placement/engine_state_base.h"

#include "placement/millis_func.h"

#include <algorithm>

namespace pollenstall {

void engine_state::takePeer(const host_name &Peer, const work_load &Load, mono_time Now) {
  Peers[Peer] = {Load, Now};
}

double engine_state::peer_load::readMs(mono_time Now) const {
  return std::max(0.0, Load.ReadMs - millisUntil(Now, Heard));
}

bool engine_state::readBy(std::uint64_t HostHash, double MoreThanMs, mono_time Now,
                          mono_span Silence) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Item) {
    const auto &[Peer, Known] = Item;
    return stableHash(Peer.str()) < HostHash && Now - Known.Heard <= Silence &&
           Known.readMs(Now) > MoreThanMs;
  });
}

engine_view engine_state::peerWork(mono_time Now, mono_span Silence) const {
  engine_view Sum;
  for (const auto &[Peer, Known] : Peers) {
    if (Now - Known.Heard > Silence)
      continue;
    Sum.Requests += Known.Load.Requests;
    Sum.Writers += Known.Load.Writers;
    Sum.ReadMs += Known.readMs(Now);
    Sum.Tokens += Known.Load.Tokens;
    Sum.noteGap(Known.Load.GapMs);
  }
  return Sum;
}

void engine_state::noteFailure(const placement_tuning &Tuning, mono_time Now) {
  // Streams that break off together are one failure.
  if (Now < PausedUntil)
    return;
  constexpr std::uint32_t MostDoublings = 6;
  const mono_span Pause = Tuning.FailurePause * (1U << std::min(Failures, MostDoublings));
  PausedUntil = Now + std::min(Pause, Tuning.LongestPause);
  ++Failures;
}

void engine_state::notePlaced(const placement_tuning &Tuning, mono_time Now) {
  if (Failures > 0)
    TrialUntil = Now + Tuning.TrialSpan;
}

} // namespace pollenstall

/** @file engine_state.cpp Others' work, and pauses after failures. */
#include "placement/engine_state_base.h"

#include <algorithm>

namespace pollenstall {

void engine_state::takeOthers(const work_load &Load, mono_time Now) {
  Others = Load;
  OthersHeard = Now;
}

bool engine_state::readBefore(std::uint32_t Precedence, double MoreThanMs, mono_time Now,
                              mono_duration Silence) const {
  return Others.FirstReader != 0 && Others.FirstReader < Precedence &&
         othersWork(Now, Silence).ReadMs > MoreThanMs;
}

engine_view engine_state::othersWork(mono_time Now, mono_duration Silence) const {
  engine_view View;
  if (OthersHeard == mono_time::min() || Now - OthersHeard > Silence)
    return View;
  const work_load Left = after(Others, Now - OthersHeard);
  View.Requests = Left.Requests;
  View.Writers = Left.Writers;
  View.ReadMs = Left.ReadMs;
  View.Tokens = Left.Tokens;
  View.noteGap(Left.GapMs);
  return View;
}

void engine_state::noteFailure(const placement_tuning &Tuning, mono_time Now) {
  // Streams that break off together are one failure.
  if (Now < PausedUntil)
    return;
  constexpr std::uint32_t MostDoublings = 6;
  const mono_duration Pause = Tuning.FailurePause * (1U << std::min(Failures, MostDoublings));
  PausedUntil = Now + std::min(Pause, Tuning.LongestPause);
  ++Failures;
}

void engine_state::notePlaced(const placement_tuning &Tuning, mono_time Now) {
  if (Failures > 0)
    TrialUntil = Now + Tuning.TrialSpan;
}

} // namespace pollenstall

/** @file hold_watch.cpp Evidence of use, and the limits that follow from those of the engines. */
#include "hold_watch/hold_watch_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

/// Covers the time of an order or release on its way, and a late timer.
constexpr milliseconds Margin{500};
constexpr milliseconds MinLifetime{100};
constexpr int RenewalsPerLifetime = 4;
/// Part of MaxRelease in which an engine must answer a question.
constexpr int QuestionsPerRelease = 4;
/// A single question may be lost, or meet an engine that stands still for a moment.
constexpr std::size_t MaxMissedQuestions = 2;

} // namespace

milliseconds hold_limits::lifetime() const {
  return std::max(MinLifetime, std::min(MaxRelease, MaxUnused / 2) - Margin);
}

milliseconds hold_limits::renewInterval() const { return lifetime() / RenewalsPerLifetime; }

milliseconds hold_limits::questionTimeout() const { return MaxRelease / QuestionsPerRelease; }

/// What is renewed last ends a lifetime later, at the latest.
mono_duration hold_watch::unusedLimit() const {
  return std::max<mono_duration>(Limits.lifetime(), Limits.MaxUnused - Limits.lifetime() - Margin);
}

mono_duration hold_watch::silenceLimit() const {
  return std::max<mono_duration>(Margin, Limits.MaxRelease - Limits.questionTimeout() - Margin);
}

void hold_watch::recordUse(mono_time Now) {
  LastUse = Now;
  if (!FirstUse)
    FirstUse = Now;
}

void hold_watch::recordBytes(mono_time Now) {
  recordUse(Now);
  recordServer(true, Now);
}

bool hold_watch::recordReport(hold_state State, mono_time Now) {
  LastReport = State;
  if (State != hold_state::Used)
    return true;
  recordUse(Now);
  return false;
}

void hold_watch::recordServer(bool Responds, mono_time Now) {
  if (!Responds) {
    ++MissedQuestions;
    return;
  }
  MissedQuestions = 0;
  LastSign = Now;
  if (LastReport == hold_state::Unknown)
    LastUse = Now;
}

hold_verdict hold_watch::judge(mono_time Now) const {
  if (MissedQuestions >= MaxMissedQuestions && Now - LastSign >= silenceLimit())
    return hold_verdict::ServerSilent;
  return mayRenew(Now) ? hold_verdict::Keep : hold_verdict::Unused;
}

bool hold_watch::needsQuestion(mono_time Now) const {
  return Now - LastUse >= Limits.renewInterval();
}

} // namespace pollenstall

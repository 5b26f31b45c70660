/** @file waiting_board.cpp Counts of waiting requests by source, and their repetition. */
#include "work_exchange/waiting_board_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// How many times the end of all waiting is sent.
constexpr std::uint32_t MaxEmptyReports = 3;

} // namespace

bool waiting_board::update(work_source_id Source, const std::vector<waiting_load> &Loads,
                           mono_time Now) {
  const auto Existing = Sources.find(Source);
  if (Loads.empty()) {
    if (Existing == Sources.end())
      return false;
    Sources.erase(Existing);
    return true;
  }
  const bool Changed = Existing == Sources.end() || Existing->second.Loads != Loads;
  Sources.insert_or_assign(Source, source_counts{Loads, Now});
  return Changed;
}

bool waiting_feed::recordIfDue(const std::vector<waiting_load> &Loads, mono_time Now) {
  const bool IsFirst = SentAt == mono_time::min();
  if (Loads.empty() && (IsFirst || EmptyReports >= MaxEmptyReports))
    return false;
  const mono_duration Interval =
      Loads != Sent || Loads.empty() ? Tuning.WaitingInterval : Tuning.RefreshInterval;
  if (!IsFirst && Now - SentAt < Interval)
    return false;
  EmptyReports = Loads.empty() ? EmptyReports + 1 : 0;
  Sent = Loads;
  SentAt = Now;
  return true;
}

} // namespace pollenstall

/** @file work_feed.cpp Whether a load must be sent to a receiver. */
#include "work_exchange/work_feed_base.h"

namespace pollenstall {

namespace {

/// How many times an empty load is sent when all work at a backend server has ended, since
/// datagrams may be lost.
constexpr std::uint32_t MaxEmptyReports = 3;

} // namespace

bool work_feed::isRefreshDue(incarnation Incarnation, mono_time Now) const {
  const auto Sent = SentLoads.find(Incarnation);
  return Sent != SentLoads.end() && Now - Sent->second.SentAt >= Tuning.RefreshInterval;
}

void work_feed::forgetIdleEngines(const work_tracker &Tracker) {
  constexpr std::size_t Spare = 32;
  if (SentLoads.size() > Tracker.engines().size() + Spare)
    std::erase_if(SentLoads,
                  [&Tracker](const auto &Item) { return !Tracker.engines().contains(Item.first); });
}

bool work_feed::recordIfDue(const work_load &Load, bool IsRefresh, mono_time Now) {
  const auto Sent = SentLoads.find(Load.Incarnation);
  const bool Empty = isEmpty(Load);
  if (Sent == SentLoads.end()) {
    if (Empty)
      return false;
    SentLoads[Load.Incarnation] = {Load, Now, 0};
    return true;
  }
  if (!IsRefresh && !needsUpdate(Sent->second.Load, Sent->second.SentAt, Load, Now, Tuning))
    return false;
  if (Empty && Sent->second.EmptyReports >= MaxEmptyReports) {
    SentLoads.erase(Sent);
    return false;
  }
  Sent->second = {Load, Now, Empty ? Sent->second.EmptyReports + 1 : 0};
  return true;
}

} // namespace pollenstall

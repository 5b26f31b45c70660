/** @file queue_rank.cpp Classes and positions of waiting requests. */
#include "fleet_queue/queue_rank_func.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pollenstall {

namespace {

constexpr std::size_t ResumedClass = 0;
/// First of the classes of requests in time within their account's share: one for each urgency and
/// bucket of slack.
constexpr std::size_t InTimeClass = 1;
constexpr std::uint32_t MaxUrgency = 1; ///< Less urgent requests share a class.
constexpr std::size_t SlackBuckets = 3;
/// First of the classes of requests in time over their account's share, one for each urgency.
constexpr std::size_t OverShareClass = InTimeClass + (MaxUrgency + 1) * SlackBuckets;
constexpr std::size_t ReturningClass = OverShareClass + MaxUrgency + 1;
constexpr std::size_t LateClass = ReturningClass + 2;
static_assert(LateClass + 2 <= RankClassCount);

/// Upper bounds of the buckets of slack but the last. A request for which a pass of 50 to 100 ms is
/// left has to go before one that can wait for several.
constexpr double SlackBounds[] = {60, 200};
/// Scale of the open bucket of slack, and of the waiting time of late requests. It only has to tell
/// requests apart that callers wait for some seconds at the most.
constexpr double OpenScaleMs = 2'000;

/// Maps 0 and more to 0 to below 1.
double squash(double Ms) { return Ms <= 0 ? 0 : Ms / (Ms + OpenScaleMs); }

queue_rank rankInTime(const waiting_request &Request) {
  const std::size_t Urgency = std::min(Request.Urgency, MaxUrgency);
  if (Request.OverShare)
    return {OverShareClass + Urgency, squash(Request.SlackMs)};
  double Lower = 0;
  std::size_t Bucket = 0;
  for (const double Upper : SlackBounds) {
    if (Request.SlackMs < Upper)
      return {InTimeClass + Urgency * SlackBuckets + Bucket,
              (Request.SlackMs - Lower) / (Upper - Lower)};
    Lower = Upper;
    ++Bucket;
  }
  return {InTimeClass + Urgency * SlackBuckets + Bucket, squash(Request.SlackMs - Lower)};
}

} // namespace

queue_rank rankOf(const waiting_request &Request) {
  const double ByAge = 1 - squash(Request.WaitedMs);
  const double Late = std::min(ByAge, std::nextafter(1.0, 0.0));
  if (Request.Resumed)
    return {ResumedClass, Late};
  if (Request.SlackMs >= 0)
    return rankInTime(Request);
  return {(Request.Returning ? ReturningClass : LateClass) + (Request.OverShare ? 1U : 0U), Late};
}

bool isLateClass(std::size_t Class) { return Class >= ReturningClass; }

double requestsAhead(const waiting_load &Others, const queue_rank &Rank) {
  double Ahead = 0;
  for (std::size_t Class = 0; Class < std::min(Rank.Class, RankClassCount); ++Class)
    Ahead += Others.Counts[Class];
  if (Rank.Class < RankClassCount)
    Ahead += Rank.Position * Others.Counts[Rank.Class];
  return Ahead;
}

double waitingTotal(const waiting_load &Load) { return requestsAhead(Load, {RankClassCount, 0}); }

void addWaiting(waiting_load &Sum, const waiting_load &Added) {
  constexpr std::uint32_t MaxCount = std::numeric_limits<std::uint16_t>::max();
  Sum.Service = Added.Service;
  Sum.ArrivalUnits +=
      std::min(Added.ArrivalUnits, std::numeric_limits<std::uint32_t>::max() - Sum.ArrivalUnits);
  for (std::size_t Class = 0; Class < RankClassCount; ++Class)
    Sum.Counts[Class] = static_cast<std::uint16_t>(
        std::min<std::uint32_t>(MaxCount, std::uint32_t{Sum.Counts[Class]} + Added.Counts[Class]));
}

} // namespace pollenstall

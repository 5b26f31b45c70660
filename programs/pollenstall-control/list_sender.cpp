/** @file list_sender.cpp Turns and sizes of the parts of the list. */
#include "list_sender_base.h"

#include <algorithm>
#include <chrono>

namespace pollenstall {

namespace {

/// Encoded bytes of a listing with names of usual length.
constexpr double ListingBytes = 110;
/// Within this time, every entry that waits gets its first part.
constexpr std::chrono::duration<double> FirstPartTime = std::chrono::milliseconds(100);
constexpr std::size_t MinPartListings = 32;
constexpr std::size_t MaxPartListings = 1024;
/// Unused rate is kept for this time.
constexpr std::chrono::duration<double> BurstTime = std::chrono::milliseconds(100);

} // namespace

void list_sender::start(connection_number To, mono_time Now) {
  if (Progress.insert_or_assign(To, list_progress()).second)
    Turns.push_back(To);
  advance(Now);
}

void list_sender::clear() {
  Progress.clear();
  Turns.clear();
  NextStart = instance_name();
}

void list_sender::refill(mono_time Now) {
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  RefilledAt = Now;
  AvailableBytes = std::min(AvailableBytes + Rate * Elapsed.count(), Rate * BurstTime.count());
}

std::size_t list_sender::partSize() const {
  const double Listings = Rate * FirstPartTime.count() / ListingBytes /
                          static_cast<double>(std::max<std::size_t>(1, Progress.size()));
  return std::clamp(static_cast<std::size_t>(Listings), MinPartListings, MaxPartListings);
}

void list_sender::advance(mono_time Now) {
  refill(Now);
  while (AvailableBytes > 0 && !Turns.empty()) {
    const connection_number To = Turns.front();
    Turns.pop_front();
    const auto Found = Progress.find(To);
    if (Found == Progress.end())
      continue;
    link_backends Part = nextPart(Found->second);
    AvailableBytes -= ListingBytes * static_cast<double>(1 + Part.Listings.size());
    if (Found->second.Complete)
      Progress.erase(Found);
    else
      Turns.push_back(To);
    Functions.Send(To, std::move(Part));
  }
}

link_backends list_sender::nextPart(list_progress &Current) {
  const std::size_t MaxCount = partSize();
  link_backends Part;
  Part.IsFullList = !Current.Start;
  if (!Current.Start)
    Current.Last = Current.Start.emplace(NextStart);
  Part.Listings = Functions.ListingsAfter(Current.Last, MaxCount);
  if (Current.Wrapped)
    std::erase_if(Part.Listings, [&Current](const backend_listing &Listing) {
      return Listing.Instance > *Current.Start;
    });
  const bool AtEnd = Part.Listings.size() < MaxCount;
  Current.Last = AtEnd ? instance_name() : Part.Listings.back().Instance;
  Current.Complete = AtEnd && (Current.Wrapped || Current.Start->empty());
  Current.Wrapped = Current.Wrapped || AtEnd;
  if (Part.IsFullList)
    NextStart = Current.Last;
  return Part;
}

} // namespace pollenstall

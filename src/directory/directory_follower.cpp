/** @file directory_follower.cpp Takes listings over; leaving sticks. */
#include "directory/directory_follower_base.h"

#include <algorithm>

namespace pollenstall {

std::vector<backend_listing>
directory_follower::takeAll(const std::vector<backend_listing> &Listings, mono_time Now) {
  for (auto &[Incarnation, Known] : Records)
    Known.Confirmed = false;
  Told = true;
  ReviewAt = Now + Grace;
  return take(Listings);
}

std::vector<backend_listing>
directory_follower::take(const std::vector<backend_listing> &Listings) {
  std::vector<backend_listing> Changes;
  for (const backend_listing &Listing : Listings)
    takeOne(Listing, Changes);
  return Changes;
}

void directory_follower::takeOne(const backend_listing &Listing,
                                 std::vector<backend_listing> &Changes) {
  if (Listing.Key.Address.empty())
    return takeWithdrawal(Listing, Changes);
  const auto Known = Records.find(Listing.Key.Incarnation);
  if (Known == Records.end())
    return takeNew(Listing, Changes);
  record &Record = Known->second;
  Record.Confirmed = true;
  listing_state State = Listing.State;
  // A new leader may have heard only the notice that was sent before the one that said so.
  if (Record.Listing.State == listing_state::Leaving && State != listing_state::Gone)
    State = listing_state::Leaving;
  change(Record, State, Changes);
}

/**
 * A leader lists one life of a name. Another leader's list may have left the life before here: its
 * work and its failures must not count for the one that holds nothing of it.
 */
void directory_follower::takeNew(const backend_listing &Listing,
                                 std::vector<backend_listing> &Changes) {
  if (Listing.State == listing_state::Gone)
    return;
  const auto Former = std::find_if(Records.begin(), Records.end(), [&Listing](const auto &Item) {
    return Item.second.Listing.Instance == Listing.Instance;
  });
  if (Former != Records.end()) {
    if (Former->second.Listing.Started > Listing.Started)
      return;
    change(Former->second, listing_state::Gone, Changes);
  }
  Records.emplace(Listing.Key.Incarnation, record{Listing, true});
  Changes.push_back(Listing);
}

/// The leader had not heard of what was withdrawn, so it knows no address.
void directory_follower::takeWithdrawal(const backend_listing &Listing,
                                        std::vector<backend_listing> &Changes) {
  for (auto &[Incarnation, Known] : Records)
    if (Known.Listing.Instance == Listing.Instance && Known.Listing.Started <= Listing.Started) {
      Known.Confirmed = true;
      return change(Known, listing_state::Leaving, Changes);
    }
}

void directory_follower::change(record &Known, listing_state State,
                                std::vector<backend_listing> &Changes) {
  if (State == Known.Listing.State)
    return;
  Known.Listing.State = State;
  Changes.push_back(Known.Listing);
  if (State == listing_state::Gone)
    Records.erase(Known.Listing.Key.Incarnation);
}

std::vector<backend_listing> directory_follower::advance(mono_time Now) {
  std::vector<backend_listing> Changes;
  if (!ReviewAt || Now < *ReviewAt)
    return Changes;
  ReviewAt.reset();
  for (auto &[Incarnation, Known] : Records) {
    if (Known.Confirmed || Known.Listing.State != listing_state::Active)
      continue;
    Known.Listing.State = listing_state::Silent;
    Changes.push_back(Known.Listing);
  }
  return Changes;
}

const backend_listing *directory_follower::find(const backend_key &Key) const {
  const auto Known = Records.find(Key.Incarnation);
  return Known == Records.end() ? nullptr : &Known->second.Listing;
}

} // namespace pollenstall

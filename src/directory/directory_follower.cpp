/** @file directory_follower.cpp Takes listings over; leaving sticks. */
#include "directory/directory_follower_base.h"

namespace pollenstall {

std::vector<backend_listing>
directory_follower::takeAll(const std::vector<backend_listing> &Listings, mono_time Now) {
  for (auto &[Life, Known] : Records)
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
  const incarnation Life = Listing.Key.Life;
  const auto Known = Records.find(Life);
  if (Known == Records.end()) {
    // One that leaves and has no address was never known here.
    if (Listing.State == listing_state::Gone || Listing.Key.Address.empty())
      return;
    Records.emplace(Life, record{Listing, true});
    Changes.push_back(Listing);
    return;
  }
  record &Record = Known->second;
  Record.Confirmed = true;
  listing_state State = Listing.State;
  // A new leader may have heard only the notice that was sent before the one that said so.
  if (Record.Listing.State == listing_state::Leaving && State != listing_state::Gone)
    State = listing_state::Leaving;
  if (State == Record.Listing.State)
    return;
  Record.Listing.State = State;
  Changes.push_back(Record.Listing);
  if (State == listing_state::Gone)
    Records.erase(Known);
}

std::vector<backend_listing> directory_follower::advance(mono_time Now) {
  std::vector<backend_listing> Changes;
  if (!ReviewAt || Now < *ReviewAt)
    return Changes;
  ReviewAt.reset();
  for (auto &[Life, Known] : Records) {
    if (Known.Confirmed || Known.Listing.State != listing_state::Active)
      continue;
    Known.Listing.State = listing_state::Silent;
    Changes.push_back(Known.Listing);
  }
  return Changes;
}

const backend_listing *directory_follower::find(const backend_key &Key) const {
  const auto Known = Records.find(Key.Life);
  return Known == Records.end() ? nullptr : &Known->second.Listing;
}

} // namespace pollenstall

/** @file directory_follower.cpp Applies the leader's listings; leaving sticks. */
#include "directory/directory_follower_base.h"

#include <algorithm>

namespace pollenstall {

std::vector<backend_listing>
directory_follower::applyFullList(const std::vector<backend_listing> &Listings, mono_time Now) {
  for (auto &[Incarnation, Existing] : Records)
    Existing.Confirmed = false;
  HasFullList = true;
  GraceEndsAt = Now + Grace;
  return applyUpdates(Listings, Now);
}

bool directory_follower::confirmsAny(const std::vector<backend_listing> &Listings) const {
  return std::any_of(Listings.begin(), Listings.end(), [this](const backend_listing &Listing) {
    const auto Existing = Records.find(Listing.Key.Incarnation);
    return Existing != Records.end() && !Existing->second.Confirmed;
  });
}

std::vector<backend_listing>
directory_follower::applyUpdates(const std::vector<backend_listing> &Listings, mono_time Now) {
  if (GraceEndsAt && confirmsAny(Listings))
    GraceEndsAt = Now + Grace;
  std::vector<backend_listing> Changes;
  for (const backend_listing &Listing : Listings)
    applyListing(Listing, Changes);
  return Changes;
}

void directory_follower::applyListing(const backend_listing &Listing,
                                      std::vector<backend_listing> &Changes) {
  if (Listing.Key.Address.empty())
    return applyWithdrawal(Listing, Changes);
  const auto Existing = Records.find(Listing.Key.Incarnation);
  if (Existing == Records.end())
    return addListing(Listing, Changes);
  record &Record = Existing->second;
  Record.Confirmed = true;
  listing_state State = Listing.State;
  // A new leader may have received only a notice that was sent before the one about leaving.
  if (Record.Listing.State == listing_state::Leaving && State != listing_state::Gone)
    State = listing_state::Leaving;
  const std::size_t Before = Changes.size();
  const backend_listing Kept = Record.Listing;
  setState(Record, State, Changes);
  if (!Listing.ColdFor || State == listing_state::Gone)
    return;
  if (Changes.size() == Before)
    Changes.push_back(Kept);
  Changes.back().ColdFor = Listing.ColdFor;
}

/**
 * Adds a listing of an unknown incarnation. A leader lists only one incarnation of a name, but the
 * previous incarnation may still be listed here from an earlier leader. The previous one is
 * removed, so that its requests and failures do not count for the new one.
 */
void directory_follower::addListing(const backend_listing &Listing,
                                    std::vector<backend_listing> &Changes) {
  if (Listing.State == listing_state::Gone)
    return;
  const auto Named = ByInstance.find(Listing.Instance);
  if (Named != ByInstance.end()) {
    record &Previous = Records.at(Named->second);
    if (Previous.Listing.Started > Listing.Started)
      return;
    setState(Previous, listing_state::Gone, Changes);
  }
  ByInstance[Listing.Instance] = Listing.Key.Incarnation;
  record &Added = Records.emplace(Listing.Key.Incarnation, record{Listing, true}).first->second;
  Added.Listing.ColdFor.reset();
  Changes.push_back(Listing);
}

/// Applies a withdrawal without an address, which the leader sends if it has no notice of the
/// incarnation.
void directory_follower::applyWithdrawal(const backend_listing &Listing,
                                         std::vector<backend_listing> &Changes) {
  const auto Named = ByInstance.find(Listing.Instance);
  if (Named == ByInstance.end())
    return;
  record &Existing = Records.at(Named->second);
  if (Existing.Listing.Started > Listing.Started)
    return;
  Existing.Confirmed = true;
  setState(Existing, listing_state::Leaving, Changes);
}

void directory_follower::setState(record &Existing, listing_state State,
                                  std::vector<backend_listing> &Changes) {
  if (State == Existing.Listing.State)
    return;
  Existing.Listing.State = State;
  Changes.push_back(Existing.Listing);
  if (State != listing_state::Gone)
    return;
  ByInstance.erase(Existing.Listing.Instance);
  Records.erase(Existing.Listing.Key.Incarnation);
}

std::vector<backend_listing> directory_follower::markLeaving(const backend_key &Key) {
  std::vector<backend_listing> Changes;
  if (const auto Existing = Records.find(Key.Incarnation); Existing != Records.end())
    setState(Existing->second, listing_state::Leaving, Changes);
  return Changes;
}

std::vector<backend_listing> directory_follower::advance(mono_time Now) {
  std::vector<backend_listing> Changes;
  if (!GraceEndsAt || Now < *GraceEndsAt)
    return Changes;
  GraceEndsAt.reset();
  for (auto &[Incarnation, Existing] : Records) {
    if (Existing.Confirmed || Existing.Listing.State != listing_state::Active)
      continue;
    Existing.Listing.State = listing_state::Unresponsive;
    Changes.push_back(Existing.Listing);
  }
  return Changes;
}

const backend_listing *directory_follower::find(const backend_key &Key) const {
  const auto Existing = Records.find(Key.Incarnation);
  return Existing == Records.end() ? nullptr : &Existing->second.Listing;
}

} // namespace pollenstall

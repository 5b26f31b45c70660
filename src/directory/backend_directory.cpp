/** @file backend_directory.cpp Notices, lives that replace each other, and silence. */
#include "directory/backend_directory_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// A holder that was heard of within so many intervals is not replaced by a single notice.
constexpr int TrustedIntervals = 2;

} // namespace

void backend_directory::restore(const std::vector<backend_listing> &Listings, mono_time Now) {
  for (const backend_listing &Listing : Listings) {
    if (Records.count(Listing.Instance) != 0 || holderOf(Listing.Key.Address) != nullptr)
      continue;
    record Kept;
    Kept.Listing = Listing;
    Kept.LastHeard = Now;
    Kept.Heard = false;
    Records.emplace(Listing.Instance, std::move(Kept));
  }
}

std::vector<backend_listing> backend_directory::hear(const backend_notice &Notice, mono_time Now) {
  const auto Known = Records.find(Notice.Instance);
  const bool SameIncarnation =
      Known != Records.end() && Known->second.Listing.Started == Notice.Started;
  if (isRetired(Notice.Instance, Notice.Started)) {
    if (SameIncarnation)
      Known->second.LastHeard = Now;
    return {};
  }
  if (SameIncarnation)
    return refresh(Known->second, Notice, Now);
  std::vector<backend_listing> Changes;
  if (Known != Records.end()) {
    if (Notice.Started < Known->second.Listing.Started)
      return {}; // Late, from the life before.
    end(Known->second, Changes);
  }
  for (backend_listing &Met : meet(Notice, Now))
    Changes.push_back(std::move(Met));
  return Changes;
}

void backend_directory::end(record &Known, std::vector<backend_listing> &Changes) {
  Known.Listing.State = listing_state::Gone;
  Changes.push_back(Known.Listing);
  const backend_incarnation Ended{Known.Listing.Instance, Known.Listing.Started};
  retire(Ended);
  Records.erase(Ended.Instance);
}

std::vector<backend_listing> backend_directory::refresh(record &Known, const backend_notice &Notice,
                                                        mono_time Now) {
  if (Known.Heard && Notice.Sequence <= Known.Sequence)
    return {}; // Late: what it says is out of date.
  Known.Heard = true;
  Known.Sequence = Notice.Sequence;
  Known.LastHeard = Now;
  const bool Leaves = Notice.Leaving || Known.Listing.State == listing_state::Leaving;
  const listing_state State = Leaves ? listing_state::Leaving : listing_state::Active;
  if (State == Known.Listing.State)
    return {};
  Known.Listing.State = State;
  return {Known.Listing};
}

std::vector<backend_listing> backend_directory::meet(const backend_notice &Notice, mono_time Now) {
  std::vector<backend_listing> Changes;
  if (record *Holder = holderOf(Notice.Address)) {
    if (!mayTakeOver(*Holder, Notice, Now))
      return {};
    end(*Holder, Changes);
  }
  Challengers.erase(Notice.Address);
  if (Records.size() >= Options.MaxBackends)
    return Changes;
  record Made;
  Made.Listing = {keyOf(Notice.Address, {Notice.Instance, Notice.Started}),
                  Notice.Instance,
                  Notice.Service,
                  Notice.Domain,
                  std::max(1U, Notice.Places),
                  Notice.Leaving ? listing_state::Leaving : listing_state::Active,
                  Notice.Started};
  Made.Sequence = Notice.Sequence;
  Made.LastHeard = Now;
  Changes.push_back(Made.Listing);
  Records.emplace(Notice.Instance, std::move(Made));
  return Changes;
}

bool backend_directory::mayTakeOver(const record &Holder, const backend_notice &Notice,
                                    mono_time Now) {
  const incarnation_start HolderStarted = Holder.Listing.Started;
  const bool BothTell =
      HolderStarted != incarnation_start() && Notice.Started != incarnation_start();
  if (BothTell && Notice.Started < HolderStarted)
    return false;
  if (!Holder.Heard)
    return true; // It may have ended while nobody led.
  if (Now - Holder.LastHeard >= TrustedIntervals * Options.NoticeInterval)
    return true;
  // A notice that a partition held back can arrive after its sender has died and another life has
  // its address. Only a life that goes on speaking while the holder is silent replaces it.
  const auto Found = Challengers.find(Notice.Address);
  const bool Again = Found != Challengers.end() && Found->second.Instance == Notice.Instance &&
                     Found->second.Sequence < Notice.Sequence &&
                     Holder.LastHeard < Found->second.Since;
  if (!Again)
    Challengers[Notice.Address] = {Notice.Instance, Now, Notice.Sequence};
  return Again;
}

backend_directory::record *backend_directory::holderOf(const backend_address &Address) {
  const auto Found = std::find_if(Records.begin(), Records.end(), [&Address](const auto &Item) {
    return Item.second.Listing.Key.Address == Address;
  });
  return Found == Records.end() ? nullptr : &Found->second;
}

std::vector<backend_listing> backend_directory::withdraw(const backend_incarnation &Incarnation,
                                                         mono_time Now) {
  retire(Incarnation);
  const auto Known = Records.find(Incarnation.Instance);
  if (Known == Records.end()) {
    // An earlier leader may have listed it: entries know it by its name and start.
    backend_listing Listing;
    Listing.Key = keyOf(backend_address(), Incarnation);
    Listing.Instance = Incarnation.Instance;
    Listing.Started = Incarnation.Started;
    Listing.State = listing_state::Leaving;
    return {Listing};
  }
  if (Known->second.Listing.Started > Incarnation.Started)
    return {}; // Late: the name is that of a newer life by now.
  Known->second.LastHeard = Now;
  if (Known->second.Listing.State == listing_state::Leaving)
    return {};
  Known->second.Listing.State = listing_state::Leaving;
  return {Known->second.Listing};
}

std::vector<backend_listing> backend_directory::advance(mono_time Now) {
  std::vector<backend_listing> Changes;
  for (auto At = Records.begin(); At != Records.end();) {
    record &Known = At->second;
    const mono_duration Silence = Now - Known.LastHeard;
    if (Silence > Options.ForgetAfter) {
      const bool Leaves = Known.Listing.State == listing_state::Leaving;
      Known.Listing.State = listing_state::Gone;
      Changes.push_back(Known.Listing);
      // Silence may be a cut that ends: only what was to leave must never be given work again.
      if (Leaves)
        retire({At->first, Known.Listing.Started});
      At = Records.erase(At);
      continue;
    }
    const bool Falls = Known.Listing.State == listing_state::Active &&
                       Silence > Options.SilentAfter * Options.NoticeInterval;
    if (Falls) {
      Known.Listing.State = listing_state::Silent;
      Changes.push_back(Known.Listing);
    }
    ++At;
  }
  return Changes;
}

std::vector<backend_listing> backend_directory::all() const {
  std::vector<backend_listing> Listings;
  Listings.reserve(Records.size());
  for (const auto &[Instance, Known] : Records)
    Listings.push_back(Known.Listing);
  return Listings;
}

const backend_listing *backend_directory::find(const instance_name &Instance) const {
  const auto Known = Records.find(Instance);
  return Known == Records.end() ? nullptr : &Known->second.Listing;
}

void backend_directory::clear() {
  Records.clear();
  Challengers.clear();
}

bool backend_directory::isRetired(const instance_name &Instance, incarnation_start Started) const {
  const auto Ended = Retired.find(Instance);
  return Ended != Retired.end() && Started <= Ended->second;
}

void backend_directory::retire(const backend_incarnation &Incarnation) {
  const auto [Ended, New] = Retired.try_emplace(Incarnation.Instance, Incarnation.Started);
  Ended->second = std::max(Ended->second, Incarnation.Started);
  if (!New)
    return;
  RetiredOrder.push_back(Incarnation.Instance);
  if (RetiredOrder.size() <= Options.MaxRetired)
    return;
  Retired.erase(RetiredOrder.front());
  RetiredOrder.pop_front();
}

} // namespace pollenstall

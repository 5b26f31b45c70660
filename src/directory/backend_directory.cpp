/** @file backend_directory.cpp Notices, replaced incarnations and unresponsive backend servers. */
#include "directory/backend_directory_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

/// A holder that sent a notice within this many notice intervals is not replaced after a single
/// notice of another incarnation.
constexpr int HolderGraceIntervals = 2;

/// Added to the end of a cold period that entries are told. The next notices state nearly the same
/// end, and none of them must be passed on because it arrived a little later than usual.
constexpr std::chrono::milliseconds ColdMargin{250};
/// Entries are told of an earlier end only if it is earlier by at least this.
constexpr std::chrono::milliseconds MinColdReduction{1'000};

} // namespace

void backend_directory::restore(const std::vector<backend_listing> &Listings, mono_time Now) {
  for (const backend_listing &Listing : Listings) {
    if (Records.count(Listing.Instance) != 0 || findByAddress(Listing.Key.Address) != nullptr)
      continue;
    record Restored;
    Restored.Listing = Listing;
    Restored.LastNoticeAt = Now;
    Restored.HasNotice = false;
    Records.emplace(Listing.Instance, std::move(Restored));
  }
}

std::vector<backend_listing> backend_directory::handleNotice(const backend_notice &Notice,
                                                             mono_time Now) {
  const auto Record = Records.find(Notice.Instance);
  const bool SameIncarnation =
      Record != Records.end() && Record->second.Listing.Started == Notice.Started;
  if (isRetired(Notice.Instance, Notice.Started)) {
    if (SameIncarnation)
      Record->second.LastNoticeAt = Now;
    return {};
  }
  if (SameIncarnation)
    return updateRecord(Record->second, Notice, Now);
  std::vector<backend_listing> Changes;
  if (Record != Records.end()) {
    if (Notice.Started < Record->second.Listing.Started)
      return {}; // A late notice of the previous incarnation.
    endIncarnation(Record->second, Changes);
  }
  for (backend_listing &Change : addInstance(Notice, Now))
    Changes.push_back(std::move(Change));
  return Changes;
}

void backend_directory::endIncarnation(record &Record, std::vector<backend_listing> &Changes) {
  Record.Listing.State = listing_state::Gone;
  Changes.push_back(Record.Listing);
  const backend_incarnation Ended{Record.Listing.Instance, Record.Listing.Started};
  retire(Ended);
  Records.erase(Ended.Instance);
}

/**
 * A new leader does not accept the end of a cold period from its first notice of a server that its
 * predecessor listed: the notice may have been sent before the server turned cold.
 */
bool backend_directory::recordCold(record &Record, const backend_notice &Notice, bool IsFirst,
                                   mono_time Now) {
  if (!Notice.ColdFor)
    return false;
  const auto ColdFor = std::clamp(*Notice.ColdFor, std::chrono::milliseconds(0), MaxColdTime);
  if (IsFirst && ColdFor.count() == 0)
    return false;
  const mono_time Until = Now + ColdFor;
  const mono_time Told = Record.ColdUntil.value_or(mono_time::min());
  const bool IsCold = ColdFor.count() > 0;
  const bool IsLater = IsCold && Until > Told;
  const bool IsEarlier = Told > Now && Until + MinColdReduction + ColdMargin < Told;
  if (!IsLater && !IsEarlier && Record.ColdUntil && !Record.PassOnCold)
    return false;
  Record.PassOnCold = false;
  Record.ColdUntil = IsCold ? Until + ColdMargin : Now;
  return true;
}

backend_listing backend_directory::listingOf(const record &Record, mono_time Now) {
  backend_listing Listing = Record.Listing;
  if (Record.ColdUntil)
    Listing.ColdFor =
        std::max(std::chrono::milliseconds(0),
                 std::chrono::ceil<std::chrono::milliseconds>(*Record.ColdUntil - Now));
  return Listing;
}

void backend_directory::expectColdStatements(const failure_domain_name &Domain) {
  for (auto &[Instance, Record] : Records)
    Record.PassOnCold = Record.PassOnCold || Record.Listing.Domain == Domain;
}

std::vector<backend_listing>
backend_directory::updateRecord(record &Record, const backend_notice &Notice, mono_time Now) {
  if (Record.HasNotice && Notice.Sequence <= Record.Sequence)
    return {}; // A late notice; its content is stale.
  const bool ColdChanges = recordCold(Record, Notice, !Record.HasNotice, Now);
  Record.HasNotice = true;
  Record.Sequence = Notice.Sequence;
  Record.LastNoticeAt = Now;
  const bool IsLeaving = Notice.Leaving || Record.Listing.State == listing_state::Leaving;
  const listing_state State = IsLeaving ? listing_state::Leaving : listing_state::Active;
  if (State == Record.Listing.State && !ColdChanges)
    return {};
  Record.Listing.State = State;
  return {listingOf(Record, Now)};
}

std::vector<backend_listing> backend_directory::addInstance(const backend_notice &Notice,
                                                            mono_time Now) {
  std::vector<backend_listing> Changes;
  if (record *Holder = findByAddress(Notice.Address)) {
    if (!mayTakeOver(*Holder, Notice, Now))
      return {};
    endIncarnation(*Holder, Changes);
  }
  Challengers.erase(Notice.Address);
  if (Records.size() >= Options.MaxBackends)
    return Changes;
  record NewRecord;
  NewRecord.Listing = {keyOf(Notice.Address, {Notice.Instance, Notice.Started}),
                       Notice.Instance,
                       Notice.Service,
                       Notice.Domain,
                       std::max(1U, Notice.Slots),
                       Notice.Leaving ? listing_state::Leaving : listing_state::Active,
                       Notice.Started,
                       {}};
  NewRecord.Sequence = Notice.Sequence;
  NewRecord.LastNoticeAt = Now;
  recordCold(NewRecord, Notice, false, Now);
  Changes.push_back(listingOf(NewRecord, Now));
  Records.emplace(Notice.Instance, std::move(NewRecord));
  return Changes;
}

bool backend_directory::mayTakeOver(const record &Holder, const backend_notice &Notice,
                                    mono_time Now) {
  const incarnation_start HolderStarted = Holder.Listing.Started;
  const bool AreStartsKnown =
      HolderStarted != incarnation_start() && Notice.Started != incarnation_start();
  if (AreStartsKnown && Notice.Started < HolderStarted)
    return false;
  if (!Holder.HasNotice)
    return true; // The holder may have ended while there was no leader.
  if (Now - Holder.LastNoticeAt >= HolderGraceIntervals * Options.NoticeInterval)
    return true;
  // A notice that a partition delayed can arrive after its sender has died and another incarnation
  // holds its address. The sender replaces the holder only if it sends a further notice while the
  // holder sends none.
  const auto Found = Challengers.find(Notice.Address);
  const bool IsConfirmed =
      Found != Challengers.end() && Found->second.Instance == Notice.Instance &&
      Found->second.Sequence < Notice.Sequence && Holder.LastNoticeAt < Found->second.ChallengedAt;
  if (!IsConfirmed)
    Challengers[Notice.Address] = {Notice.Instance, Now, Notice.Sequence};
  return IsConfirmed;
}

backend_directory::record *backend_directory::findByAddress(const backend_address &Address) {
  const auto Found = std::find_if(Records.begin(), Records.end(), [&Address](const auto &Item) {
    return Item.second.Listing.Key.Address == Address;
  });
  return Found == Records.end() ? nullptr : &Found->second;
}

std::vector<backend_listing> backend_directory::withdraw(const backend_incarnation &Incarnation,
                                                         mono_time Now) {
  retire(Incarnation);
  const auto Record = Records.find(Incarnation.Instance);
  if (Record == Records.end()) {
    // An earlier leader may have listed it; entries identify it by its name and start.
    backend_listing Listing;
    Listing.Key = keyOf(backend_address(), Incarnation);
    Listing.Instance = Incarnation.Instance;
    Listing.Started = Incarnation.Started;
    Listing.State = listing_state::Leaving;
    return {Listing};
  }
  if (Record->second.Listing.Started > Incarnation.Started)
    return {}; // A late withdrawal; the name belongs to a newer incarnation.
  Record->second.LastNoticeAt = Now;
  if (Record->second.Listing.State == listing_state::Leaving)
    return {};
  Record->second.Listing.State = listing_state::Leaving;
  return {Record->second.Listing};
}

std::vector<backend_listing> backend_directory::advance(mono_time Now) {
  std::vector<backend_listing> Changes;
  for (auto Position = Records.begin(); Position != Records.end();) {
    record &Record = Position->second;
    const mono_duration TimeSinceNotice = Now - Record.LastNoticeAt;
    if (TimeSinceNotice > Options.RemoveAfter) {
      const bool IsLeaving = Record.Listing.State == listing_state::Leaving;
      Record.Listing.State = listing_state::Gone;
      Changes.push_back(Record.Listing);
      // The notices may be missing because of a partition; the backend server may then be listed
      // again after it. Only an incarnation that was leaving must never get work again.
      if (IsLeaving)
        retire({Position->first, Record.Listing.Started});
      Position = Records.erase(Position);
      continue;
    }
    const bool BecomesUnresponsive =
        Record.Listing.State == listing_state::Active &&
        TimeSinceNotice > Options.MaxMissedNotices * Options.NoticeInterval;
    if (BecomesUnresponsive) {
      Record.Listing.State = listing_state::Unresponsive;
      Changes.push_back(Record.Listing);
    }
    ++Position;
  }
  return Changes;
}

std::vector<backend_listing> backend_directory::all(mono_time Now) const {
  return listingsAfter(instance_name(), Records.size(), Now);
}

std::vector<backend_listing> backend_directory::listingsAfter(const instance_name &After,
                                                              std::size_t MaxCount,
                                                              mono_time Now) const {
  std::vector<backend_listing> Listings;
  for (auto Next = Records.upper_bound(After); Next != Records.end() && Listings.size() < MaxCount;
       ++Next)
    Listings.push_back(listingOf(Next->second, Now));
  return Listings;
}

const backend_listing *backend_directory::find(const instance_name &Instance) const {
  const auto Record = Records.find(Instance);
  return Record == Records.end() ? nullptr : &Record->second.Listing;
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
  const auto [Ended, Inserted] = Retired.try_emplace(Incarnation.Instance, Incarnation.Started);
  Ended->second = std::max(Ended->second, Incarnation.Started);
  if (!Inserted)
    return;
  RetiredOrder.push_back(Incarnation.Instance);
  if (RetiredOrder.size() <= Options.MaxRetired)
    return;
  Retired.erase(RetiredOrder.front());
  RetiredOrder.pop_front();
}

} // namespace pollenstall

/** @file suspect_table.cpp Counting of crashes, blocking and expiry of requests. */
#include "suspect/suspect_table_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

/// A single crash is usually unrelated to the request, so requests are published from the second
/// crash on.
constexpr std::uint32_t MinPublishedCrashes = 2;

} // namespace

bool suspect_table::isPublished(const suspect_record &Record, milliseconds Now) {
  return Record.Crashes >= MinPublishedCrashes || Record.BlockedUntil > Now;
}

void suspect_table::recordCrash(const std::vector<request_fingerprint> &Fingerprints,
                                incarnation Incarnation, milliseconds Now) {
  expireRecords(Now);
  for (const request_fingerprint &Fingerprint : Fingerprints)
    recordCrashOf(Fingerprint, Incarnation, Now);
}

void suspect_table::recordCrashOf(const request_fingerprint &Fingerprint, incarnation Incarnation,
                                  milliseconds Now) {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end()) {
    if (!makeRoom(Fingerprint.Account, Now))
      return;
    Found = Records.emplace(Fingerprint, suspect_record{Fingerprint, 0, 0, {}, {}, {}}).first;
  }
  suspect_record &Record = Found->second;
  const bool AlreadyCounted = std::find(Record.Incarnations.begin(), Record.Incarnations.end(),
                                        Incarnation) != Record.Incarnations.end();
  const bool WithinInterval =
      Record.Crashes > 0 && Now - Record.LastCrash < Tuning.MinCrashInterval;
  // Crashes during a block come from runs that started before it and give no new evidence.
  if (AlreadyCounted || WithinInterval || Record.BlockedUntil > Now)
    return;
  Record.Incarnations.push_back(Incarnation);
  if (Record.Incarnations.size() > Tuning.MaxIncarnations)
    Record.Incarnations.erase(Record.Incarnations.begin());
  ++Record.Crashes;
  Record.LastCrash = Now;
  if (Record.Crashes >= Tuning.BlockAfterCrashes)
    block(Record, Now);
  if (isPublished(Record, Now))
    ++Version;
}

void suspect_table::block(suspect_record &Record, milliseconds Now) {
  milliseconds Duration = Tuning.InitialBlock;
  for (std::uint32_t Doubling = 0; Doubling < Record.Blocks && Duration < Tuning.MaxBlock;
       ++Doubling)
    Duration *= 2;
  Record.BlockedUntil = Now + std::min(Duration, Tuning.MaxBlock);
  ++Record.Blocks;
  // After the block, one more crash is enough to block the request again.
  Record.Crashes = Tuning.BlockAfterCrashes - 1;
}

void suspect_table::clearByHigh(std::uint64_t High) {
  Version += std::erase_if(Records, [High](const auto &Item) { return Item.first.High == High; });
}

std::vector<published_suspect> suspect_table::published(milliseconds Now) const {
  std::vector<published_suspect> Published;
  for (const auto &[Fingerprint, Record] : Records)
    if (isPublished(Record, Now))
      Published.push_back({Fingerprint, std::max(milliseconds(0), Record.BlockedUntil - Now)});
  return Published;
}

void suspect_table::expireRecords(milliseconds Now) {
  std::erase_if(Records, [&](const auto &Item) {
    const milliseconds LastActivity = std::max(Item.second.LastCrash, Item.second.BlockedUntil);
    const bool IsExpired = Now - LastActivity > Tuning.ForgetAfter;
    Version += IsExpired && isPublished(Item.second, Now) ? 1 : 0;
    return IsExpired;
  });
}

template <typename Predicate>
bool suspect_table::evictOldest(milliseconds Now, const Predicate &IsCandidate) {
  auto Oldest = Records.end();
  for (auto Position = Records.begin(); Position != Records.end(); ++Position) {
    const suspect_record &Record = Position->second;
    if (Record.BlockedUntil > Now || !IsCandidate(Record))
      continue;
    if (Oldest == Records.end() || Record.LastCrash < Oldest->second.LastCrash)
      Oldest = Position;
  }
  if (Oldest == Records.end())
    return false;
  Version += isPublished(Oldest->second, Now) ? 1 : 0;
  Records.erase(Oldest);
  return true;
}

/// Makes room for a record of the account. An account at its limit loses its own oldest record; a
/// full table loses only records that are not published. So one account cannot evict the suspects
/// of another. @return Whether there is room.
bool suspect_table::makeRoom(std::uint64_t Account, milliseconds Now) {
  const auto OfAccount = [Account](const suspect_record &Record) {
    return Record.Fingerprint.Account == Account;
  };
  // Fingerprints are ordered by account first.
  const auto First = Records.lower_bound({Account, 0, 0, 0});
  std::size_t Count = 0;
  for (auto Position = First; Position != Records.end() && OfAccount(Position->second); ++Position)
    ++Count;
  if (Count >= Tuning.MaxRecordsPerAccount)
    return evictOldest(Now, OfAccount);
  if (Records.size() < Tuning.MaxRecords)
    return true;
  return evictOldest(
      Now, [](const suspect_record &Record) { return Record.Crashes < MinPublishedCrashes; });
}

std::vector<suspect_record> suspect_table::records() const {
  std::vector<suspect_record> AllRecords;
  AllRecords.reserve(Records.size());
  for (const auto &[Fingerprint, Record] : Records)
    AllRecords.push_back(Record);
  return AllRecords;
}

bool suspect_table::restore(const std::vector<suspect_record> &SnapshotRecords,
                            std::uint64_t SnapshotVersion) {
  if (SnapshotRecords.size() > Tuning.MaxRecords)
    return false;
  record_map NewRecords;
  for (const suspect_record &Record : SnapshotRecords)
    if (!NewRecords.emplace(Record.Fingerprint, Record).second ||
        Record.Incarnations.size() > Tuning.MaxIncarnations)
      return false;
  Records = std::move(NewRecords);
  Version = SnapshotVersion;
  return true;
}

} // namespace pollenstall

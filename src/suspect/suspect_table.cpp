/** @file suspect_table.cpp Counting of crashes, blocking and expiry of requests. */
#include "suspect/suspect_table_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

/// A single crash is usually unrelated to the request, so requests are published from the second
/// crash on.
constexpr std::uint32_t MinPublishedCrashes = 2;

bool hasCrash(const suspect_record &Record, const incarnation &Crashed) {
  return std::find(Record.Incarnations.begin(), Record.Incarnations.end(), Crashed) !=
         Record.Incarnations.end();
}

std::size_t countShared(const suspect_record &First, const suspect_record &Second) {
  return static_cast<std::size_t>(
      std::count_if(First.Incarnations.begin(), First.Incarnations.end(),
                    [&Second](const incarnation &Crashed) { return hasCrash(Second, Crashed); }));
}

} // namespace

bool suspect_table::isPublished(const suspect_record &Record, milliseconds Now) {
  return Record.Crashes >= MinPublishedCrashes || Record.BlockedUntil > Now;
}

void suspect_table::recordCrash(const std::vector<request_fingerprint> &Fingerprints,
                                incarnation Incarnation, milliseconds Now) {
  expireRecords(Now);
  const bool IsExplained = isExplained(Incarnation, Now);
  for (const request_fingerprint &Fingerprint : Fingerprints)
    if (!IsExplained || !Fingerprint.isPromptPart() || isBlocked(Fingerprint, Now))
      recordCrashOf(Fingerprint, Incarnation, Now);
  blockLikeliestPart(Fingerprints, Now);
}

bool suspect_table::isBlocked(const request_fingerprint &Fingerprint, milliseconds Now) const {
  const auto Found = Records.find(Fingerprint);
  return Found != Records.end() && Found->second.BlockedUntil > Now;
}

/// Several entries report a crash, each with its own runs.
bool suspect_table::isExplained(incarnation Crashed, milliseconds Now) const {
  for (const auto &[Fingerprint, Record] : Records) {
    if (!Fingerprint.isPromptPart())
      break;
    if (Record.BlockedUntil > Now && hasCrash(Record, Crashed))
      return true;
  }
  return false;
}

void suspect_table::recordCrashOf(const request_fingerprint &Fingerprint, incarnation Incarnation,
                                  milliseconds Now) {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end()) {
    if (!makeRoom(Fingerprint.Account, Now))
      return;
    Found =
        Records.emplace(Fingerprint, suspect_record{Fingerprint, 0, 0, {}, {}, {}, 0, {}}).first;
  }
  suspect_record &Record = Found->second;
  if (hasCrash(Record, Incarnation))
    return;
  const bool IsPart = Fingerprint.isPromptPart();
  const milliseconds MinInterval = IsPart ? Tuning.MinPartCrashInterval : Tuning.MinCrashInterval;
  const bool WithinInterval = Record.Crashes > 0 && Now - Record.LastCrash < MinInterval;
  // Crashes during a block come from runs that started before it and give no new evidence.
  const bool IsBlocked = Record.BlockedUntil > Now;
  if ((WithinInterval || IsBlocked) && !IsPart)
    return;
  Record.Incarnations.push_back(Incarnation);
  if (Record.Incarnations.size() > Tuning.MaxIncarnations)
    Record.Incarnations.erase(Record.Incarnations.begin());
  if (IsBlocked)
    return discountExplained(Record, Now);
  if (WithinInterval)
    return;
  ++Record.Crashes;
  Record.LastCrash = Now;
  if (IsPart)
    return recordCrashOfPart(Record, Now);
  if (Record.Crashes >= Tuning.BlockAfterCrashes) {
    block(Record, Now);
    discountExplained(Record, Now);
  }
  if (isPublished(Record, Now))
    ++Version;
}

void suspect_table::recordCrashOfPart(suspect_record &Record, milliseconds Now) {
  if (Record.Crashes != MinPublishedCrashes)
    return;
  Record.WatchedSince = Now;
  ++Version;
}

bool suspect_table::mayBlockPart(const suspect_record &Record, milliseconds Now) const {
  const std::uint32_t Outweighed = Record.RunsBegun / Tuning.RunsPerCrash;
  return Record.BlockedUntil <= Now && Record.Crashes >= Tuning.BlockAfterCrashes + Outweighed &&
         Now - Record.WatchedSince >= Tuning.MinWatchTime;
}

std::int64_t suspect_table::weightOf(const suspect_record &Record) const {
  return std::int64_t{Record.Crashes} * Tuning.RunsPerCrash - Record.RunsBegun;
}

/// Entries report their own runs only, so that the cause may be missing in a report of its crash.
bool suspect_table::hasLikelierCause(const suspect_record &Record, milliseconds Now) const {
  // Parts that always come together stay equal; one of them is then as good as the other.
  const bool MayBeEqual = Record.Crashes > Tuning.BlockAfterCrashes;
  for (const auto &[Fingerprint, Other] : Records) {
    if (!Fingerprint.isPromptPart())
      break;
    const bool IsLikelier =
        weightOf(Other) > weightOf(Record) || (weightOf(Other) == weightOf(Record) && !MayBeEqual);
    if (&Other != &Record && Other.BlockedUntil <= Now && IsLikelier &&
        2 * countShared(Record, Other) >= Record.Incarnations.size())
      return true;
  }
  return false;
}

void suspect_table::blockLikeliestPart(const std::vector<request_fingerprint> &Fingerprints,
                                       milliseconds Now) {
  suspect_record *Likeliest = nullptr;
  for (const request_fingerprint &Fingerprint : Fingerprints) {
    const auto Found = Records.find(Fingerprint);
    if (Found == Records.end() || !Fingerprint.isPromptPart() || !mayBlockPart(Found->second, Now))
      continue;
    if (Likeliest == nullptr || weightOf(Found->second) > weightOf(*Likeliest))
      Likeliest = &Found->second;
  }
  if (Likeliest == nullptr || hasLikelierCause(*Likeliest, Now))
    return;
  block(*Likeliest, Now);
  Likeliest->RunsBegun = 0;
  discountExplained(*Likeliest, Now);
  ++Version;
}

/// Takes the crashes with this cause from the other parts of prompts.
void suspect_table::discountExplained(const suspect_record &Cause, milliseconds Now) {
  for (auto At = Records.begin(); At != Records.end() && At->first.isPromptPart();) {
    suspect_record &Record = At->second;
    const auto IsExplained = [&Cause](const incarnation &Crashed) {
      return hasCrash(Cause, Crashed);
    };
    std::size_t Explained = 0;
    if (&Record != &Cause && Record.BlockedUntil <= Now)
      Explained = std::erase_if(Record.Incarnations, IsExplained);
    Record.Crashes -= static_cast<std::uint32_t>(std::min<std::size_t>(Explained, Record.Crashes));
    const bool IsHarmless = Explained > 0 && Record.Crashes == 0;
    Version += Explained > 0 ? 1 : 0;
    At = IsHarmless ? Records.erase(At) : std::next(At);
  }
}

void suspect_table::recordRunBegun(std::uint64_t High, milliseconds Now) {
  for (auto At = Records.begin(); At != Records.end() && At->first.isPromptPart(); ++At) {
    suspect_record &Record = At->second;
    // During a block, runs begin that were sent before it.
    if (At->first.High != High || Record.BlockedUntil > Now)
      continue;
    ++Record.RunsBegun;
    if (Record.RunsBegun >= Record.Crashes * Tuning.RunsPerCrash) {
      Version += isPublished(Record, Now) ? 1 : 0;
      Records.erase(At);
    }
    return;
  }
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

bool suspect_table::isExpired(const suspect_record &Record, milliseconds Now) const {
  const bool IsBriefSuspect = Record.Fingerprint.isPromptPart() && Record.Blocks == 0;
  const milliseconds LastActivity = std::max(Record.LastCrash, Record.BlockedUntil);
  return Now - LastActivity > (IsBriefSuspect ? Tuning.ForgetPartAfter : Tuning.ForgetAfter);
}

void suspect_table::expireRecords(milliseconds Now) {
  std::erase_if(Records, [&](const auto &Item) {
    const bool Expires = isExpired(Item.second, Now);
    Version += Expires && isPublished(Item.second, Now) ? 1 : 0;
    return Expires;
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
  const bool ForParts = Account == request_fingerprint::AnyAccount;
  if (Count >= (ForParts ? Tuning.MaxPromptParts : Tuning.MaxRecordsPerAccount))
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

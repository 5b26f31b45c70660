/** @file suspect_table.cpp Counting, blocking and forgetting. */
#include "suspect/suspect_table_base.h"

#include <algorithm>

namespace pollenstall {

namespace {

using std::chrono::milliseconds;

/// One crash is most often the server's own; entries are told of a request from the second one on.
constexpr std::uint32_t ToldFrom = 2;

} // namespace

bool suspect_table::isTold(const suspect_record &Record, milliseconds Now) {
  return Record.Crashes >= ToldFrom || Record.BlockedUntil > Now;
}

void suspect_table::noteCrash(const std::vector<request_mark> &Marks, incarnation Incarnation,
                              milliseconds Now) {
  forgetOld(Now);
  for (const request_mark &Mark : Marks)
    noteOne(Mark, Incarnation, Now);
}

void suspect_table::noteOne(const request_mark &Mark, incarnation Incarnation, milliseconds Now) {
  auto Found = Records.find(Mark);
  if (Found == Records.end()) {
    if (!makeRoom(Mark.Account, Now))
      return;
    Found = Records.emplace(Mark, suspect_record{Mark, 0, 0, {}, {}, {}}).first;
  }
  suspect_record &Record = Found->second;
  const bool Known = std::find(Record.Incarnations.begin(), Record.Incarnations.end(),
                               Incarnation) != Record.Incarnations.end();
  const bool TooClose = Record.Crashes > 0 && Now - Record.LastCrash < Tuning.Apart;
  // What still ran when it was blocked says nothing new.
  if (Known || TooClose || Record.BlockedUntil > Now)
    return;
  Record.Incarnations.push_back(Incarnation);
  if (Record.Incarnations.size() > Tuning.MaxIncarnations)
    Record.Incarnations.erase(Record.Incarnations.begin());
  ++Record.Crashes;
  Record.LastCrash = Now;
  if (Record.Crashes >= Tuning.MostCrashes)
    block(Record, Now);
  if (isTold(Record, Now))
    ++Version;
}

void suspect_table::block(suspect_record &Record, milliseconds Now) {
  milliseconds Span = Tuning.BlockFor;
  for (std::uint32_t Time = 0; Time < Record.Blocks && Span < Tuning.LongestBlock; ++Time)
    Span *= 2;
  Record.BlockedUntil = Now + std::min(Span, Tuning.LongestBlock);
  ++Record.Blocks;
  // After the block the next crash is enough.
  Record.Crashes = Tuning.MostCrashes - 1;
}

void suspect_table::clear(std::uint64_t High) {
  Version += std::erase_if(Records, [High](const auto &Item) { return Item.first.High == High; });
}

std::vector<told_suspect> suspect_table::told(milliseconds Now) const {
  std::vector<told_suspect> Told;
  for (const auto &[Mark, Record] : Records)
    if (isTold(Record, Now))
      Told.push_back({Mark, std::max(milliseconds(0), Record.BlockedUntil - Now)});
  return Told;
}

void suspect_table::forgetOld(milliseconds Now) {
  std::erase_if(Records, [&](const auto &Item) {
    const milliseconds Last = std::max(Item.second.LastCrash, Item.second.BlockedUntil);
    const bool Old = Now - Last > Tuning.ForgetAfter;
    Version += Old && isTold(Item.second, Now) ? 1 : 0;
    return Old;
  });
}

template <typename Counts> bool suspect_table::dropOldest(milliseconds Now, const Counts &Of) {
  auto Oldest = Records.end();
  for (auto At = Records.begin(); At != Records.end(); ++At) {
    const suspect_record &Record = At->second;
    if (Record.BlockedUntil > Now || !Of(Record))
      continue;
    if (Oldest == Records.end() || Record.LastCrash < Oldest->second.LastCrash)
      Oldest = At;
  }
  if (Oldest == Records.end())
    return false;
  Version += isTold(Oldest->second, Now) ? 1 : 0;
  Records.erase(Oldest);
  return true;
}

/// One account cannot push out what is kept of another one.
bool suspect_table::makeRoom(std::uint64_t Account, milliseconds Now) {
  const auto OfAccount = [Account](const suspect_record &Record) {
    return Record.Mark.Account == Account;
  };
  // Marks sort by account first.
  const auto First = Records.lower_bound({Account, 0, 0, 0});
  std::size_t Count = 0;
  for (auto At = First; At != Records.end() && OfAccount(At->second); ++At)
    ++Count;
  if (Count >= Tuning.MostOfAccount)
    return dropOldest(Now, OfAccount);
  if (Records.size() < Tuning.MostRecords)
    return true;
  return dropOldest(Now, [](const suspect_record &Record) { return Record.Crashes < ToldFrom; });
}

std::vector<suspect_record> suspect_table::records() const {
  std::vector<suspect_record> All;
  All.reserve(Records.size());
  for (const auto &[Mark, Record] : Records)
    All.push_back(Record);
  return All;
}

bool suspect_table::restore(const std::vector<suspect_record> &Kept, std::uint64_t KeptVersion) {
  if (Kept.size() > Tuning.MostRecords)
    return false;
  record_map Taken;
  for (const suspect_record &Record : Kept)
    if (!Taken.emplace(Record.Mark, Record).second ||
        Record.Incarnations.size() > Tuning.MaxIncarnations)
      return false;
  Records = std::move(Taken);
  Version = KeptVersion;
  return true;
}

} // namespace pollenstall

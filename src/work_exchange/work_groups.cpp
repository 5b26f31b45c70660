/** @file work_groups.cpp Groups of about equal size within each failure domain. */
#include "work_exchange/work_groups_func.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pollenstall {

namespace {

std::size_t groupSize(std::size_t Entries, std::size_t MaxDirectEntries) {
  if (Entries <= MaxDirectEntries)
    return 1;
  return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(Entries))));
}

/// By which fraction a group may exceed the mean size.
constexpr double SizeTolerance = 0.25;

/// Returns the highest-ranked group that is not full (rendezvous hashing). Each entry ranks the
/// groups differently, so that adding or removing an entry moves few others.
std::size_t preferredGroup(const std::string &Address, const std::vector<work_group> &Groups,
                           std::size_t MaxSize) {
  std::size_t Best = Groups.size();
  std::uint64_t BestRank = 0;
  for (std::size_t Group = 0; Group < Groups.size(); ++Group) {
    const std::uint64_t Rank = combineHashes(stableHash(Address), Group + 1);
    if (Groups[Group].size() < MaxSize && (Best == Groups.size() || Rank > BestRank)) {
      Best = Group;
      BestRank = Rank;
    }
  }
  return Best;
}

std::vector<work_group> groupsOf(const std::vector<std::string> &Addresses, std::size_t Size) {
  std::vector<work_group> Groups((Addresses.size() + Size - 1) / Size);
  const double Mean = static_cast<double>(Addresses.size()) / static_cast<double>(Groups.size());
  const auto MaxSize = static_cast<std::size_t>(std::ceil(Mean * (1 + SizeTolerance)));
  for (const std::string &Address : Addresses)
    Groups[preferredGroup(Address, Groups, Size == 1 ? 1 : MaxSize)].push_back(Address);
  std::erase_if(Groups, [](const work_group &Group) { return Group.empty(); });
  return Groups;
}

} // namespace

std::vector<work_group> planGroups(std::vector<work_entry> Entries, std::size_t MaxDirectEntries) {
  // Sorted by hash, since entries with neighbouring addresses are often replaced together.
  const auto Rank = [](const work_entry &Entry) {
    return std::pair(combineHashes(stableHash(Entry.Address), 0), Entry.Address);
  };
  std::sort(Entries.begin(), Entries.end(),
            [&Rank](const work_entry &A, const work_entry &B) { return Rank(A) < Rank(B); });
  Entries.erase(std::unique(Entries.begin(), Entries.end()), Entries.end());
  const std::size_t Size = groupSize(Entries.size(), MaxDirectEntries);
  std::map<failure_domain_name, std::vector<std::string>> Domains;
  for (const work_entry &Entry : Entries)
    Domains[Entry.Domain].push_back(Entry.Address);
  std::vector<work_group> Groups;
  for (const auto &[Domain, Addresses] : Domains)
    for (work_group &Group : groupsOf(Addresses, Size))
      Groups.push_back(std::move(Group));
  return Groups;
}

} // namespace pollenstall

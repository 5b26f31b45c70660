/** @file work_groups.cpp Groups of about equal size within each failure domain. */
#include "work_exchange/work_groups_func.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pollenstall {

namespace {

std::size_t groupSize(std::size_t Entries, std::size_t MostDirect) {
  if (Entries <= MostDirect)
    return 1;
  return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(Entries))));
}

} // namespace

std::vector<work_group> planGroups(std::vector<work_entry> Entries, std::size_t MostDirect) {
  // An order by hash: neighbours by address are often replaced together.
  const auto Rank = [](const work_entry &Entry) {
    return std::pair(mixHash(stableHash(Entry.Address), 0), Entry.Address);
  };
  std::sort(Entries.begin(), Entries.end(),
            [&Rank](const work_entry &A, const work_entry &B) { return Rank(A) < Rank(B); });
  Entries.erase(std::unique(Entries.begin(), Entries.end()), Entries.end());
  const std::size_t Size = groupSize(Entries.size(), MostDirect);
  std::map<failure_domain_name, std::vector<std::string>> Domains;
  for (const work_entry &Entry : Entries)
    Domains[Entry.Domain].push_back(Entry.Address);
  std::vector<work_group> Groups;
  for (const auto &[Domain, Addresses] : Domains) {
    const std::size_t First = Groups.size();
    const std::size_t Count = (Addresses.size() + Size - 1) / Size;
    Groups.resize(First + Count);
    for (std::size_t Place = 0; Place < Addresses.size(); ++Place)
      Groups[First + Place % Count].push_back(Addresses[Place]);
  }
  return Groups;
}

} // namespace pollenstall

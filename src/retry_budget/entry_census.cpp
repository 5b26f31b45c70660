/** @file entry_census.cpp Highest number of entries over a time. */
#include "retry_budget/entry_census_base.h"

#include <algorithm>

namespace pollenstall {

void entry_census::record(std::size_t Entries, mono_time Now) {
  if (Lists.empty() || Lists.back().Entries != Entries)
    Lists.push_back({Now, Entries});
}

std::size_t entry_census::highestSince(mono_time Since) const {
  std::size_t Highest = 0;
  for (auto List = Lists.rbegin(); List != Lists.rend(); ++List) {
    Highest = std::max(Highest, List->Entries);
    if (List->ReceivedAt <= Since)
      break;
  }
  return Highest;
}

void entry_census::forgetBefore(mono_time Time) {
  while (Lists.size() > 1 && Lists[1].ReceivedAt <= Time)
    Lists.pop_front();
}

} // namespace pollenstall

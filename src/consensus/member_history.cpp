/** @file member_history.cpp The sets of members along the log, so that a truncation can go back. */
#include "consensus/member_history_base.h"

namespace pollenstall {

const member_set &member_history::at(log_index Index) const {
  const placed_set *Found = &Sets.front();
  for (const placed_set &Set : Sets)
    if (Set.Index <= Index)
      Found = &Set;
  return Found->Members;
}

void member_history::append(log_index Index, member_set Set) {
  requireInvariant(Index > currentIndex(), "sets of members follow the log's order");
  Sets.push_back({Index, std::move(Set)});
}

void member_history::truncateFrom(log_index Index) {
  while (Sets.size() > 1 && Sets.back().Index >= Index)
    Sets.pop_back();
}

void member_history::compactTo(log_index Index) {
  while (Sets.size() > 1 && Sets[1].Index <= Index)
    Sets.erase(Sets.begin());
}

void member_history::reset(log_index Index, member_set Set) {
  Sets.assign(1, placed_set{Index, std::move(Set)});
}

} // namespace pollenstall

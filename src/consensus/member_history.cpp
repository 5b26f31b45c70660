/** @file member_history.cpp Member sets by log index, to restore one after a truncation. */
#include "consensus/member_history_base.h"

namespace pollenstall {

const member_set &member_history::at(log_index Index) const {
  const indexed_set *InForce = &Sets.front();
  for (const indexed_set &Set : Sets)
    if (Set.Index <= Index)
      InForce = &Set;
  return InForce->Members;
}

void member_history::append(log_index Index, member_set Set) {
  requireInvariant(Index > currentIndex(), "member sets are appended in log order");
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
  Sets.assign(1, indexed_set{Index, std::move(Set)});
}

} // namespace pollenstall

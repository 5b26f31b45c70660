/** @file update_queue.cpp Queue of records to gossip. */
#include "membership/update_queue_base.h"

#include <algorithm>

namespace pollenstall {

std::vector<queued_update> update_queue::byUrgency() const {
  std::vector<queued_update> Ordered;
  Ordered.reserve(Items.size());
  for (const auto &[Subject, Update] : Items)
    Ordered.push_back(Update);
  std::stable_sort(
      Ordered.begin(), Ordered.end(), [](const queued_update &A, const queued_update &B) {
        return A.Priority != B.Priority ? A.Priority < B.Priority : A.Rounds > B.Rounds;
      });
  return Ordered;
}

} // namespace pollenstall

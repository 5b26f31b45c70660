/** @file news_queue.cpp Which records still have to be passed on, and how often. */
#include "membership/news_queue_base.h"

#include <algorithm>

namespace pollenstall {

std::vector<news_item> news_queue::inOrder() const {
  std::vector<news_item> Ordered;
  Ordered.reserve(Items.size());
  for (const auto &[Subject, Item] : Items)
    Ordered.push_back(Item);
  std::stable_sort(Ordered.begin(), Ordered.end(), [](const news_item &A, const news_item &B) {
    return A.Priority != B.Priority ? A.Priority < B.Priority : A.Rounds > B.Rounds;
  });
  return Ordered;
}

} // namespace pollenstall

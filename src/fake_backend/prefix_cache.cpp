/** @file prefix_cache.cpp Counted blocks with LRU eviction. */
#include "core/core.h"
#include "fake_backend/prefix_cache_base.h"

#include <utility>

namespace pollenstall {

std::int64_t prefix_cache::matching(const std::vector<std::uint64_t> &Hashes) const {
  std::int64_t Count = 0;
  for (const std::uint64_t Hash : Hashes) {
    if (!Entries.contains(Hash))
      break;
    ++Count;
  }
  return Count;
}

void prefix_cache::pin(std::uint64_t Hash) {
  const auto Found = Entries.find(Hash);
  requireInvariant(Found != Entries.end(), "a pinned block is held");
  if (Found->second.Users++ > 0)
    return;
  Idle.erase(Found->second.Place);
  ++Pinned;
}

void prefix_cache::unpin(std::uint64_t Hash) {
  const auto Found = Entries.find(Hash);
  requireInvariant(Found != Entries.end() && Found->second.Users > 0,
                   "an unpinned block is in use");
  if (--Found->second.Users > 0)
    return;
  Found->second.Place = Idle.insert(Idle.end(), Hash);
  --Pinned;
}

bool prefix_cache::adopt(std::uint64_t Hash) {
  const auto [Place, Added] = Entries.try_emplace(Hash);
  if (!Added)
    return false;
  Place->second.Users = 1;
  ++Pinned;
  Changes.Stored.push_back(Hash);
  return true;
}

bool prefix_cache::evictOne() {
  if (Idle.empty())
    return false;
  Changes.Removed.push_back(Idle.front());
  Entries.erase(Idle.front());
  Idle.pop_front();
  return true;
}

prefix_cache::changes prefix_cache::takeChanges() { return std::exchange(Changes, {}); }

} // namespace pollenstall

/** @file prefix_cache.cpp Reference-counted blocks with LRU eviction. */
#include "core/core.h"
#include "fake_backend/prefix_cache_base.h"

#include <utility>

namespace pollenstall {

std::int64_t prefix_cache::countCachedPrefix(const std::vector<std::uint64_t> &Hashes) const {
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
  requireInvariant(Found != Entries.end(), "a block to pin is cached");
  if (Found->second.PinCount++ > 0)
    return;
  Idle.erase(Found->second.IdlePosition);
  ++Pinned;
}

void prefix_cache::unpin(std::uint64_t Hash) {
  const auto Found = Entries.find(Hash);
  requireInvariant(Found != Entries.end() && Found->second.PinCount > 0,
                   "a block to unpin is pinned");
  if (--Found->second.PinCount > 0)
    return;
  Found->second.IdlePosition = Idle.insert(Idle.end(), Hash);
  --Pinned;
}

bool prefix_cache::insertPinned(std::uint64_t Hash) {
  const auto [Block, Added] = Entries.try_emplace(Hash);
  if (!Added)
    return false;
  Block->second.PinCount = 1;
  ++Pinned;
  Changes.Stored.push_back(Hash);
  return true;
}

bool prefix_cache::evictLeastRecentlyUsed() {
  if (Idle.empty())
    return false;
  Changes.Removed.push_back(Idle.front());
  Entries.erase(Idle.front());
  Idle.pop_front();
  return true;
}

prefix_cache::changes prefix_cache::takeChanges() { return std::exchange(Changes, {}); }

} // namespace pollenstall

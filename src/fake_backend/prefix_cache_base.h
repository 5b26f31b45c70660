/** @file prefix_cache_base.h LRU cache of KV memory blocks that hold prompt prefixes. */
#ifndef POLLENSTALL_FAKE_BACKEND_PREFIX_CACHE_BASE_H
#define POLLENSTALL_FAKE_BACKEND_PREFIX_CACHE_BASE_H

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// Blocks keyed by the hash of the prefix that ends with them. Blocks in use are reference-counted;
/// idle blocks are kept in LRU order.
class prefix_cache {
public:
  /// Returns the number of leading hashes that are cached, without pinning them.
  [[nodiscard]] std::int64_t countCachedPrefix(const std::vector<std::uint64_t> &Hashes) const;

  /// Increments the pin count of a cached block; unpin() decrements it.
  void pin(std::uint64_t Hash);
  void unpin(std::uint64_t Hash);

  /// Inserts a block with a pin count of 1. @return False if a block with this hash is cached.
  bool insertPinned(std::uint64_t Hash);

  /// Evicts the least recently used idle block. @return False if there was none.
  bool evictLeastRecentlyUsed();

  [[nodiscard]] std::int64_t pinned() const { return Pinned; }
  [[nodiscard]] std::int64_t idle() const { return static_cast<std::int64_t>(Idle.size()); }

  /// Hashes inserted and evicted since the last call of takeChanges(), for the cache events.
  struct changes {
    std::vector<std::uint64_t> Stored;
    std::vector<std::uint64_t> Removed;
  };
  changes takeChanges();

private:
  struct entry {
    std::int64_t PinCount{0};
    std::list<std::uint64_t>::iterator IdlePosition; ///< Position in Idle while PinCount is 0.
  };

  std::unordered_map<std::uint64_t, entry> Entries;
  std::list<std::uint64_t> Idle; ///< Least recently used first.
  std::int64_t Pinned{0};
  changes Changes;
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_PREFIX_CACHE_BASE_H

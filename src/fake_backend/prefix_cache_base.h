/** @file prefix_cache_base.h Blocks of KV memory that hold prefixes of prompts. */
#ifndef POLLENSTALL_FAKE_BACKEND_PREFIX_CACHE_BASE_H
#define POLLENSTALL_FAKE_BACKEND_PREFIX_CACHE_BASE_H

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// Blocks by hash of the prefix they end; those in use are counted, the others wait in LRU order.
class prefix_cache {
public:
  /// @return Leading hashes that are held, without taking them into use.
  [[nodiscard]] std::int64_t matching(const std::vector<std::uint64_t> &Hashes) const;

  /// Takes a held block into use; unpin() gives it back.
  void pin(std::uint64_t Hash);
  void unpin(std::uint64_t Hash);

  /// Adds a block that is in use already. @return False where one with this hash is held.
  bool adopt(std::uint64_t Hash);

  /// Drops the least recently used block that is not in use. @return Whether there was one.
  bool evictOne();

  [[nodiscard]] std::int64_t pinned() const { return Pinned; }
  [[nodiscard]] std::int64_t idle() const { return static_cast<std::int64_t>(Idle.size()); }

  /// Hashes adopted and evicted since the last call, for the cache events.
  struct changes {
    std::vector<std::uint64_t> Stored;
    std::vector<std::uint64_t> Removed;
  };
  changes takeChanges();

private:
  struct entry {
    std::int64_t Users{0};
    std::list<std::uint64_t>::iterator Place; ///< In Idle while Users is 0.
  };

  std::unordered_map<std::uint64_t, entry> Entries;
  std::list<std::uint64_t> Idle; ///< Least recently used first.
  std::int64_t Pinned{0};
  changes Changes;
};

} // namespace pollenstall

#endif // POLLENSTALL_FAKE_BACKEND_PREFIX_CACHE_BASE_H

/** @file prefix_affinity_base.h Maps prompt prefixes to the engine that last received them. */
#ifndef POLLENSTALL_SCHEDULING_PREFIX_AFFINITY_BASE_H
#define POLLENSTALL_SCHEDULING_PREFIX_AFFINITY_BASE_H

#include "core/core.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// The engine expected to have the longest prefix of a prompt in its cache.
struct cached_prefix {
  backend_key Backend;
  double Share{0}; ///< Expected cached part of the prompt, 0 to 1, scaled by the average hit ratio.
};

/// Bounded LRU map from prefix hash to engine.
class prefix_affinity {
public:
  /// @param MaxHashes Maximum number of stored hashes.
  explicit prefix_affinity(std::size_t MaxHashes) : Capacity(MaxHashes) {}

  /// Records that a prompt with these prefix hashes was placed on the engine.
  void record(const std::vector<std::uint64_t> &PrefixHashes, const backend_key &Backend);
  /// Returns the engine that last received the longest known prefix, if any prefix is known.
  [[nodiscard]] std::optional<cached_prefix>
  find(const std::vector<std::uint64_t> &PrefixHashes) const;
  /// Updates the hit ratio from an engine's report of cached tokens. Both values are shares of the
  /// prompt, from 0 to 1.
  void observeHit(double ExpectedShare, double FoundShare);
  /// Removes the hashes of an engine that is gone, since its cache is gone too.
  void eraseBackend(const backend_key &Backend);
  [[nodiscard]] std::size_t size() const { return RecentFirst.size(); }

private:
  struct prefix_entry {
    std::uint64_t Hash{0};
    backend_key Backend;
  };

  std::size_t Capacity;
  double HitRatio{0.8}; ///< Average ratio of found to expected cached tokens.
  std::list<prefix_entry> RecentFirst;
  std::unordered_map<std::uint64_t, std::list<prefix_entry>::iterator> ByHash;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_PREFIX_AFFINITY_BASE_H

/** @file affinity_base.h Which engine last got a prompt prefix, and so may have it cached. */
#ifndef POLLENSTALL_SCHEDULING_AFFINITY_BASE_H
#define POLLENSTALL_SCHEDULING_AFFINITY_BASE_H

#include "core/core.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pollenstall {

/// The engine believed to cache the longest part of a prompt.
struct cached_prefix {
  backend_key Backend;
  double Share{0}; ///< Part of the prompt, from 0 to 1, already weighed by how often it held.
};

/// A bounded map from prefix hash to engine; the least recently used hash makes room.
class affinity {
public:
  /// @param Bound Hashes remembered at most.
  explicit affinity(std::size_t Bound) : Capacity(Bound) {}

  /// The prompt with these leading chunks goes to that engine.
  void record(const std::vector<std::uint64_t> &PrefixHashes, const backend_key &Backend);
  /// @return The engine that got the deepest known chunk, if any chunk is known.
  [[nodiscard]] std::optional<cached_prefix>
  find(const std::vector<std::uint64_t> &PrefixHashes) const;
  /// An engine told what it found. @param Expected, Found Shares of the prompt.
  void learn(double Expected, double Found);
  /// Forgets an engine that is gone; its cache went with it.
  void forget(const backend_key &Backend);
  [[nodiscard]] std::size_t size() const { return Order.size(); }

private:
  struct entry {
    std::uint64_t Hash{0};
    backend_key Backend;
  };

  std::size_t Capacity;
  double Trust{0.8};      ///< How much of an expected hit is found, on average.
  std::list<entry> Order; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> ByHash;
};

} // namespace pollenstall

#endif // POLLENSTALL_SCHEDULING_AFFINITY_BASE_H

/** @file prefix_affinity.cpp Bounded LRU map from prefix hash to engine. */
#include "scheduling/prefix_affinity_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

constexpr double HitRatioGain = 0.05;
constexpr double MinHitRatio = 0.05; ///< Above 0, so that later hits can raise the ratio again.
/// An engine always processes the last tokens, even if the whole prompt is cached.
constexpr double MaxShare = 0.95;

} // namespace

void prefix_affinity::record(const std::vector<std::uint64_t> &PrefixHashes,
                             const backend_key &Backend) {
  for (const std::uint64_t Hash : PrefixHashes) {
    const auto Found = ByHash.find(Hash);
    if (Found != ByHash.end())
      RecentFirst.erase(Found->second);
    RecentFirst.push_front(prefix_entry{Hash, Backend});
    ByHash[Hash] = RecentFirst.begin();
  }
  while (RecentFirst.size() > Capacity) {
    ByHash.erase(RecentFirst.back().Hash);
    RecentFirst.pop_back();
  }
}

std::optional<cached_prefix>
prefix_affinity::find(const std::vector<std::uint64_t> &PrefixHashes) const {
  // The hash of a chunk covers all chunks before it, so the known hashes come first and a binary
  // search finds the last one. A long prompt has hundreds of hashes, and each attempt to place it
  // calls find().
  const auto IsKnown = [this](std::uint64_t Hash) { return ByHash.contains(Hash); };
  const auto FirstUnknown = std::partition_point(PrefixHashes.begin(), PrefixHashes.end(), IsKnown);
  if (FirstUnknown == PrefixHashes.begin())
    return std::nullopt;
  const auto Depth = static_cast<double>(FirstUnknown - PrefixHashes.begin());
  const double Part = Depth / static_cast<double>(PrefixHashes.size());
  const backend_key &Backend = ByHash.at(*(FirstUnknown - 1))->Backend;
  return cached_prefix{Backend, std::min(Part, MaxShare) * HitRatio};
}

void prefix_affinity::observeHit(double ExpectedShare, double FoundShare) {
  if (ExpectedShare <= 0.0)
    return;
  const double ObservedRatio = std::clamp(FoundShare * HitRatio / ExpectedShare, 0.0, 1.0);
  HitRatio = std::max(MinHitRatio, HitRatio + HitRatioGain * (ObservedRatio - HitRatio));
}

void prefix_affinity::eraseBackend(const backend_key &Backend) {
  for (auto Iterator = RecentFirst.begin(); Iterator != RecentFirst.end();) {
    if (Iterator->Backend != Backend) {
      ++Iterator;
      continue;
    }
    ByHash.erase(Iterator->Hash);
    Iterator = RecentFirst.erase(Iterator);
  }
}

} // namespace pollenstall

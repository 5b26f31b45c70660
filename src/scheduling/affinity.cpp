/** @file affinity.cpp The bounded map from prefix hash to engine. */
#include "scheduling/affinity_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

constexpr double TrustGain = 0.05;
constexpr double LeastTrust = 0.05; ///< Kept above nothing so that hits can raise it again.
/// The last tokens are always processed, even where the whole prompt is cached.
constexpr double GreatestShare = 0.95;

} // namespace

void affinity::record(const std::vector<std::uint64_t> &PrefixHashes, const backend_key &Backend) {
  for (const std::uint64_t Hash : PrefixHashes) {
    const auto Found = ByHash.find(Hash);
    if (Found != ByHash.end())
      Order.erase(Found->second);
    Order.push_front(entry{Hash, Backend});
    ByHash[Hash] = Order.begin();
  }
  while (Order.size() > Capacity) {
    ByHash.erase(Order.back().Hash);
    Order.pop_back();
  }
}

std::optional<cached_prefix> affinity::find(const std::vector<std::uint64_t> &PrefixHashes) const {
  // A chunk's hash covers what stands before it, so the known chunks are the first ones: a long
  // prompt has hundreds, and this runs for each try to place it.
  const auto Known = [this](std::uint64_t Hash) { return ByHash.contains(Hash); };
  const auto Unknown = std::partition_point(PrefixHashes.begin(), PrefixHashes.end(), Known);
  if (Unknown == PrefixHashes.begin())
    return std::nullopt;
  const auto Depth = static_cast<double>(Unknown - PrefixHashes.begin());
  const double Part = Depth / static_cast<double>(PrefixHashes.size());
  const backend_key &Backend = ByHash.at(*(Unknown - 1))->Backend;
  return cached_prefix{Backend, std::min(Part, GreatestShare) * Trust};
}

void affinity::learn(double Expected, double Found) {
  if (Expected <= 0.0)
    return;
  const double Held = std::clamp(Found * Trust / Expected, 0.0, 1.0);
  Trust = std::max(LeastTrust, Trust + TrustGain * (Held - Trust));
}

void affinity::forget(const backend_key &Backend) {
  for (auto Entry = Order.begin(); Entry != Order.end();) {
    if (Entry->Backend != Backend) {
      ++Entry;
      continue;
    }
    ByHash.erase(Entry->Hash);
    Entry = Order.erase(Entry);
  }
}

} // namespace pollenstall

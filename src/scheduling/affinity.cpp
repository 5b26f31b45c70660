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
  for (std::size_t Depth = PrefixHashes.size(); Depth > 0; --Depth) {
    const auto Found = ByHash.find(PrefixHashes[Depth - 1]);
    if (Found == ByHash.end())
      continue;
    const double Part = static_cast<double>(Depth) / static_cast<double>(PrefixHashes.size());
    return cached_prefix{Found->second->Backend, std::min(Part, GreatestShare) * Trust};
  }
  return std::nullopt;
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

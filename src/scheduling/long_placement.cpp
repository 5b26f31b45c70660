/** @file long_placement.cpp Order and number of the engines for long prompts. */
#include "scheduling/long_placement_func.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace pollenstall {
namespace {

/// Long prompts are few and large, so a set of engines sized for the mean demand would queue them.
constexpr double DemandHeadroom = 1.25;

std::uint64_t rankOf(const backend_key &Backend) {
  return combineHashes(stableHash(Backend.Address.str()), Backend.Incarnation.value());
}

} // namespace

std::vector<backend_key> longWorkOrder(const std::vector<long_work_candidate> &Candidates) {
  using ranked_backends = std::set<std::pair<std::uint64_t, backend_key>>;
  std::map<failure_domain_name, ranked_backends> Domains;
  for (const long_work_candidate &Candidate : Candidates)
    Domains[Candidate.Domain].emplace(rankOf(Candidate.Backend), Candidate.Backend);
  std::vector<backend_key> Order;
  Order.reserve(Candidates.size());
  while (!Domains.empty()) {
    for (auto DomainEntry = Domains.begin(); DomainEntry != Domains.end();) {
      Order.push_back(DomainEntry->second.begin()->second);
      DomainEntry->second.erase(DomainEntry->second.begin());
      DomainEntry =
          DomainEntry->second.empty() ? Domains.erase(DomainEntry) : std::next(DomainEntry);
    }
  }
  return Order;
}

std::size_t longEngineCount(std::size_t Engines, double MaxShare, double LongCostShare) {
  if (Engines == 0)
    return 0;
  const auto EngineCount = static_cast<double>(Engines);
  const double MaxCount = std::floor(EngineCount * std::clamp(MaxShare, 0.0, 1.0));
  const double DemandCount =
      std::ceil(EngineCount * std::clamp(LongCostShare, 0.0, 1.0) * DemandHeadroom);
  return static_cast<std::size_t>(std::max(1.0, std::min(MaxCount, DemandCount)));
}

} // namespace pollenstall

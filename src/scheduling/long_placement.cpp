/** @file long_placement.cpp The common order of engines for long work, and how many take it. */
#include "scheduling/long_placement_func.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace pollenstall {
namespace {

/// Long prompts come in few and large pieces; a set just as large as the mean demand queues.
constexpr double DemandHeadroom = 1.25;

std::uint64_t rankOf(const backend_key &Backend) {
  return combineHashes(stableHash(Backend.Address.str()), Backend.Incarnation.value());
}

} // namespace

std::vector<backend_key> longWorkOrder(const std::vector<long_candidate> &Candidates) {
  using ranked_backends = std::set<std::pair<std::uint64_t, backend_key>>;
  std::map<failure_domain_name, ranked_backends> Domains;
  for (const long_candidate &Candidate : Candidates)
    Domains[Candidate.Domain].emplace(rankOf(Candidate.Backend), Candidate.Backend);
  std::vector<backend_key> Order;
  Order.reserve(Candidates.size());
  while (!Domains.empty()) {
    for (auto Domain = Domains.begin(); Domain != Domains.end();) {
      Order.push_back(Domain->second.begin()->second);
      Domain->second.erase(Domain->second.begin());
      Domain = Domain->second.empty() ? Domains.erase(Domain) : std::next(Domain);
    }
  }
  return Order;
}

std::size_t longEngineCount(std::size_t Engines, double GreatestShare, double LongDemand) {
  if (Engines == 0)
    return 0;
  const auto All = static_cast<double>(Engines);
  const double Most = std::floor(All * std::clamp(GreatestShare, 0.0, 1.0));
  const double Wanted = std::ceil(All * std::clamp(LongDemand, 0.0, 1.0) * DemandHeadroom);
  return static_cast<std::size_t>(std::max(1.0, std::min(Most, Wanted)));
}

} // namespace pollenstall

/** @file reach_watch.cpp Failures of one spell. */
#include "placement/reach_watch_base.h"

#include <algorithm>
#include <set>

namespace pollenstall {

void reach_watch::noteUnreached(const backend_key &Backend, const failure_domain_name &Domain,
                                mono_time Now) {
  std::erase_if(Failures, [&](const failure &Known) {
    return Known.Backend == Backend || (!Out && Now - Known.At > Spell);
  });
  Failures.push_back({Backend, Domain, Now});
  Out = Out || severalFailed();
}

bool reach_watch::severalFailed() const {
  std::set<failure_domain_name> Domains;
  for (const failure &Known : Failures)
    Domains.insert(Known.Domain);
  return Failures.size() >= LeastServers && Domains.size() >= LeastDomains;
}

void reach_watch::noteReached() {
  Failures.clear();
  Out = false;
}

std::vector<backend_key> reach_watch::unreached() const {
  std::vector<backend_key> Servers;
  for (const failure &Known : Failures)
    Servers.push_back(Known.Backend);
  return Servers;
}

} // namespace pollenstall

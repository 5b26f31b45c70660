/** @file reachability_monitor.cpp Failed connections within a time window. */
#include "placement/reachability_monitor_base.h"

#include <algorithm>
#include <set>

namespace pollenstall {

void reachability_monitor::recordUnreachable(const backend_key &Backend,
                                             const failure_domain_name &Domain, mono_time Now) {
  std::erase_if(Failures, [&](const failure &Failure) {
    return Failure.Backend == Backend || (!Isolated && Now - Failure.Time > FailureWindow);
  });
  Failures.push_back({Backend, Domain, Now});
  Isolated = Isolated || isWidespread();
}

bool reachability_monitor::isWidespread() const {
  std::set<failure_domain_name> Domains;
  for (const failure &Failure : Failures)
    Domains.insert(Failure.Domain);
  return Failures.size() >= MinServers && Domains.size() >= MinDomains;
}

void reachability_monitor::recordReachable() {
  Failures.clear();
  Isolated = false;
}

std::vector<backend_key> reachability_monitor::unreachableServers() const {
  std::vector<backend_key> Servers;
  for (const failure &Failure : Failures)
    Servers.push_back(Failure.Backend);
  return Servers;
}

} // namespace pollenstall

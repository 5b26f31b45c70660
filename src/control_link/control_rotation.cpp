/** @file control_rotation.cpp Round robin, leader hints and backoff. */
#include "control_link/control_rotation_base.h"

#include "address/address.h"

#include <algorithm>
#include <utility>

namespace pollenstall {

control_rotation::control_rotation(std::vector<std::string> Addresses,
                                   std::chrono::milliseconds InitialBackoff,
                                   std::chrono::milliseconds LargestBackoff)
    : Configured(std::move(Addresses)), Hosts(Configured), MinBackoff(InitialBackoff),
      MaxBackoff(LargestBackoff), Backoff(InitialBackoff) {}

std::optional<std::string> control_rotation::next(mono_time Now) {
  if (Now < NextAttemptAt)
    return std::nullopt;
  NextAttemptAt = Now + Backoff;
  Backoff = std::min(Backoff * 2, MaxBackoff);
  FollowedLeaderHint = !LeaderHint.empty();
  if (FollowedLeaderHint)
    return std::exchange(LeaderHint, {});
  return Hosts[NextIndex++ % Hosts.size()];
}

void control_rotation::recordConnectionLoss(bool LeaderAnswered, mono_time Now) {
  NextAttemptAt = LeaderAnswered ? Now : std::max(NextAttemptAt, Now);
}

void control_rotation::recordRedirect(const std::string &Leader, mono_time Now) {
  LeaderHint = tcpEndpoint(Leader) ? Leader : std::string();
  if (!LeaderHint.empty())
    NextAttemptAt = FollowedLeaderHint ? Now + MinBackoff : Now;
}

void control_rotation::updateHosts(const std::vector<std::string> &Listed) {
  Hosts = Configured;
  for (const std::string &Address : Listed)
    if (tcpEndpoint(Address) && std::find(Hosts.begin(), Hosts.end(), Address) == Hosts.end())
      Hosts.push_back(Address);
}

} // namespace pollenstall

/** @file ejection.cpp Outlier detection between backend servers, with a cap and probing. */
#include "scheduling/ejection_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr double SampleGain = 0.15;
constexpr double FailingShare = 0.5;
constexpr double FailingSamples = 5.0;
constexpr std::uint32_t FailingInRow = 3;
constexpr double SlowFactor = 3.0; ///< Slower than the median of its peers by this.
constexpr double SlowSamples = 3.0;
constexpr std::size_t LeastPeers = 3; ///< A median of fewer says nothing.
constexpr mono_duration FirstEjection = 5s;
constexpr std::uint32_t MostDoublings = 4;

double medianRate(const std::vector<peer_speed> &Group) {
  std::vector<double> Rates;
  for (const peer_speed &Peer : Group)
    if (Peer.Samples >= SlowSamples)
      Rates.push_back(Peer.Rate);
  if (Rates.size() < LeastPeers)
    return 0;
  const auto Middle = Rates.begin() + static_cast<std::ptrdiff_t>(Rates.size() / 2);
  std::nth_element(Rates.begin(), Middle, Rates.end());
  return *Middle;
}

} // namespace

void ejection::observe(const backend_key &Backend, bool Failed, mono_time Now) {
  server_state &Server = Servers[Backend];
  Server.Samples += 1.0;
  Server.FailureShare += SampleGain * ((Failed ? 1.0 : 0.0) - Server.FailureShare);
  Server.FailedInRow = Failed ? Server.FailedInRow + 1 : 0;
  if (Server.State != ejection_state::Probing)
    return;
  if (Failed) {
    eject(Server, Server.Slow, Now);
    return;
  }
  const std::uint32_t Times = Server.TimesEjected;
  Server = server_state{};
  Server.TimesEjected = Times;
}

bool ejection::fails(const server_state &Server) {
  const bool Mostly = Server.Samples >= FailingSamples && Server.FailureShare >= FailingShare;
  return Mostly || Server.FailedInRow >= FailingInRow;
}

void ejection::eject(server_state &Server, bool Slow, mono_time Now) {
  const std::uint32_t Doublings = std::min(Server.TimesEjected, MostDoublings);
  Server.State = ejection_state::Ejected;
  Server.Slow = Slow;
  Server.Until = Now + FirstEjection * (1U << Doublings);
  ++Server.TimesEjected;
}

void ejection::review(const std::vector<peer_speed> &Group, std::uint32_t MostPercent,
                      mono_time Now) {
  const double Median = medianRate(Group);
  std::size_t Aside = 0;
  for (const peer_speed &Peer : Group) {
    const auto Found = Servers.find(Peer.Backend);
    if (Found == Servers.end())
      continue;
    server_state &Server = Found->second;
    if (Server.State == ejection_state::Ejected && Server.Until <= Now)
      Server.State = ejection_state::Probing;
    if (Server.State != ejection_state::Admitted)
      ++Aside;
  }
  const std::size_t Most = Group.size() * MostPercent / 100;
  for (const peer_speed &Peer : Group) {
    if (Aside >= Most)
      return;
    server_state &Server = Servers[Peer.Backend];
    if (Server.State != ejection_state::Admitted)
      continue;
    const bool Slow = Peer.Samples >= SlowSamples && Peer.Rate * SlowFactor < Median;
    if (!Slow && !fails(Server))
      continue;
    eject(Server, Slow, Now);
    ++Aside;
  }
}

bool ejection::admits(const backend_key &Backend, std::uint32_t Outstanding) const {
  const ejection_state State = state(Backend);
  return State == ejection_state::Admitted ||
         (State == ejection_state::Probing && Outstanding == 0);
}

ejection_state ejection::state(const backend_key &Backend) const {
  const auto Found = Servers.find(Backend);
  return Found == Servers.end() ? ejection_state::Admitted : Found->second.State;
}

} // namespace pollenstall

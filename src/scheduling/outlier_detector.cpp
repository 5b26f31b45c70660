/** @file outlier_detector.cpp Outlier detection between backend servers, with a cap and probing. */
#include "scheduling/outlier_detector_base.h"

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr double SampleGain = 0.15;
constexpr double FailureShareThreshold = 0.5;
constexpr double MinFailureSamples = 5.0;
constexpr std::uint32_t ConsecutiveFailureThreshold = 3;
constexpr double SlowFactor = 3.0; ///< A server slower than the median by this factor is ejected.
constexpr double MinSpeedSamples = 3.0;
constexpr std::size_t MinPeers = 3; ///< The median of fewer peers is not meaningful.
constexpr mono_duration BaseEjectionTime = 5s;
constexpr std::uint32_t MaxDoublings = 4;

double medianRate(const std::vector<peer_speed> &Peers) {
  std::vector<double> Rates;
  for (const peer_speed &Peer : Peers)
    if (Peer.Samples >= MinSpeedSamples)
      Rates.push_back(Peer.Rate);
  if (Rates.size() < MinPeers)
    return 0;
  const auto Middle = Rates.begin() + static_cast<std::ptrdiff_t>(Rates.size() / 2);
  std::nth_element(Rates.begin(), Middle, Rates.end());
  return *Middle;
}

} // namespace

void outlier_detector::observe(const backend_key &Backend, bool Failed, mono_time Now) {
  server_state &Server = Servers[Backend];
  Server.Samples += 1.0;
  Server.FailureShare += SampleGain * ((Failed ? 1.0 : 0.0) - Server.FailureShare);
  Server.ConsecutiveFailures = Failed ? Server.ConsecutiveFailures + 1 : 0;
  if (Server.State != ejection_state::Probing)
    return;
  if (Failed) {
    eject(Server, Server.Slow, Now);
    return;
  }
  const std::uint32_t PreviousEjections = Server.EjectionCount;
  Server = server_state{};
  Server.EjectionCount = PreviousEjections;
}

bool outlier_detector::isFailing(const server_state &Server) {
  const bool FailsOften =
      Server.Samples >= MinFailureSamples && Server.FailureShare >= FailureShareThreshold;
  return FailsOften || Server.ConsecutiveFailures >= ConsecutiveFailureThreshold;
}

void outlier_detector::eject(server_state &Server, bool Slow, mono_time Now) {
  const std::uint32_t Doublings = std::min(Server.EjectionCount, MaxDoublings);
  Server.State = ejection_state::Ejected;
  Server.Slow = Slow;
  Server.EjectedUntil = Now + BaseEjectionTime * (1U << Doublings);
  ++Server.EjectionCount;
}

void outlier_detector::updateEjections(const std::vector<peer_speed> &Peers,
                                       std::uint32_t MaxEjectPercent, mono_time Now) {
  const double MedianRate = medianRate(Peers);
  std::size_t NotAdmitted = 0;
  for (const peer_speed &Peer : Peers) {
    const auto Found = Servers.find(Peer.Backend);
    if (Found == Servers.end())
      continue;
    server_state &Server = Found->second;
    if (Server.State == ejection_state::Ejected && Server.EjectedUntil <= Now)
      Server.State = ejection_state::Probing;
    if (Server.State != ejection_state::Admitted)
      ++NotAdmitted;
  }
  const std::size_t MaxNotAdmitted = Peers.size() * MaxEjectPercent / 100;
  for (const peer_speed &Peer : Peers) {
    if (NotAdmitted >= MaxNotAdmitted)
      return;
    server_state &Server = Servers[Peer.Backend];
    if (Server.State != ejection_state::Admitted)
      continue;
    const bool Slow = Peer.Samples >= MinSpeedSamples && Peer.Rate * SlowFactor < MedianRate;
    if (!Slow && !isFailing(Server))
      continue;
    eject(Server, Slow, Now);
    ++NotAdmitted;
  }
}

bool outlier_detector::admits(const backend_key &Backend, std::uint32_t Outstanding) const {
  const ejection_state State = state(Backend);
  return State == ejection_state::Admitted ||
         (State == ejection_state::Probing && Outstanding == 0);
}

ejection_state outlier_detector::state(const backend_key &Backend) const {
  const auto Found = Servers.find(Backend);
  return Found == Servers.end() ? ejection_state::Admitted : Found->second.State;
}

} // namespace pollenstall

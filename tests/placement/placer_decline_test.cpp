/** @file placer_decline_test.cpp Placement on servers that turn requests away. */
#include "placer_fixture.h"

#include <map>

namespace pollenstall {
namespace {

/// Servers of which each declines a part of its requests, before an entry with a steady load.
struct declining_servers_test : placer_fixture {
  static constexpr int RequestsPerSecond = 50;

  /// Sends requests for a time; each is answered after 20 ms, or declined. @return The requests
  /// that each server got.
  std::map<backend_key, int> load(int Seconds) {
    std::map<backend_key, int> Arrivals;
    for (int Sent = 0; Sent < Seconds * RequestsPerSecond; ++Sent) {
      submitRequest(1'000);
      for (const work_placement &Placement : poll()) {
        ++Arrivals[Placement.Backend];
        answer(Placement);
      }
      Now += 1000ms / RequestsPerSecond;
    }
    return Arrivals;
  }
  void answer(const work_placement &Placement) {
    const auto Declining = DeclinedFraction.find(Placement.Backend);
    const bool Declines = Declining != DeclinedFraction.end() && Random.chance(Declining->second);
    if (!Declines) {
      beginAnswer(Placement.Request);
      return completeAttempt(Placement.Request);
    }
    ++Declined;
    attempt_report Report;
    Report.Failure = attempt_failure::Declined;
    Placer.attemptEnded(attemptOf(Placement.Request), Report, Now);
  }

  std::map<backend_key, double> DeclinedFraction;
  int Declined{0};
  random_source Random{1};
};

// Guards against servers that turn everything away and, without work, look idle: a third of them
// got half of all requests.
TEST_F(declining_servers_test, GetOnlyProbesIfTheyDeclineAll) {
  constexpr int Seconds = 10;
  constexpr std::size_t DecliningServers = 6;
  for (std::size_t Index = 0; Index < DecliningServers; ++Index)
    DeclinedFraction[makeListing(Index).Key] = 1;
  load(Seconds);
  // One probe a second for each.
  EXPECT_LE(Declined, static_cast<int>(DecliningServers) * Seconds);
}

TEST_F(declining_servers_test, AreUsedAgainOnceTheyDeclineNothing) {
  DeclinedFraction[makeListing(0).Key] = 1;
  load(5);
  DeclinedFraction.clear();
  load(5);
  EXPECT_GT(load(5)[makeListing(0).Key], 0);
}

// A server that declines four in ten still gets half as many requests as a sound one.
TEST_F(declining_servers_test, GetTheirShareIfTheyDeclineSome) {
  const backend_key Server = makeListing(0).Key;
  const int Sound = load(10)[Server];
  DeclinedFraction[Server] = 0.4;
  load(5);
  EXPECT_GE(load(10)[Server], Sound / 2);
}

// Guards against a fleet that takes part of the work and gets none because each server declines.
TEST_F(declining_servers_test, AreAllUsedIfAllDeclineSome) {
  for (std::size_t Index = 0; Index < Engines; ++Index)
    DeclinedFraction[makeListing(Index).Key] = 0.4;
  int Arrived = 0;
  for (const auto &[Server, Count] : load(10))
    Arrived += Count;
  EXPECT_EQ(Arrived, 10 * RequestsPerSecond);
}

} // namespace
} // namespace pollenstall

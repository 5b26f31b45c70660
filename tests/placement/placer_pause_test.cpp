/** @file placer_pause_test.cpp Placement while servers have asked for a pause. */
#include "placer_fixture.h"

#include <algorithm>

namespace pollenstall {
namespace {

struct paused_servers_test : placer_fixture {
  void pause(std::size_t Index, std::chrono::milliseconds Time) {
    Placer.pauseBackend(makeListing(Index).Key, Time, Now);
  }
  void pauseAll(std::chrono::milliseconds Time) {
    for (std::size_t Index = 0; Index < Engines; ++Index)
      pause(Index, Time);
  }
  /// Submits short requests, each of which is declined at once. @return How many were placed on one
  /// server.
  std::size_t placementsOn(const backend_key &Server, int Requests) {
    std::size_t Count = 0;
    for (int Request = 0; Request < Requests; ++Request) {
      submitRequest(1'000);
      for (const work_placement &Placement : poll()) {
        Count += Placement.Backend == Server ? 1 : 0;
        attempt_report Report;
        Report.Failure = attempt_failure::Declined;
        Placer.attemptEnded(attemptOf(Placement.Request), Report, Now);
      }
    }
    return Count;
  }
};

// Guards against requests to servers that have asked for a pause: without work, they look idle.
TEST_F(paused_servers_test, GetNoWorkUntilTheirPauseEnds) {
  const backend_key First = makeListing(0).Key;
  ASSERT_GT(placementsOn(First, 50), 0U);
  pause(0, 3s);
  EXPECT_EQ(placementsOn(First, 200), 0U);
  Now += 3s;
  EXPECT_GT(placementsOn(First, 200), 0U);
}

TEST_F(paused_servers_test, AreNoLastResort) {
  removeAllExcept(makeListing(0).Key);
  pause(0, 1s);
  submitRequest(1'000);
  EXPECT_TRUE(poll().empty());
  Now += 1s;
  EXPECT_EQ(poll().size(), 1U);
}

TEST_F(paused_servers_test, NeitherPrefillNorHoldPartsOfLongPrompts) {
  for (std::size_t Index = 0; Index < Engines; Index += 2)
    pause(Index, 3s);
  submitRequest(200'000);
  submitRequest(500'000);
  for (const work_placement &Placement : poll()) {
    std::vector<backend_key> Used = Placement.Helpers;
    Used.push_back(Placement.Backend);
    for (const memory_hold &Hold : Placement.Holds)
      Used.push_back(Hold.Backend);
    for (std::size_t Index = 0; Index < Engines; Index += 2)
      EXPECT_EQ(std::count(Used.begin(), Used.end(), makeListing(Index).Key), 0);
  }
}

// Guards against claims that take effect after one of their servers has asked for a pause.
TEST_F(paused_servers_test, LoseTheWorkThatWasClaimedForThem) {
  submitRequest(200'000);
  ASSERT_TRUE(pollOnce().empty()) << "a claim is published first";
  pauseAll(1s);
  Now += load_exchange_properties().ClaimDelay;
  EXPECT_TRUE(pollOnce().empty());
}

TEST_F(paused_servers_test, HaveTheirWorkRefusedAtOnceIfAllPausesAreLong) {
  pauseAll(5s);
  submitRequest(1'000);
  const poll_outcome Outcome = Placer.poll(Now);
  EXPECT_TRUE(Outcome.Placements.empty());
  ASSERT_EQ(Outcome.Expiries.size(), 1U);
  EXPECT_EQ(Outcome.Expiries[0].Refusal.RetryAfter, 5s);
}

TEST_F(paused_servers_test, AreWaitedForIfOnePauseIsShort) {
  pauseAll(5s);
  removeAllExcept(makeListing(3).Key);
  Placer.updateBackend(makeListing(4));
  pause(3, 1s);
  Now += 4s;
  submitRequest(1'000);
  EXPECT_TRUE(Placer.poll(Now).Expiries.empty());
  Now += 1s;
  EXPECT_EQ(poll().size(), 1U);
}

// The caller has a part of the answer, which a refusal would truncate.
TEST_F(paused_servers_test, AreWaitedForByResumedStreams) {
  pauseAll(5s);
  submitRequest(1'000, 250ms, true);
  EXPECT_TRUE(Placer.poll(Now).Expiries.empty());
}

} // namespace
} // namespace pollenstall

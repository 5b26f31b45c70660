/** @file placer_permits_test.cpp Placement on servers that state a rate limit. */
#include "placer_fixture.h"

namespace pollenstall {
namespace {

struct placer_with_limits : placer_fixture {
  std::uint64_t Permits{0};

  void limit(std::size_t Engine) {
    Placer.permits().record({makeListing(Engine).Key, {}, requests_per_second(2), {}}, Now);
    reply(Engine, {}, 0ms);
  }
  void reply(std::size_t Engine, const permit_stamp &Permit, std::chrono::milliseconds RetryAfter) {
    Placer.permits().receive(
        {makeListing(Engine).Key.Incarnation, requests_per_second(2), Permit, RetryAfter, false},
        Now);
  }
  /// Answers the requests for permits. @return How many there were.
  std::size_t answerRequests(bool Permit, std::chrono::milliseconds RetryAfter = 500ms) {
    std::size_t Requests = 0;
    for (const permit_message &Message : Placer.permits().takeMessages(Now)) {
      const auto *Request = std::get_if<permit_request>(&Message);
      if (Request == nullptr || !Request->Wanted)
        continue;
      ++Requests;
      for (std::size_t Engine = 0; Engine < Engines; ++Engine)
        if (makeListing(Engine).Key.Incarnation == Request->Server)
          reply(Engine, Permit ? permit_stamp{1, ++Permits} : permit_stamp{},
                Permit ? 0ms : RetryAfter);
    }
    return Requests;
  }
};

// Guards against requests that are sent to a server with a limit without a permit.
TEST_F(placer_with_limits, WithoutPermitsWorkGoesToOtherServers) {
  for (std::size_t Engine = 0; Engine < 3; ++Engine)
    limit(Engine);
  for (int Request = 0; Request < 30; ++Request) {
    submitRequest(5'000);
    std::vector<work_placement> Placements;
    for (int Step = 0; Step < 3 && Placements.empty(); ++Step) {
      Placements = poll();
      Now += 10ms;
    }
    ASSERT_EQ(Placements.size(), 1U);
    EXPECT_FALSE(Placements[0].Permit.isSet());
    for (std::size_t Engine = 0; Engine < 3; ++Engine)
      EXPECT_NE(Placements[0].Backend, makeListing(Engine).Key);
    beginAnswer(Placements[0].Request);
    completeAttempt(Placements[0].Request);
  }
}

TEST_F(placer_with_limits, EachPermitAllowsOnePlacement) {
  removeAllExcept(makeListing(4).Key);
  limit(4);
  submitRequest(5'000);
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  EXPECT_EQ(answerRequests(true), 1U);
  const auto Placements = poll();
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_EQ(Placements[0].Permit, (permit_stamp{1, 1}));
  EXPECT_EQ(Placer.queued(), 1U);
}

// All servers of a service state a limit and their issuers have no permits for longer than the work
// may wait: it is refused at once, with the time at which a permit may come.
TEST_F(placer_with_limits, WorkThatNoPermitCanReachInTimeIsRefusedAtOnce) {
  removeAllExcept(makeListing(4).Key);
  limit(4);
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  ASSERT_EQ(answerRequests(false, 4'000ms), 1U);
  Now += 10ms;
  const poll_outcome Outcome = Placer.poll(Now);
  ASSERT_EQ(Outcome.Expiries.size(), 1U);
  EXPECT_EQ(Outcome.Expiries[0].Refusal.RetryAfter, std::chrono::seconds(4));
  EXPECT_EQ(Placer.queued(), 0U);
}

// A limit that becomes known while a claim waits for its delay: the placement has no permit and
// must not start.
TEST_F(placer_with_limits, ClaimEndsIfAnEngineStatesALimitMeanwhile) {
  submitRequest(154'000);
  EXPECT_TRUE(pollOnce().empty());
  EXPECT_EQ(Placer.claimsMade(), 1U);
  for (std::size_t Engine = 0; Engine < Engines; ++Engine)
    limit(Engine);
  Now += load_exchange_properties().ClaimDelay;
  EXPECT_TRUE(pollOnce().empty());
  EXPECT_EQ(Placer.queued(), 1U);
}

// Holds are renewed by further requests, for which there may be no permit.
TEST_F(placer_with_limits, EnginesWithALimitHoldNoMemoryOfAnotherEnginesPrompt) {
  for (std::size_t Engine = 0; Engine < Engines / 2; ++Engine)
    limit(Engine);
  submitRequest(400'000);
  const auto Placements = poll();
  ASSERT_EQ(Placements.size(), 1U);
  for (std::size_t Engine = 0; Engine < Engines / 2; ++Engine) {
    EXPECT_NE(Placements[0].Backend, makeListing(Engine).Key);
    for (const backend_key &Helper : Placements[0].Helpers)
      EXPECT_NE(Helper, makeListing(Engine).Key);
  }
}

} // namespace
} // namespace pollenstall

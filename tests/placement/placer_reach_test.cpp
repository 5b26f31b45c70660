/** @file placer_reach_test.cpp An entry that reaches no backend server. */
#include "placer_story.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>

namespace pollenstall {
namespace {

/// Engines of two failure domains, to which connections meet silence.
struct entry_without_a_link : placer_story {
  void SetUp() override {
    placer_story::SetUp();
    for (std::size_t Place = 0; Place < Engines; ++Place) {
      backend_listing Listing = listing(Place);
      Listing.Domain = failure_domain_name(Place % 2 == 0 ? "a" : "b");
      Placer.updateBackend(Listing);
    }
  }
  /// @return The server to which a new request's connection was not made, if it was tried at all.
  std::optional<backend_key> tryOne(std::chrono::milliseconds Silence) {
    const request_number Request = arrive(1'000);
    const auto Placed = poll();
    if (Placed.empty()) {
      Placer.withdraw(Request);
      return std::nullopt;
    }
    Now += Silence;
    attempt_report Report;
    Report.Failure = attempt_failure::NotConnected;
    Placer.attemptEnded(attempt(Placed[0].Request), Report, Now);
    return Placed[0].Backend;
  }
};

// The link of an entry was full: eleven connections in a row met silence at eight healthy servers.
// One request used up eight attempts, and each server was paused for it, also once the link worked
// again.
TEST_F(entry_without_a_link, BlamesNoServerAndTriesNowAndThen) {
  std::set<backend_key> Failed;
  for (int Attempt = 0; Attempt < 8 && !Placer.reachesNobody(); ++Attempt)
    if (const auto Backend = tryOne(300ms))
      Failed.insert(*Backend);
  ASSERT_EQ(Failed.size(), 4U);
  EXPECT_TRUE(Placer.reachesNobody());
  std::size_t Tries = 0;
  std::optional<request_number> Trial;
  for (int Step = 0; Step < 9; ++Step) {
    Now += 100ms;
    arrive(1'000);
    for (const work_placement &Placement : poll()) {
      ++Tries;
      Trial = Placement.Request;
    }
  }
  EXPECT_EQ(Tries, 3U);
  ASSERT_TRUE(Trial);
  answer(*Trial);
  EXPECT_FALSE(Placer.reachesNobody());
  std::set<backend_key> Used;
  for (int Step = 0; Step < 40; ++Step) {
    arrive(1'000);
    for (const work_placement &Placement : poll())
      Used.insert(Placement.Backend);
  }
  EXPECT_TRUE(std::any_of(Failed.begin(), Failed.end(), [&Used](const backend_key &Backend) {
    return Used.contains(Backend);
  })) << "they are the first in the common order, and nobody's fault";
}

// Servers that crash refuse connections at once, which shows that the link works.
TEST_F(entry_without_a_link, IsNotSuspectedWhereConnectionsAreRefused) {
  for (int Attempt = 0; Attempt < 6; ++Attempt)
    EXPECT_TRUE(tryOne(2ms));
  EXPECT_FALSE(Placer.reachesNobody());
}

// A failure domain is lost: its servers meet silence, and others are tried at once.
TEST_F(entry_without_a_link, IsNotSuspectedWhereOneDomainIsSilent) {
  for (std::size_t Place = 1; Place < Engines; Place += 2)
    Placer.removeBackend(listing(Place).Key);
  for (int Attempt = 0; Attempt < 8; ++Attempt)
    EXPECT_TRUE(tryOne(300ms));
  EXPECT_FALSE(Placer.reachesNobody());
}

// Silence at one server now and another one a while ago says nothing of the link.
TEST_F(entry_without_a_link, IsNotSuspectedForFailuresThatAreFarApart) {
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    tryOne(300ms);
    Now += 1200ms;
  }
  EXPECT_FALSE(Placer.reachesNobody());
}

// What waits meanwhile is refused when its time to wait is over, with a time to come back.
TEST_F(entry_without_a_link, RefusesWhatWaitsForTooLong) {
  for (int Attempt = 0; Attempt < 8 && !Placer.reachesNobody(); ++Attempt)
    tryOne(300ms);
  ASSERT_TRUE(Placer.reachesNobody());
  constexpr std::size_t Waiting = 20;
  for (std::size_t Count = 0; Count < Waiting; ++Count)
    arrive(1'000);
  std::size_t Tried = 0;
  std::size_t Refused = 0;
  for (int Step = 0; Step < 31; ++Step) {
    const poll_outcome Outcome = Placer.poll(Now);
    Tried += Outcome.Placements.size();
    for (const work_expiry &Expiry : Outcome.Expiries) {
      EXPECT_TRUE(Expiry.Refusal.RetryAfter.has_value());
      ++Refused;
    }
    Now += 100ms;
  }
  EXPECT_LE(Tried, 11U);
  EXPECT_EQ(Tried + Refused, Waiting);
}

} // namespace
} // namespace pollenstall

/** @file placer_reach_test.cpp Tests of an entry that reaches no backend server. */
#include "placer_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>

namespace pollenstall {
namespace {

/// Engines in two failure domains, and attempts whose connection fails.
struct reachability_fixture : placer_fixture {
  void SetUp() override {
    placer_fixture::SetUp();
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      backend_listing Listing = makeListing(Index);
      Listing.Domain = failure_domain_name(Index % 2 == 0 ? "a" : "b");
      Placer.updateBackend(Listing);
    }
  }
  /// Submits a request whose connection fails after FailureDelay.
  /// @return The backend server of the failed attempt, if the request was placed.
  std::optional<backend_key> tryConnection(std::chrono::milliseconds FailureDelay) {
    const request_number Request = submitRequest(1'000);
    const auto NewPlacements = poll();
    if (NewPlacements.empty()) {
      Placer.withdraw(Request);
      return std::nullopt;
    }
    Now += FailureDelay;
    attempt_report Report;
    Report.Failure = attempt_failure::NotConnected;
    Placer.attemptEnded(attemptOf(NewPlacements[0].Request), Report, Now);
    return NewPlacements[0].Backend;
  }
};

// With an overloaded link of the entry, eleven consecutive connections to eight healthy servers got
// no response. One request used up eight attempts, and each server was in backoff, even after the
// link worked again.
TEST_F(reachability_fixture, IsolatedEntryAvoidsBackoffAndProbesPeriodically) {
  std::set<backend_key> FailedServers;
  for (int Attempt = 0; Attempt < 8 && !Placer.reachesNoBackend(); ++Attempt)
    if (const auto Backend = tryConnection(300ms))
      FailedServers.insert(*Backend);
  ASSERT_EQ(FailedServers.size(), 4U);
  EXPECT_TRUE(Placer.reachesNoBackend());
  std::size_t ProbeCount = 0;
  std::optional<request_number> ProbeRequest;
  for (int Step = 0; Step < 9; ++Step) {
    Now += 100ms;
    submitRequest(1'000);
    for (const work_placement &Placement : poll()) {
      ++ProbeCount;
      ProbeRequest = Placement.Request;
    }
  }
  EXPECT_EQ(ProbeCount, 3U);
  ASSERT_TRUE(ProbeRequest);
  beginAnswer(*ProbeRequest);
  EXPECT_FALSE(Placer.reachesNoBackend());
  std::set<backend_key> UsedServers;
  for (int Step = 0; Step < 40; ++Step) {
    submitRequest(1'000);
    for (const work_placement &Placement : poll())
      UsedServers.insert(Placement.Backend);
  }
  EXPECT_TRUE(std::any_of(
      FailedServers.begin(), FailedServers.end(),
      [&UsedServers](const backend_key &Backend) { return UsedServers.contains(Backend); }))
      << "they are the first in the common order and not in backoff";
}

// Servers that have crashed refuse connections immediately, which shows that the link works.
TEST_F(reachability_fixture, LinkCountsAsWorkingIfConnectionsAreRefused) {
  for (int Attempt = 0; Attempt < 6; ++Attempt)
    EXPECT_TRUE(tryConnection(2ms));
  EXPECT_FALSE(Placer.reachesNoBackend());
}

// If the servers of only one failure domain do not respond, the link is not at fault and work is
// still placed.
TEST_F(reachability_fixture, LinkCountsAsWorkingIfOneDomainIsUnreachable) {
  for (std::size_t Index = 1; Index < Engines; Index += 2)
    Placer.removeBackend(makeListing(Index).Key);
  for (int Attempt = 0; Attempt < 8; ++Attempt)
    EXPECT_TRUE(tryConnection(300ms));
  EXPECT_FALSE(Placer.reachesNoBackend());
}

// Connection failures far apart in time do not show that the link has failed.
TEST_F(reachability_fixture, LinkCountsAsWorkingIfFailuresAreFarApart) {
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    tryConnection(300ms);
    Now += 1200ms;
  }
  EXPECT_FALSE(Placer.reachesNoBackend());
}

// Requests that wait during the isolation are refused after their maximum wait, with a retry time.
TEST_F(reachability_fixture, IsolatedEntryRefusesRequestsThatWaitTooLong) {
  for (int Attempt = 0; Attempt < 8 && !Placer.reachesNoBackend(); ++Attempt)
    tryConnection(300ms);
  ASSERT_TRUE(Placer.reachesNoBackend());
  constexpr std::size_t RequestCount = 20;
  for (std::size_t Count = 0; Count < RequestCount; ++Count)
    submitRequest(1'000);
  std::size_t TriedCount = 0;
  std::size_t RefusedCount = 0;
  for (int Step = 0; Step < 31; ++Step) {
    const poll_outcome Outcome = Placer.poll(Now);
    TriedCount += Outcome.Placements.size();
    for (const work_expiry &Expiry : Outcome.Expiries) {
      EXPECT_TRUE(Expiry.Refusal.RetryAfter.has_value());
      ++RefusedCount;
    }
    Now += 100ms;
  }
  EXPECT_LE(TriedCount, 11U);
  EXPECT_EQ(TriedCount + RefusedCount, RequestCount);
}

} // namespace
} // namespace pollenstall

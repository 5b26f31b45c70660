/** @file fleet_queue_test.cpp Order, shares, spare slots and admission of waiting requests. */
#include "fleet_queue/fleet_queue.h"

#include <gtest/gtest.h>

#include <cmath>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr mono_time Start{1h};

waiting_request inTime(double SlackMs) {
  waiting_request Request;
  Request.SlackMs = SlackMs;
  return Request;
}

waiting_request late(double WaitedMs) {
  waiting_request Request;
  Request.SlackMs = -1;
  Request.WaitedMs = WaitedMs;
  return Request;
}

/// Guards against late work that takes slots while work in time waits.
TEST(queue_rank, OrdersResumedThenInTimeThenReturningThenLate) {
  waiting_request Resumed = late(0);
  Resumed.Resumed = true;
  waiting_request Returning = late(0);
  Returning.Returning = true;
  EXPECT_LT(rankOf(Resumed), rankOf(inTime(0)));
  EXPECT_LT(rankOf(inTime(1e9)), rankOf(Returning));
  EXPECT_LT(rankOf(Returning), rankOf(late(1e9)));
  EXPECT_TRUE(isLateClass(rankOf(late(0)).Class));
  EXPECT_FALSE(isLateClass(rankOf(inTime(0)).Class));
}

TEST(queue_rank, PutsLittleSlackFirst) {
  double Previous = -1;
  for (const double Slack : {0.0, 30.0, 59.0, 60.0, 150.0, 200.0, 900.0, 1e12}) {
    const queue_rank Rank = rankOf(inTime(Slack));
    const double Place = static_cast<double>(Rank.Class) + Rank.Position;
    EXPECT_GT(Place, Previous) << Slack;
    EXPECT_LE(Rank.Position, 1) << Slack;
    Previous = Place;
  }
}

TEST(queue_rank, PutsWorkWithinTheShareFirstWithinAClass) {
  waiting_request Over = inTime(0);
  Over.OverShare = true;
  EXPECT_LT(rankOf(inTime(1e6)), rankOf(Over));
  EXPECT_LT(rankOf(Over), rankOf(late(1e6)));
}

TEST(queue_rank, RaisesLateWorkWithItsWait) { EXPECT_LT(rankOf(late(900)), rankOf(late(100))); }

TEST(queue_rank, CountsRequestsAhead) {
  waiting_load Others;
  const queue_rank Rank = rankOf(inTime(30));
  Others.Counts[0] = 2;
  Others.Counts[Rank.Class] = 10;
  Others.Counts[Rank.Class + 1] = 100;
  EXPECT_DOUBLE_EQ(requestsAhead(Others, Rank), 2 + 10 * Rank.Position);
  EXPECT_DOUBLE_EQ(waitingTotal(Others), 112);
}

/// Guards against an overflow that would let a flooded class look empty.
TEST(queue_rank, SaturatesSums) {
  waiting_load Sum;
  waiting_load Added;
  Added.Counts[3] = 60'000;
  Added.ArrivalUnits = 4'000'000'000U;
  addWaiting(Sum, Added);
  addWaiting(Sum, Added);
  EXPECT_EQ(Sum.Counts[3], 65'535);
  EXPECT_EQ(Sum.ArrivalUnits, 4'294'967'295U);
}

/// Guards against requests of a dead entry that hold others back.
TEST(peer_waiting, ExpiresAfterItsLifetime) {
  peer_waiting Peers(1s);
  waiting_load Load{7, 0, {}};
  Load.Counts[1] = 5;
  Peers.update({Load}, Start);
  EXPECT_DOUBLE_EQ(waitingTotal(Peers.of(7, Start + 1s)), 5);
  EXPECT_DOUBLE_EQ(waitingTotal(Peers.of(7, Start + 1001ms)), 0);
  EXPECT_DOUBLE_EQ(waitingTotal(Peers.of(8, Start)), 0);
}

TEST(spare_slots, FollowFromUnseenRequests) {
  EXPECT_EQ(unseenSlots(0), 0U);
  EXPECT_EQ(unseenSlots(0.1), 1U);
  EXPECT_EQ(unseenSlots(0.5), 2U);
  EXPECT_LT(unseenSlots(1e9), 100U);
}

/// Guards against slots that stay free while requests wait for them.
TEST(spare_slots, AreGivenUpForWaitingRequests) {
  EXPECT_EQ(spareSlots({4, 4}, 4, 2), 2U);
  EXPECT_EQ(spareSlots({4, 4}, 5, 2), 1U);
  EXPECT_EQ(spareSlots({4, 4}, 7, 2), 0U);
  EXPECT_EQ(spareSlots({1, 1}, 1, 2), 0U);
}

TEST(slot_turnover, IsUnknownAtFirstAndThenFollowsTheHoldingTime) {
  slot_turnover Turnover;
  EXPECT_DOUBLE_EQ(Turnover.freedPerSecond(800), 0);
  for (int Request = 0; Request < 200; ++Request)
    Turnover.record(2'000);
  EXPECT_NEAR(Turnover.freedPerSecond(800), 400, 1);
}

TEST(start_delay, GrowsWithTheRequestsAhead) {
  EXPECT_DOUBLE_EQ(*startDelayMs({3, 4, 100, 0}), 0);
  EXPECT_DOUBLE_EQ(*startDelayMs({103, 4, 100, 0}), 1'000);
  EXPECT_FALSE(startDelayMs({3, 0, 0, 0}));
  // Requests in time that overtake leave a small part of the slots.
  EXPECT_NEAR(*startDelayMs({99, 0, 100, 500}), 20'000, 1);
}

/// Guards against refused callers that all return in the same moment.
TEST(return_delay, IsSpreadAndWithinThePartThatCallersHonour) {
  EXPECT_LT(returnDelayMs(1'000, 9'000, 0.1), returnDelayMs(1'000, 9'000, 0.9));
  for (const double Draw : {0.0, 0.5, 1.0}) {
    EXPECT_LE(returnDelayMs(60'000, 9'000, Draw), 3'000);
    EXPECT_GE(returnDelayMs(1'000, 9'000, Draw), 1'000);
    EXPECT_GE(returnDelayMs(1'000, -5, Draw), 0);
  }
  EXPECT_LT(returnDelayMs(60'000, 9'000, 0), returnDelayMs(60'000, 9'000, 1));
}

/// Returns the parts of requests within the share of an account that sends half of all, and of the
/// ten others.
std::pair<double, double> withinShares(account_shares &Shares) {
  random_source Random(1);
  int Counts[2] = {0, 0};
  int Within[2] = {0, 0};
  for (int Request = 0; Request < 2'000; ++Request) {
    const bool IsOther = Random.chance(0.5);
    const std::string Name = IsOther ? "a" + std::to_string(Random.below(10)) : "half";
    ++Counts[IsOther ? 1 : 0];
    Within[IsOther ? 1 : 0] +=
        Shares.record(client_account_name(Name), 1, Start + Request * 100ms) ? 1 : 0;
  }
  return {static_cast<double>(Within[0]) / Counts[0], static_cast<double>(Within[1]) / Counts[1]};
}

TEST(account_shares, HoldBackAnAccountThatSendsHalf) {
  account_shares Shares;
  const auto [Half, Others] = withinShares(Shares);
  EXPECT_LT(Half, 0.5);
  EXPECT_GT(Others, 0.85);
}

TEST(account_shares, FollowTheDeclaredShare) {
  account_shares Shares;
  Shares.setShare(client_account_name("half"), 10);
  EXPECT_GT(withinShares(Shares).first, 0.95);
}

TEST(account_shares, LeaveASingleAccountAlone) {
  account_shares Shares;
  for (int Request = 0; Request < 100; ++Request)
    EXPECT_TRUE(Shares.record(client_account_name("only"), 1, Start + Request * 10ms));
}

} // namespace
} // namespace pollenstall

/** @file leader_order_gate_test.cpp Conditions under which a leader may write an order. */
#include "order_sample.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr std::int64_t LeaseDuration = 1'000;

class LeaderOrderGateTest : public ::testing::Test {
protected:
  void updateLease(std::int64_t Now, std::int64_t RenewedAt) {
    Gate.updateLease({Term, at(RenewedAt), at(RenewedAt + LeaseDuration), true}, at(Now));
  }

  /// @return The refusal of an order that was planned in the current term.
  std::optional<gate_refusal> refusal() { return Gate.refusal(Engine, Term); }

  /// Leads since time 1000, has waited for the new leader delay and has read the engine's state.
  void openGate() {
    for (std::int64_t Now = 1'000; Now <= 1'400; Now += 100)
      updateLease(Now, Now);
    Gate.recordStateRead(Engine, at(1'400));
    ASSERT_EQ(refusal(), std::nullopt);
  }

  const backend_key Engine = sampleEngine(1, "accra-a").Key;
  leader_term Term{1};
  leader_order_gate Gate{order_gate_options{}};
};

TEST_F(LeaderOrderGateTest, RefusesWithoutALease) { EXPECT_EQ(refusal(), gate_refusal::NoLease); }

// If the lease ended while the order is in a send buffer, the order could arrive after a newer one
// of the next leader.
TEST_F(LeaderOrderGateTest, RefusesIfTheLeaseEndsTooSoon) {
  openGate();
  updateLease(1'599, 1'000);
  EXPECT_EQ(refusal(), std::nullopt);
  updateLease(1'600, 1'000);
  EXPECT_EQ(refusal(), gate_refusal::LeaseTooShort);
}

TEST_F(LeaderOrderGateTest, DelaysOrdersInEachNewTerm) {
  openGate();
  Term = leader_term(2);
  updateLease(1'500, 1'500);
  EXPECT_EQ(refusal(), gate_refusal::PredecessorInFlight);
  updateLease(1'899, 1'899);
  EXPECT_EQ(refusal(), gate_refusal::PredecessorInFlight);
  updateLease(1'900, 1'900);
  EXPECT_EQ(refusal(), gate_refusal::StateNotRead) << "states of the previous term are discarded";
}

// The host loses its lease and leads again while the order's connection is set up. The plan is
// outdated: the copy that replaces the one to be unloaded may be gone.
TEST_F(LeaderOrderGateTest, RefusesAnOrderPlannedInAnEarlierTerm) {
  Term = leader_term(2);
  openGate();
  EXPECT_EQ(Gate.refusal(Engine, leader_term(1)), gate_refusal::StaleTerm);
}

TEST_F(LeaderOrderGateTest, IgnoresAStateRequestedBeforeTheDelayEnds) {
  for (std::int64_t Now = 1'000; Now <= 1'400; Now += 100)
    updateLease(Now, Now);
  Gate.recordStateRead(Engine, at(1'399));
  EXPECT_EQ(refusal(), gate_refusal::StateNotRead);
}

// The process is stopped. If the clock did not advance either, an expired lease would look valid.
TEST_F(LeaderOrderGateTest, TreatsAClockJumpAsALostLease) {
  openGate();
  updateLease(1'901, 1'901);
  EXPECT_EQ(refusal(), gate_refusal::ClockJumped);
  updateLease(1'950, 1'901);
  EXPECT_EQ(refusal(), gate_refusal::ClockJumped) << "the lease was not renewed since the jump";
  updateLease(2'000, 1'951);
  EXPECT_EQ(refusal(), gate_refusal::StateNotRead);
  updateLease(1'990, 1'951);
  EXPECT_EQ(refusal(), gate_refusal::ClockJumped) << "the clock went backwards";
}

TEST_F(LeaderOrderGateTest, WaitsForAnOwnOrderWithoutAnAnswer) {
  openGate();
  Gate.beginWrite(Engine, Term);
  EXPECT_EQ(refusal(), gate_refusal::OwnOrderInFlight);
  updateLease(1'500, 1'500);
  Gate.endWrite(Engine, order_outcome::Unknown);
  updateLease(1'800, 1'800);
  Gate.recordStateRead(Engine, at(1'800));
  EXPECT_EQ(refusal(), gate_refusal::OwnOrderInFlight);
  updateLease(1'900, 1'900);
  EXPECT_EQ(refusal(), gate_refusal::StateNotRead)
      << "the state was requested while the order was in flight";
  Gate.recordStateRead(Engine, at(1'900));
  EXPECT_EQ(refusal(), std::nullopt);
}

// A state is requested, an order takes effect and is answered, and then the state from before the
// order arrives. It would show a copy as ready that was just unloaded (random run, seed 580).
TEST_F(LeaderOrderGateTest, IgnoresAStateRequestedBeforeAnOrderEnded) {
  openGate();
  Gate.beginWrite(Engine, Term);
  updateLease(1'500, 1'500);
  Gate.endWrite(Engine, order_outcome::Done);
  EXPECT_FALSE(Gate.recordStateRead(Engine, at(1'499)));
  EXPECT_EQ(refusal(), gate_refusal::StateNotRead);
  EXPECT_TRUE(Gate.recordStateRead(Engine, at(1'500)));
  EXPECT_EQ(refusal(), std::nullopt);
}

TEST(LeaderOrderGateDeathTest, AbortsAWriteThatTheGateRefuses) {
  leader_order_gate Gate{order_gate_options{}};
  EXPECT_DEATH(Gate.beginWrite(sampleEngine(1, "a").Key, leader_term(1)),
               "only while the gate permits it");
}

} // namespace
} // namespace pollenstall

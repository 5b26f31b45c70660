/** @file leader_order_gate_test.cpp When a leader may write an order. */
#include "order_sample.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr std::int64_t Lease = 1'000;

class an_order_gate : public ::testing::Test {
protected:
  void see(std::int64_t Now, std::int64_t Renewed) {
    Gate.see({Term, at(Renewed), at(Renewed + Lease), true}, at(Now));
  }

  /// @return What holds back an order that was planned in the present term.
  std::optional<gate_refusal> refusal() { return Gate.refusal(Engine, Term); }

  /// In office since 1000, the predecessor's orders waited out, the engine's state read.
  void openGate() {
    for (std::int64_t Now = 1'000; Now <= 1'400; Now += 100)
      see(Now, Now);
    Gate.stateRead(Engine, at(1'400));
    ASSERT_EQ(refusal(), std::nullopt);
  }

  const backend_key Engine = sampleEngine(1, "accra-a").Key;
  leader_term Term{1};
  leader_order_gate Gate{order_gate_times{}};
};

TEST_F(an_order_gate, RefusesWithoutALease) { EXPECT_EQ(refusal(), gate_refusal::NoLease); }

// The lease ends while the order is still in a send buffer; the next leader orders something newer,
// then the old bytes arrive.
TEST_F(an_order_gate, RefusesWhereTheLeaseDoesNotOutlastTheOrder) {
  openGate();
  see(1'599, 1'000);
  EXPECT_EQ(refusal(), std::nullopt);
  see(1'600, 1'000);
  EXPECT_EQ(refusal(), gate_refusal::LeaseTooShort);
}

TEST_F(an_order_gate, WaitsOutThePredecessorInEachNewTerm) {
  openGate();
  Term = leader_term(2);
  see(1'500, 1'500);
  EXPECT_EQ(refusal(), gate_refusal::PredecessorUnderWay);
  see(1'899, 1'899);
  EXPECT_EQ(refusal(), gate_refusal::PredecessorUnderWay);
  see(1'900, 1'900);
  EXPECT_EQ(refusal(), gate_refusal::StateUnread) << "what was read before is void";
}

// The lease is lost and won again while an order connects. What it was planned from is old by then:
// the copy that was to replace the one it unloads may be gone.
TEST_F(an_order_gate, RefusesAnOrderThatWasPlannedInAnEarlierOffice) {
  Term = leader_term(2);
  openGate();
  EXPECT_EQ(Gate.refusal(Engine, leader_term(1)), gate_refusal::OtherOffice);
}

TEST_F(an_order_gate, TakesNoStateThatWasAskedForTooEarly) {
  for (std::int64_t Now = 1'000; Now <= 1'400; Now += 100)
    see(Now, Now);
  Gate.stateRead(Engine, at(1'399));
  EXPECT_EQ(refusal(), gate_refusal::StateUnread);
}

// The process is stopped for a while. Its lease may look valid where the clock stood still too.
TEST_F(an_order_gate, CountsAClockJumpAsALostLease) {
  openGate();
  see(1'901, 1'901);
  EXPECT_EQ(refusal(), gate_refusal::ClockJumped);
  see(1'950, 1'901);
  EXPECT_EQ(refusal(), gate_refusal::ClockJumped) << "not renewed since";
  see(2'000, 1'951);
  EXPECT_EQ(refusal(), gate_refusal::StateUnread);
  see(1'990, 1'951);
  EXPECT_EQ(refusal(), gate_refusal::ClockJumped) << "backwards";
}

TEST_F(an_order_gate, WaitsOutAnOwnOrderThatGotNoAnswer) {
  openGate();
  Gate.writing(Engine, Term);
  EXPECT_EQ(refusal(), gate_refusal::OwnOrderUnderWay);
  see(1'500, 1'500);
  Gate.ended(Engine, order_outcome::Unknown);
  see(1'800, 1'800);
  Gate.stateRead(Engine, at(1'800));
  EXPECT_EQ(refusal(), gate_refusal::OwnOrderUnderWay);
  see(1'900, 1'900);
  EXPECT_EQ(refusal(), gate_refusal::StateUnread) << "asked for while it was under way";
  Gate.stateRead(Engine, at(1'900));
  EXPECT_EQ(refusal(), std::nullopt);
}

// The state is asked for, the order takes effect and is answered, then the state arrives as it was
// before. Taken for the present one, it proves a copy ready that was just unloaded (seed 580).
TEST_F(an_order_gate, TakesNoStateThatCrossedAnOrder) {
  openGate();
  Gate.writing(Engine, Term);
  see(1'500, 1'500);
  Gate.ended(Engine, order_outcome::Done);
  EXPECT_FALSE(Gate.stateRead(Engine, at(1'499)));
  EXPECT_EQ(refusal(), gate_refusal::StateUnread);
  EXPECT_TRUE(Gate.stateRead(Engine, at(1'500)));
  EXPECT_EQ(refusal(), std::nullopt);
}

TEST(an_order_gate_death, StopsAWriteWithoutPermission) {
  leader_order_gate Gate{order_gate_times{}};
  EXPECT_DEATH(Gate.writing(sampleEngine(1, "a").Key, leader_term(1)),
               "only while the gate permits it");
}

} // namespace
} // namespace pollenstall

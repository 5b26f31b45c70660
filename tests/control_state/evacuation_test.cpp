/** @file evacuation_test.cpp Evacuated failure domains in the control state, across snapshots. */
#include "control_state/control_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

set_evacuation evacuate(const std::string &Domain, std::int64_t Time = 0) {
  return {failure_domain_name(Domain), false, unix_millis(Time)};
}

set_evacuation restore(const std::string &Domain, std::int64_t Time = 0) {
  return {failure_domain_name(Domain), true, unix_millis(Time)};
}

control_answer recorded(std::uint64_t Version) { return evacuation_recorded{Version}; }

class EvacuationTest : public testing::Test {
protected:
  control_state State{control_limits{}};
};

// An operator who gets no answer resends the command to any host, at any time.
TEST_F(EvacuationTest, RepeatGetsTheFirstAnswerAndChangesNothing) {
  EXPECT_EQ(State.execute(evacuate("a", 5)), recorded(1));
  EXPECT_EQ(State.execute(evacuate("b", 6)), recorded(2));
  const control_snapshot Before = State.snapshot();
  EXPECT_EQ(State.execute(evacuate("a", 6)), recorded(1));
  EXPECT_EQ(State.snapshot(), Before);
  EXPECT_EQ(State.execute(restore("a", 7)), recorded(3));
  EXPECT_EQ(State.execute(restore("a", 7)), recorded(3));
  EXPECT_EQ(State.evacuations().names(), std::vector{failure_domain_name("b")});
}

// Two operators send opposite commands at the same time, and resend them. Neither is refused, and
// the last one in the log applies.
TEST_F(EvacuationTest, LastOfTwoOperatorsInTheLogApplies) {
  EXPECT_EQ(State.execute(evacuate("a")), recorded(1));
  EXPECT_EQ(State.execute(restore("a")), recorded(2));
  EXPECT_TRUE(State.evacuations().empty());
  EXPECT_EQ(State.execute(evacuate("a")), recorded(3));
  EXPECT_EQ(State.evacuations().size(), 1U);
}

TEST_F(EvacuationTest, RestoreOfADomainThatWasNeverEvacuatedChangesNothing) {
  EXPECT_EQ(State.execute(restore("a")), recorded(0));
  EXPECT_EQ(State.evacuations().version(), 0U);
}

TEST_F(EvacuationTest, RefusesEmptyAndOverlongNames) {
  const control_answer Refused = evacuation_refused{evacuation_refusal::InvalidName};
  EXPECT_EQ(State.execute(evacuate("")), Refused);
  EXPECT_EQ(State.execute(restore("")), Refused);
  EXPECT_EQ(State.execute(evacuate(std::string(256, 'a'))), Refused);
  EXPECT_EQ(State.execute(evacuate(std::string(255, 'a'))), recorded(1));
}

// Guards against a list without a bound, which every entry receives.
TEST_F(EvacuationTest, RefusesMoreDomainsThanTheLimit) {
  for (std::size_t Count = 0; Count < control_limits{}.MaxEvacuations; ++Count)
    ASSERT_TRUE(std::holds_alternative<evacuation_recorded>(
        State.execute(evacuate("d" + std::to_string(Count)))));
  EXPECT_EQ(State.execute(evacuate("more")),
            control_answer(evacuation_refused{evacuation_refusal::TooMany}));
  EXPECT_EQ(State.execute(evacuate("d0")), recorded(1)) << "a repeat is not refused";
  State.execute(restore("d0"));
  EXPECT_EQ(State.execute(evacuate("more")), recorded(258));
}

// A new leader's clock may be behind that of its predecessor.
TEST_F(EvacuationTest, RecordsATimeThatNeverDecreases) {
  State.execute(evacuate("a", 9));
  State.execute(evacuate("b", 4));
  EXPECT_EQ(State.evacuations().records()[1].Since, unix_millis(9));
}

TEST_F(EvacuationTest, RefusesASnapshotThatViolatesABound) {
  const evacuation_record Valid{failure_domain_name("a"), 1, unix_millis(0)};
  const auto IsRestored = [this](std::vector<evacuation_record> Records, std::uint64_t Version) {
    control_snapshot Snapshot = State.snapshot();
    Snapshot.Evacuations = std::move(Records);
    Snapshot.EvacuationsVersion = Version;
    return succeeded(control_state::restore(Snapshot, {}));
  };
  EXPECT_TRUE(IsRestored({Valid}, 1));
  EXPECT_FALSE(IsRestored({Valid, Valid}, 2)) << "twice";
  EXPECT_FALSE(IsRestored({Valid}, 0)) << "newer than the list";
  EXPECT_FALSE(IsRestored({{failure_domain_name(), 1, unix_millis(0)}}, 1)) << "no name";
  EXPECT_FALSE(IsRestored(std::vector(300, Valid), 300)) << "too many";
}

// Members that start from a snapshot must give the same answers as those that executed each
// command.
RC_GTEST_PROP(EvacuationProperty, SnapshotGivesTheSameState, (std::uint64_t Seed)) {
  random_source Random(Seed);
  control_state First{control_limits{}};
  control_state Second{control_limits{}};
  for (int Step = 0; Step < 40; ++Step) {
    const set_evacuation Command{failure_domain_name(std::string(Random.below(3), 'a')),
                                 Random.chance(0.5), unix_millis(Step)};
    RC_ASSERT(First.check(Command) == Second.execute(Command));
    First.execute(Command);
    if (Random.chance(0.2))
      Second = valueOf(control_state::restore(Second.snapshot(), {}));
    RC_ASSERT(First.snapshot() == Second.snapshot());
  }
}

} // namespace
} // namespace pollenstall

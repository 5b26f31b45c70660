/** @file order_planner_test.cpp Declared against observed copies. */
#include "order_sample.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using ::testing::IsEmpty;
using ::testing::UnorderedElementsAre;

class a_planner : public ::testing::Test {
protected:
  a_planner() : Planner(limits()) {
    Planner.takeOffice(OfficeFence, at(0));
    for (const engine_state &Engine : {A1, A2, B1})
      Planner.announced(Engine, Time);
  }

  static order_planner_limits limits() {
    order_planner_limits Limits;
    Limits.Loads = {2, 60};
    return Limits;
  }

  void read(const engine_state &Engine, const std::set<model_copy> &Loaded) {
    Planner.observed(Engine.Key, Loaded, OfficeFence, Time);
  }

  void readAll(const std::set<model_copy> &InA1, const std::set<model_copy> &InA2,
               const std::set<model_copy> &InB1) {
    read(A1, InA1);
    read(A2, InA2);
    read(B1, InB1);
  }

  void carryOut(const planned_order &Order, order_outcome Outcome = order_outcome::Done) {
    Planner.started(Order, Time);
    Planner.ended(Order, Outcome, Time);
  }

  static planned_order load(const engine_state &Engine, const std::string &Version) {
    return {Engine.Key, order_kind::Load, sampleCopy(Version)};
  }
  static planned_order unload(const engine_state &Engine, const std::string &Version) {
    return {Engine.Key, order_kind::Unload, sampleCopy(Version)};
  }

  const fencing_token OfficeFence{10};
  const model_copy V1 = sampleCopy("1");
  const model_copy V2 = sampleCopy("2");
  engine_state A1 = sampleEngine(1, "accra-a");
  engine_state A2 = sampleEngine(2, "accra-a");
  engine_state B1 = sampleEngine(3, "accra-b");
  mono_time Time = at(60'000);
  order_planner Planner;
};

TEST_F(a_planner, OrdersNothingWhereTheDeclaredStateIsThere) {
  Planner.declare({samplePlacement("1", 2)});
  readAll({V1}, {}, {V1});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
}

TEST_F(a_planner, PutsCopiesIntoDifferentFailureDomains) {
  Planner.declare({samplePlacement("1", 2)});
  readAll({V1}, {}, {});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1")));
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1"))) << "asking changes nothing";
}

TEST_F(a_planner, WaitsForTheStateOfEveryEngineOfTheGroup) {
  Planner.declare({samplePlacement("1", 1)});
  read(A1, {});
  read(A2, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "the third engine may hold the copy";
  Time += std::chrono::seconds(11);
  read(A1, {});
  read(A2, {});
  EXPECT_EQ(Planner.plan(Time).size(), 1U) << "an engine that never answers blocks nobody";
}

// A new version replaces the old one. Were the old copies unloaded with the first load, callers
// would find no copy at all while the weights are still on their way.
TEST_F(a_planner, UnloadsNoServingCopyBeforeItsSuccessorIsReady) {
  Planner.declare({samplePlacement("2", 2)});
  readAll({V1}, {}, {V1});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(A1, "2"), load(B1, "2")));
  carryOut(load(A1, "2"));
  carryOut(load(B1, "2"));
  readAll({V1, V2}, {}, {V1});
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "answered, but still loading";
  read(B1, {V1, V2});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(A1, "1"), unload(B1, "1")));
}

// A replaced leader was stopped right before it writes an unload to the engine with the new copy.
// If this leader unloads the others first and the old one goes on, no copy is left. The engine
// refuses the old order once it has seen a number of this office.
TEST_F(a_planner, TrustsNoCopyThatAnEarlierLeaderMayStillTakeAway) {
  Planner.declare({samplePlacement("2", 1)});
  readAll({V1}, {V2}, {V1});
  Planner.observed(A2.Key, {V2}, fencing_token(9), Time);
  EXPECT_THAT(Planner.plan(Time),
              UnorderedElementsAre(planned_order{A2.Key, order_kind::Confirm, V2}));
  Planner.observed(A2.Key, {V2}, OfficeFence.next(), Time);
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(A1, "1"), unload(B1, "1")));
}

TEST_F(a_planner, ProvesNoCopyReadyByAnOldState) {
  Planner.declare({samplePlacement("2", 2)});
  readAll({V1, V2}, {}, {V2});
  Time += std::chrono::seconds(11);
  read(A1, {V1, V2});
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "the copy in accra-b may be gone";
}

TEST_F(a_planner, KeepsWithinTheWeightStoresRate) {
  Planner.declare({samplePlacement("1", 3)});
  readAll({}, {}, {});
  const std::vector<planned_order> First = Planner.plan(Time);
  ASSERT_EQ(First.size(), 2U) << "two at once";
  for (const planned_order &Order : First) {
    carryOut(Order);
    Planner.observed(Order.Engine, {V1}, OfficeFence, Time);
  }
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "this minute's budget is spent";
  Time += std::chrono::seconds(1);
  EXPECT_EQ(Planner.plan(Time).size(), 1U);
}

// The earlier leader may have begun as many loads as the store takes; nobody can tell the new one.
TEST_F(a_planner, StartsAnOfficeWithoutBudget) {
  Planner.takeOffice(OfficeFence, Time);
  Planner.declare({samplePlacement("1", 1)});
  Planner.announced(A1, Time);
  read(A1, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
  EXPECT_EQ(Planner.plan(Time + std::chrono::seconds(1)).size(), 1U);
}

TEST_F(a_planner, PausesAfterARefusal) {
  Planner.declare({samplePlacement("1", 3)});
  readAll({V1}, {V1}, {});
  carryOut(load(B1, "1"), order_outcome::Refused);
  readAll({V1}, {V1}, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
  Time += std::chrono::seconds(5);
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1")));
  EXPECT_EQ(Planner.counts(Time).Refused, 1U);
  EXPECT_EQ(Planner.counts(Time).Pending, 1U);
}

TEST_F(a_planner, CutsACanaryGroupOutOfTheWiderOne) {
  placement Canary = samplePlacement("2", 1);
  Canary.Group = group_name("canary");
  Canary.Labels = {{"track", "canary"}};
  Planner.declare({samplePlacement("1", 3), Canary});
  B1.Labels = {{"track", "canary"}};
  Planner.announced(B1, Time);
  readAll({V1}, {V1}, {V1, V2});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(B1, "1")));
}

TEST_F(a_planner, MovesAModelBetweenGroupsWithoutAGap) {
  placement Gone = samplePlacement("1", 0);
  placement Canary = samplePlacement("1", 1);
  Canary.Group = group_name("canary");
  Canary.Labels = {{"track", "canary"}};
  Planner.declare({Gone, Canary});
  B1.Labels = {{"track", "canary"}};
  Planner.announced(B1, Time);
  readAll({V1}, {}, {});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1")));
  read(B1, {V1});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(A1, "1")));
}

TEST_F(a_planner, LeavesAloneWhatNoPlacementNames) {
  Planner.declare({samplePlacement("1", 1)});
  readAll({V1, {model_name("other"), model_version()}}, {}, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
}

TEST_F(a_planner, ReplacesTheCopyOfALeavingEngine) {
  Planner.declare({samplePlacement("1", 1)});
  readAll({V1}, {}, {V1, V2});
  A1.Leaving = true;
  Planner.announced(A1, Time);
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(B1, "2")));
}

} // namespace
} // namespace pollenstall

/** @file order_planner_test.cpp Orders planned from declared and observed copies. */
#include "order_sample.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using ::testing::IsEmpty;
using ::testing::UnorderedElementsAre;

class OrderPlannerTest : public ::testing::Test {
protected:
  OrderPlannerTest() : Planner(limits()) {
    Planner.beginTerm(TermToken, at(0));
    for (const engine_state &Engine : {A1, A2, B1})
      Planner.updateAnnouncement(Engine, Time);
  }

  static order_planner_options limits() {
    order_planner_options Limits;
    Limits.Loads = {2, 60};
    return Limits;
  }

  void readState(const engine_state &Engine, const std::set<versioned_model> &Loaded) {
    Planner.updateState(Engine.Key, Loaded, TermToken, Time);
  }

  void readAllStates(const std::set<versioned_model> &InA1, const std::set<versioned_model> &InA2,
                     const std::set<versioned_model> &InB1) {
    readState(A1, InA1);
    readState(A2, InA2);
    readState(B1, InB1);
  }

  void execute(const planned_order &Order, order_outcome Outcome = order_outcome::Done) {
    Planner.startOrder(Order, Time);
    Planner.finishOrder(Order, Outcome, Time);
  }

  static planned_order load(const engine_state &Engine, const std::string &Version) {
    return {Engine.Key, order_kind::Load, sampleCopy(Version)};
  }
  static planned_order unload(const engine_state &Engine, const std::string &Version) {
    return {Engine.Key, order_kind::Unload, sampleCopy(Version)};
  }

  const fencing_token TermToken{10};
  const versioned_model V1 = sampleCopy("1");
  const versioned_model V2 = sampleCopy("2");
  engine_state A1 = sampleEngine(1, "accra-a");
  engine_state A2 = sampleEngine(2, "accra-a");
  engine_state B1 = sampleEngine(3, "accra-b");
  mono_time Time = at(60'000);
  order_planner Planner;
};

TEST_F(OrderPlannerTest, OrdersNothingIfTheDeclaredStateIsReached) {
  Planner.setPlacements({samplePlacement("1", 2)});
  readAllStates({V1}, {}, {V1});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
}

TEST_F(OrderPlannerTest, PutsCopiesIntoDifferentFailureDomains) {
  Planner.setPlacements({samplePlacement("1", 2)});
  readAllStates({V1}, {}, {});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1")));
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1"))) << "plan() changes nothing";
}

TEST_F(OrderPlannerTest, WaitsForTheStateOfEachEngineOfTheGroup) {
  Planner.setPlacements({samplePlacement("1", 1)});
  readState(A1, {});
  readState(A2, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "the third engine may hold the copy";
  Time += std::chrono::seconds(11);
  readState(A1, {});
  readState(A2, {});
  EXPECT_EQ(Planner.plan(Time).size(), 1U)
      << "an engine that never answers delays others only until the timeout";
}

// A new version replaces an old one. If the old copies were unloaded together with the first load,
// callers would have no copy while the new weights are loading.
TEST_F(OrderPlannerTest, UnloadsNoServingCopyBeforeItsReplacementIsReady) {
  Planner.setPlacements({samplePlacement("2", 2)});
  readAllStates({V1}, {}, {V1});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(A1, "2"), load(B1, "2")));
  execute(load(A1, "2"));
  execute(load(B1, "2"));
  readAllStates({V1, V2}, {}, {V1});
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "the load is answered, but not finished";
  readState(B1, {V1, V2});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(A1, "1"), unload(B1, "1")));
}

// A former leader was stopped right before it writes an unload to the engine with the new copy. If
// this leader unloaded the other copies and the former leader then resumed, no copy would remain.
// An engine that has seen a fencing token of this term refuses the old order.
TEST_F(OrderPlannerTest, RaisesTheFenceOfACopyBeforeRelyingOnIt) {
  Planner.setPlacements({samplePlacement("2", 1)});
  readAllStates({V1}, {V2}, {V1});
  Planner.updateState(A2.Key, {V2}, fencing_token(9), Time);
  EXPECT_THAT(Planner.plan(Time),
              UnorderedElementsAre(planned_order{A2.Key, order_kind::RaiseFence, V2}));
  Planner.updateState(A2.Key, {V2}, TermToken.next(), Time);
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(A1, "1"), unload(B1, "1")));
}

TEST_F(OrderPlannerTest, DoesNotRelyOnAStaleState) {
  Planner.setPlacements({samplePlacement("2", 2)});
  readAllStates({V1, V2}, {}, {V2});
  Time += std::chrono::seconds(11);
  readState(A1, {V1, V2});
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "the copy in accra-b may be gone";
}

TEST_F(OrderPlannerTest, KeepsToTheRateOfTheWeightStore) {
  Planner.setPlacements({samplePlacement("1", 3)});
  readAllStates({}, {}, {});
  const std::vector<planned_order> First = Planner.plan(Time);
  ASSERT_EQ(First.size(), 2U) << "at most two concurrent loads";
  for (const planned_order &Order : First) {
    execute(Order);
    Planner.updateState(Order.Engine, {V1}, TermToken, Time);
  }
  EXPECT_THAT(Planner.plan(Time), IsEmpty()) << "the token bucket is empty";
  Time += std::chrono::seconds(1);
  EXPECT_EQ(Planner.plan(Time).size(), 1U);
}

// The previous leader may have begun as many loads as the store allows, unknown to the new leader.
TEST_F(OrderPlannerTest, StartsATermWithAnEmptyLoadBudget) {
  Planner.beginTerm(TermToken, Time);
  Planner.setPlacements({samplePlacement("1", 1)});
  Planner.updateAnnouncement(A1, Time);
  readState(A1, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
  EXPECT_EQ(Planner.plan(Time + std::chrono::seconds(1)).size(), 1U);
}

TEST_F(OrderPlannerTest, RetriesARefusedOrderAfterADelay) {
  Planner.setPlacements({samplePlacement("1", 3)});
  readAllStates({V1}, {V1}, {});
  execute(load(B1, "1"), order_outcome::Refused);
  readAllStates({V1}, {V1}, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
  Time += std::chrono::seconds(5);
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1")));
  EXPECT_EQ(Planner.counts(Time).Refused, 1U);
  EXPECT_EQ(Planner.counts(Time).Pending, 1U);
}

TEST_F(OrderPlannerTest, ExcludesACanaryGroupFromTheWiderGroup) {
  placement Canary = samplePlacement("2", 1);
  Canary.Group = group_name("canary");
  Canary.Labels = {{"track", "canary"}};
  Planner.setPlacements({samplePlacement("1", 3), Canary});
  B1.Labels = {{"track", "canary"}};
  Planner.updateAnnouncement(B1, Time);
  readAllStates({V1}, {V1}, {V1, V2});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(B1, "1")));
}

TEST_F(OrderPlannerTest, LoadsAMovedModelBeforeUnloadingIt) {
  placement Removed = samplePlacement("1", 0);
  placement Canary = samplePlacement("1", 1);
  Canary.Group = group_name("canary");
  Canary.Labels = {{"track", "canary"}};
  Planner.setPlacements({Removed, Canary});
  B1.Labels = {{"track", "canary"}};
  Planner.updateAnnouncement(B1, Time);
  readAllStates({V1}, {}, {});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(load(B1, "1")));
  readState(B1, {V1});
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(A1, "1")));
}

TEST_F(OrderPlannerTest, IgnoresModelsWithoutAPlacement) {
  Planner.setPlacements({samplePlacement("1", 1)});
  readAllStates({V1, {model_name("other"), model_version()}}, {}, {});
  EXPECT_THAT(Planner.plan(Time), IsEmpty());
}

TEST_F(OrderPlannerTest, ReplacesTheCopyOfALeavingEngine) {
  Planner.setPlacements({samplePlacement("1", 1)});
  readAllStates({V1}, {}, {V1, V2});
  A1.Leaving = true;
  Planner.updateAnnouncement(A1, Time);
  EXPECT_THAT(Planner.plan(Time), UnorderedElementsAre(unload(B1, "2")));
}

} // namespace
} // namespace pollenstall

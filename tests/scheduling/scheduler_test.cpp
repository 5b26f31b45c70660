/** @file scheduler_test.cpp Rules of the scheduler as its callers see them. */
#include "scheduler_fixture.h"

namespace pollenstall {
namespace {

class ARequestThatArrives : public scheduler_fixture {};

TEST_F(ARequestThatArrives, IsRefusedBeforeAnyDeclarationIsInForce) {
  scheduler Fresh = scheduler_builder().build();
  const auto Result = Fresh.submit(work(1'000), Now);
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result).Reason, failure_reason::NotReady);
}

TEST_F(ARequestThatArrives, IsRefusedWhereNoServerHasItsModel) {
  EXPECT_EQ(submit(work(1'000)), failure_reason::NoBackend);
}

TEST_F(ARequestThatArrives, IsPlacedAtOnceOnAnIdleEngine) {
  addEngines(1);
  EXPECT_EQ(placeNow(work(1'000)), engineKey(1));
}

TEST_F(ARequestThatArrives, IsTooLargeAtOnceWhereNoEngineCouldEverHoldIt) {
  addEngines(3);
  EXPECT_EQ(submit(work(400'000)), failure_reason::TooLargeForFleet);
  EXPECT_EQ(submit(work(399'000)), std::nullopt);
}

// A caller's library sends a short chat call without max_tokens and with the service's minute of
// time. The declaration's 4,096 tokens stand in for the limit; at the pace of a guess, half of them
// take more than a minute. Refused, every such call to an idle fleet would be told "not run".
TEST_F(ARequestThatArrives, IsNotRefusedForALongAnswerThatItMerelyAllows) {
  addEngines(1);
  work_item Item = work(10);
  Item.AnswerLimit = tokens(4'096);
  Item.Deadline = Now + 60s;
  EXPECT_TRUE(succeeded(Scheduler.submit(Item, Now)));
}

// A fleet has just started and has run nothing. A caller sends a million tokens with a minute to
// go; the engines would need twenty seconds. Refused by the guess that stands in for a rate not
// learnt yet, it and every long prompt after it would be told "not run", and the fleet would never
// learn better.
TEST_F(ARequestThatArrives, IsNotRefusedByAGuessOfTheEnginesRate) {
  Scheduler.updateBackend(engine(1, 2'000'000), Now);
  work_item Item = work(1'000'000);
  Item.Deadline = Now + 60s;
  EXPECT_TRUE(succeeded(Scheduler.submit(Item, Now)));
}

TEST_F(ARequestThatArrives, IsRefusedEarlyWhereItsTimeIsTooShort) {
  addEngines(1);
  work_item Item = work(300'000);
  Item.Deadline = Now + 2s;
  const auto Result = Scheduler.submit(Item, Now);
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result).Reason, failure_reason::DeadlineUnmeetable);
  EXPECT_GE(errorOf(Result).RetryAfter, std::chrono::seconds(1));
}

TEST_F(ARequestThatArrives, MeetsTheBoundOfItsAccountWithoutTouchingOthers) {
  addEngines(1);
  for (int Index = 0; Index < 64; ++Index)
    ASSERT_EQ(submit(work(1'000)), std::nullopt);
  EXPECT_EQ(submit(work(1'000)), failure_reason::AccountLimit);
  EXPECT_EQ(submit(work(1'000, "academy")), std::nullopt);
}

} // namespace
} // namespace pollenstall

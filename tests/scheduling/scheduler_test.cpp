/** @file scheduler_test.cpp Rules of the scheduler as its callers see them. */
#include "scheduler_fixture.h"

namespace pollenstall {
namespace {

class ARequestThatArrivesTest : public scheduler_fixture {};

TEST_F(ARequestThatArrivesTest, IsRefusedBeforeAnyDeclarationIsInForce) {
  scheduler Fresh = scheduler_builder().build();
  const auto Result = Fresh.submit(work(1'000), Now);
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result).Reason, failure_reason::NotReady);
}

TEST_F(ARequestThatArrivesTest, IsRefusedWhereNoServerHasItsModel) {
  EXPECT_EQ(submit(work(1'000)), failure_reason::NoBackend);
}

TEST_F(ARequestThatArrivesTest, IsPlacedAtOnceOnAnIdleEngine) {
  addEngines(1);
  EXPECT_EQ(placeNow(work(1'000)), engineKey(1));
}

TEST_F(ARequestThatArrivesTest, IsTooLargeAtOnceWhereNoEngineCouldEverHoldIt) {
  addEngines(3);
  EXPECT_EQ(submit(work(400'000)), failure_reason::TooLargeForFleet);
  EXPECT_EQ(submit(work(399'000)), std::nullopt);
}

// A fleet has just started and has run nothing. A caller sends a million tokens with a minute to
// go; the engines would need twenty seconds. Refused by the guess that stands in for a rate not
// learnt yet, it and every long prompt after it would be told "not run", and the fleet would never
// learn better.
TEST_F(ARequestThatArrivesTest, IsNotRefusedByAGuessOfTheEnginesRate) {
  Scheduler.updateBackend(engine(1, 2'000'000), Now);
  work_item Item = work(1'000'000);
  Item.Deadline = Now + 60s;
  EXPECT_TRUE(succeeded(Scheduler.submit(Item, Now)));
}

// A caller's library sends a short chat call without max_tokens and with the service's minute of
// time. The declaration's 4,096 tokens stand in for the limit; at the pace of a guess, half of them
// take more than a minute. Refused, every such call to an idle fleet would be told "not run".
TEST_F(ARequestThatArrivesTest, IsNotRefusedForALongAnswerThatItMerelyAllows) {
  addEngines(1);
  work_item Item = work(10);
  Item.AnswerLimit = tokens(4'096);
  Item.Deadline = Now + 60s;
  EXPECT_TRUE(succeeded(Scheduler.submit(Item, Now)));
}

TEST_F(ARequestThatArrivesTest, IsRefusedEarlyWhereItsTimeIsTooShort) {
  addEngines(1);
  work_item Item = work(300'000);
  Item.Deadline = Now + 2s;
  const auto Result = Scheduler.submit(Item, Now);
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result).Reason, failure_reason::DeadlineUnmeetable);
  EXPECT_GE(errorOf(Result).RetryAfter, std::chrono::seconds(1));
}

TEST_F(ARequestThatArrivesTest, MeetsTheBoundOfItsAccountWithoutTouchingOthers) {
  addEngines(1);
  for (int Index = 0; Index < 64; ++Index)
    ASSERT_EQ(submit(work(1'000)), std::nullopt);
  EXPECT_EQ(submit(work(1'000)), failure_reason::AccountLimit);
  EXPECT_EQ(submit(work(1'000, "academy")), std::nullopt);
}

class AnEngineWithLongWorkTest : public scheduler_fixture {};

TEST_F(AnEngineWithLongWorkTest, GetsNoSecondLongPromptAndShortWorkGoesElsewhere) {
  addEngines(6);
  const work_item First = work(150'000);
  const backend_key Taken = placeNow(First);
  start(First, Taken);
  const backend_key Second = placeNow(work(150'000));
  EXPECT_FALSE(Second.Address.empty());
  EXPECT_NE(Second, Taken);
  const backend_key Short = placeNow(work(1'000));
  EXPECT_NE(Short, Taken);
  EXPECT_NE(Short, Second);
}

TEST_F(AnEngineWithLongWorkTest, LeavesTheRestOfTheFleetClear) {
  addEngines(6); // The declared share of 0.34 lets two of six take long work.
  std::set<backend_key> Used;
  for (int Index = 0; Index < 4; ++Index) {
    const backend_key Backend = placeNow(work(150'000));
    if (!Backend.Address.empty())
      Used.insert(Backend);
  }
  EXPECT_EQ(Used.size(), 2U);
  EXPECT_EQ(Scheduler.queued(), 2U);
}

class MemoryOfAnEngineTest : public scheduler_fixture {};

// The caller hangs up on a long prompt. Its attempt is cancelled, but the engine has not confirmed
// yet and still holds the blocks. Were they free at once, the next long prompt would be sent to an
// engine that has no room for it.
TEST_F(MemoryOfAnEngineTest, CountsAsTakenUntilTheEndIsConfirmed) {
  addEngines(1);
  const work_item First = work(300'000);
  const attempt_id Attempt = start(First, placeNow(First));
  Scheduler.attemptBroken(Attempt, attempt_failure::TimedOut, Now);
  const work_item Next = work(300'000);
  EXPECT_EQ(placeNow(Next), backend_key());
  Scheduler.attemptEnded(Attempt, {}, Now);
  const poll_outcome Outcome = Scheduler.poll(Now);
  ASSERT_EQ(Outcome.Placements.size(), 1U);
  EXPECT_EQ(Outcome.Placements.front().Request, Next.Request);
}

TEST_F(MemoryOfAnEngineTest, IsFreeAgainAfterAWithdrawnPlacementAndUnderANewIncarnation) {
  addEngines(1);
  const work_item First = work(300'000);
  placeNow(First);
  Scheduler.withdraw(First.Request);
  const work_item Second = work(300'000);
  start(Second, placeNow(Second));
  Scheduler.removeBackend(engineKey(1), Now);
  backend_view Again = engine(1);
  Again.Announcement.Key.Incarnation = incarnation(2);
  Scheduler.updateBackend(Again, Now);
  EXPECT_EQ(placeNow(work(300'000)), Again.Announcement.Key);
}

TEST_F(MemoryOfAnEngineTest, IsNotKeptByAPlacementThatNobodyStarted) {
  addEngines(1);
  placeNow(work(300'000));
  Now += 301s;
  EXPECT_EQ(placeNow(work(300'000)), engineKey(1));
}

class AServerThatIsLeavingTest : public scheduler_fixture {};

TEST_F(AServerThatIsLeavingTest, GetsNothingNew) {
  addEngines(2);
  for (const backend_standing Standing : {backend_standing::Leaving, backend_standing::Lost}) {
    backend_view View = engine(1);
    View.Standing = Standing;
    Scheduler.updateBackend(View, Now);
    for (int Index = 0; Index < 4; ++Index)
      EXPECT_NE(placeNow(work(1'000)), engineKey(1));
  }
}

class ASecondAttemptTest : public scheduler_fixture {};

TEST_F(ASecondAttemptTest, AvoidsTheServerThatFailedWhileAnotherIsLeft) {
  addEngines(2);
  work_item Item = work(1'000);
  Item.Avoid = {engineKey(1)};
  EXPECT_EQ(placeNow(Item), engineKey(2));
  Item = work(1'000);
  Item.Avoid = {engineKey(1), engineKey(2)};
  EXPECT_FALSE(placeNow(Item).Address.empty());
}

class WorkThatWaitsTest : public scheduler_fixture {};

TEST_F(WorkThatWaitsTest, IsGivenUpOnceItCouldNoLongerEndInTime) {
  addEngines(1);
  const work_item First = work(300'000);
  start(First, placeNow(First));
  work_item Waiting = work(300'000);
  ASSERT_EQ(submit(Waiting), std::nullopt);
  EXPECT_TRUE(Scheduler.poll(Now).Placements.empty());
  Now += 299s;
  const poll_outcome Outcome = Scheduler.poll(Now);
  ASSERT_EQ(Outcome.Expiries.size(), 1U);
  EXPECT_EQ(Outcome.Expiries.front().Refusal.Reason, failure_reason::DeadlineUnmeetable);
  EXPECT_TRUE(Outcome.Expiries.front().Refusal.RetryAfter.has_value());
}

class PlainCallsTest : public scheduler_fixture {};

TEST_F(PlainCallsTest, GoToTheServerWithTheFewestOutstanding) {
  for (int Number = 1; Number <= 3; ++Number) {
    backend_view View = engine(Number);
    View.Announcement.Service = service_name("clips");
    View.Announcement.Models.clear();
    View.Announcement.Memory = memory_blocks(0);
    Scheduler.updateBackend(View, Now);
  }
  std::map<backend_key, int> Calls;
  for (int Index = 0; Index < 30; ++Index) {
    const work_item Call = plainCall();
    const backend_key Backend = placeNow(Call);
    start(Call, Backend);
    ++Calls[Backend];
  }
  for (const auto &[Backend, Count] : Calls)
    EXPECT_NEAR(Count, 10, 1) << toText(Backend);
}

} // namespace
} // namespace pollenstall

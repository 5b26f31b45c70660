/** @file scheduler_test.cpp Tests of the scheduler's public interface. */
#include "scheduler_fixture.h"

namespace pollenstall {
namespace {

class ArrivingRequestTest : public scheduler_fixture {};

TEST_F(ArrivingRequestTest, IsRefusedWithoutADeclaration) {
  scheduler UndeclaredScheduler = scheduler_builder().build();
  const auto Result = UndeclaredScheduler.submit(makeWork(1'000), Now);
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result).Reason, failure_reason::NotReady);
}

TEST_F(ArrivingRequestTest, IsRefusedIfNoServerHasItsModel) {
  EXPECT_EQ(submit(makeWork(1'000)), failure_reason::NoBackend);
}

TEST_F(ArrivingRequestTest, IsPlacedImmediatelyOnAnIdleEngine) {
  addEngines(1);
  EXPECT_EQ(placeNow(makeWork(1'000)), engineKey(1));
}

TEST_F(ArrivingRequestTest, IsRefusedIfTooLargeForEveryEngine) {
  addEngines(3);
  EXPECT_EQ(submit(makeWork(400'000)), failure_reason::TooLargeForFleet);
  EXPECT_EQ(submit(makeWork(399'000)), std::nullopt);
}

// A fleet that has just started has learned no prefill rate. A prompt of a million tokens with a
// deadline in one minute arrives; the engines need twenty seconds. If the prior rate were used to
// refuse it, all long prompts would be refused and the actual rate would never be learned.
TEST_F(ArrivingRequestTest, IsNotRefusedBecauseOfThePriorRate) {
  Scheduler.updateBackend(engine(1, 2'000'000), Now);
  work_item Item = makeWork(1'000'000);
  Item.Deadline = Now + 60s;
  EXPECT_TRUE(succeeded(Scheduler.submit(Item, Now)));
}

// A short chat call without max_tokens gets the declared limit of 4,096 tokens and a deadline of
// one minute. At the initial time per token, the expected answer, half of the limit, takes more
// than a minute. If it counted in full, every such call would be refused on an idle fleet.
TEST_F(ArrivingRequestTest, IsNotRefusedBecauseOfAHighAnswerLimit) {
  addEngines(1);
  work_item Item = makeWork(10);
  Item.AnswerLimit = tokens(4'096);
  Item.Deadline = Now + 60s;
  EXPECT_TRUE(succeeded(Scheduler.submit(Item, Now)));
}

TEST_F(ArrivingRequestTest, IsRefusedIfItsDeadlineIsTooEarly) {
  addEngines(1);
  work_item Item = makeWork(300'000);
  Item.Deadline = Now + 2s;
  const auto Result = Scheduler.submit(Item, Now);
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result).Reason, failure_reason::DeadlineUnmeetable);
  EXPECT_GE(errorOf(Result).RetryAfter, std::chrono::seconds(1));
}

TEST_F(ArrivingRequestTest, IsLimitedByItsOwnAccountOnly) {
  addEngines(1);
  for (int Index = 0; Index < 64; ++Index)
    ASSERT_EQ(submit(makeWork(1'000)), std::nullopt);
  EXPECT_EQ(submit(makeWork(1'000)), failure_reason::AccountLimit);
  EXPECT_EQ(submit(makeWork(1'000, "academy")), std::nullopt);
}

class EngineWithLongWorkTest : public scheduler_fixture {};

TEST_F(EngineWithLongWorkTest, ReceivesNoFurtherWorkWhileOthersAreIdle) {
  addEngines(6);
  const work_item First = makeWork(150'000);
  const backend_key FirstEngine = placeNow(First);
  start(First, FirstEngine);
  const backend_key Second = placeNow(makeWork(150'000));
  EXPECT_FALSE(Second.Address.empty());
  EXPECT_NE(Second, FirstEngine);
  const backend_key Short = placeNow(makeWork(1'000));
  EXPECT_NE(Short, FirstEngine);
  EXPECT_NE(Short, Second);
}

TEST_F(EngineWithLongWorkTest, StaysWithinTheDeclaredShareOfEngines) {
  addEngines(6); // The declared share of 0.34 allows long work on two of six engines.
  std::set<backend_key> Used;
  for (int Index = 0; Index < 4; ++Index) {
    const backend_key Backend = placeNow(makeWork(150'000));
    if (!Backend.Address.empty())
      Used.insert(Backend);
  }
  EXPECT_EQ(Used.size(), 2U);
  EXPECT_EQ(Scheduler.queued(), 2U);
}

class EngineMemoryTest : public scheduler_fixture {};

// The caller of a long prompt disconnects. Its attempt is cancelled, but the engine holds the
// blocks until it confirms the cancellation. If they counted as free before that, the next long
// prompt would be sent to an engine without memory for it.
TEST_F(EngineMemoryTest, StaysReservedUntilTheEndIsConfirmed) {
  addEngines(1);
  const work_item First = makeWork(300'000);
  const attempt_id Attempt = start(First, placeNow(First));
  Scheduler.attemptFailed(Attempt, attempt_failure::TimedOut, Now);
  const work_item Next = makeWork(300'000);
  EXPECT_EQ(placeNow(Next), backend_key());
  Scheduler.attemptEnded(Attempt, {}, Now);
  const poll_outcome Outcome = Scheduler.poll(Now);
  ASSERT_EQ(Outcome.Placements.size(), 1U);
  EXPECT_EQ(Outcome.Placements.front().Request, Next.Request);
}

TEST_F(EngineMemoryTest, IsReleasedByWithdrawalAndByANewIncarnation) {
  addEngines(1);
  const work_item First = makeWork(300'000);
  placeNow(First);
  Scheduler.withdraw(First.Request);
  const work_item Second = makeWork(300'000);
  start(Second, placeNow(Second));
  Scheduler.removeBackend(engineKey(1), Now);
  backend_view NewIncarnation = engine(1);
  NewIncarnation.Announcement.Key.Incarnation = incarnation(2);
  Scheduler.updateBackend(NewIncarnation, Now);
  EXPECT_EQ(placeNow(makeWork(300'000)), NewIncarnation.Announcement.Key);
}

TEST_F(EngineMemoryTest, IsReleasedAfterTheDeadlineOfAnUnstartedPlacement) {
  addEngines(1);
  placeNow(makeWork(300'000));
  Now += 301s;
  EXPECT_EQ(placeNow(makeWork(300'000)), engineKey(1));
}

class LeavingOrLostServerTest : public scheduler_fixture {};

TEST_F(LeavingOrLostServerTest, ReceivesNoNewWork) {
  addEngines(2);
  for (const backend_status NewStatus : {backend_status::Leaving, backend_status::Lost}) {
    backend_view View = engine(1);
    View.Status = NewStatus;
    Scheduler.updateBackend(View, Now);
    for (int Index = 0; Index < 4; ++Index)
      EXPECT_NE(placeNow(makeWork(1'000)), engineKey(1));
  }
}

class RetryTest : public scheduler_fixture {};

TEST_F(RetryTest, AvoidsTheFailedServerIfThereIsAnother) {
  addEngines(2);
  work_item Item = makeWork(1'000);
  Item.Avoid = {engineKey(1)};
  EXPECT_EQ(placeNow(Item), engineKey(2));
  Item = makeWork(1'000);
  Item.Avoid = {engineKey(1), engineKey(2)};
  EXPECT_FALSE(placeNow(Item).Address.empty());
}

class WaitingWorkTest : public scheduler_fixture {};

TEST_F(WaitingWorkTest, ExpiresOnceItCannotEndInTime) {
  addEngines(1);
  const work_item First = makeWork(300'000);
  start(First, placeNow(First));
  work_item Waiting = makeWork(300'000);
  ASSERT_EQ(submit(Waiting), std::nullopt);
  EXPECT_TRUE(Scheduler.poll(Now).Placements.empty());
  Now += 299s;
  const poll_outcome Outcome = Scheduler.poll(Now);
  ASSERT_EQ(Outcome.Expiries.size(), 1U);
  EXPECT_EQ(Outcome.Expiries.front().Refusal.Reason, failure_reason::DeadlineUnmeetable);
  EXPECT_TRUE(Outcome.Expiries.front().Refusal.RetryAfter.has_value());
}

class PlainCallsTest : public scheduler_fixture {};

TEST_F(PlainCallsTest, GoToTheServerWithFewestOutstandingCalls) {
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

// Guards against requests to servers that have asked for a pause: without work, they look idle.
TEST_F(scheduler_fixture, PausedServersGetNoWork) {
  addEngines(2);
  Scheduler.pauseBackend(engineKey(1), 3s, Now);
  for (int Attempt = 0; Attempt < 8; ++Attempt) {
    const work_item Work = makeWork(1'000);
    EXPECT_EQ(placeNow(Work), engineKey(2));
    Scheduler.withdraw(Work.Request);
  }
  Scheduler.pauseBackend(engineKey(2), 1s, Now);
  const work_item Waiting = makeWork(1'000);
  EXPECT_TRUE(placeNow(Waiting).Address.empty());
  Now += 1s;
  const auto Placements = Scheduler.poll(Now).Placements;
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_EQ(Placements[0].Backend, engineKey(2));
}

} // namespace
} // namespace pollenstall

/** @file silent_attempt_test.cpp Streams and requests whose engines stand still for a moment. */
#include "dispatcher_fixture.h"

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A stream that may be resumed, in the middle of its answer from EngineA.
struct silent_stream_test : dispatcher_fixture {
  void SetUp() override {
    request_facts Facts = facts(true);
    Facts.Resumable = true;
    Facts.MaxAttempts = 2;
    arrive(Facts);
    place(EngineA);
    send();
    answer();
  }
  void fallSilent(std::uint32_t Ordinal = 1) { handleEvent(attempt_silent{attempt(Ordinal)}); }
  void goOn(std::uint32_t Ordinal = 1) { handleEvent(attempt_advanced{attempt(Ordinal), 1}); }
  /// Uses up the retry budget.
  void allowNoRetries() {
    limits_declaration None = Limits;
    None.RetryPercent = 0;
    Dispatch.applyLimits(None);
    Dispatch.setRetryAllowance({}, Now);
  }
  /// Expects that only the attempt with this ordinal was cancelled.
  void expectCancelled(std::uint32_t Ordinal) {
    ASSERT_EQ(cancels(), 1U);
    EXPECT_EQ(actionsOf<cancel_attempt>()[0].Attempt, attempt(Ordinal));
  }
};

// The stream of a sound engine that stood still was cut before another engine had continued it.
TEST_F(silent_stream_test, IsAskedForElsewhereAndKept) {
  fallSilent();
  ASSERT_EQ(Submitted.size(), 2U);
  EXPECT_EQ(Submitted[1].Avoid, std::vector<backend_key>{EngineA});
  EXPECT_TRUE(Submitted[1].Resumed);
  place(EngineB);
  send(2);
  EXPECT_EQ(cancels(), 0U);
}

TEST_F(silent_stream_test, GoesOnAtItsEngine) {
  fallSilent();
  place(EngineB);
  send(2);
  goOn();
  expectCancelled(2);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, GoesOnBeforeAnotherEngineWasChosen) {
  fallSilent();
  goOn();
  EXPECT_EQ(Withdrawn, std::vector<request_number>{request_number(1)});
  place(EngineB);
  EXPECT_EQ(starts(), 1U);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, IsContinuedByAnotherEngine) {
  fallSilent();
  place(EngineB);
  send(2);
  answer(2);
  expectCancelled(1);
  complete(2);
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, CompletesWhileAnotherAttemptIsSent) {
  fallSilent();
  place(EngineB);
  send(2);
  complete(1);
  expectOutcome(final_outcome::Complete, failure_reason::None);
  expectCancelled(2);
}

// All engines stand still: the second one is as silent as the first, and no third may follow.
TEST_F(silent_stream_test, IsWaitedForIfTheOtherEngineIsSilentToo) {
  fallSilent();
  place(EngineB);
  send(2);
  fallSilent(2);
  advanceTime(seconds(2));
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  goOn();
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, IsWaitedForIfTheOtherAttemptFails) {
  fallSilent();
  place(EngineB);
  send(2);
  fail(attempt_failure::BrokenSent, 2);
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  goOn();
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, IsWaitedForIfNoRetryIsLeft) {
  allowNoRetries();
  fallSilent();
  EXPECT_EQ(Submitted.size(), 1U);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, IsWaitedForIfTheSchedulerRefuses) {
  Refusal = work_refusal{failure_reason::QueueFull, seconds(1)};
  fallSilent();
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, IsWaitedForIfTheQueueExpiresItsRetry) {
  fallSilent();
  Dispatch.expire({request_number(1), {failure_reason::QueueFull, seconds(1)}}, Now);
  collectActions();
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  EXPECT_TRUE(Withdrawn.empty()) << "the scheduler has removed the work";
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, ContinuesElsewhereIfItsEngineTurnsOutToBeGone) {
  fallSilent();
  place(EngineB);
  send(2);
  fail(attempt_failure::BrokenMidway, 1);
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  answer(2);
  complete(2);
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(silent_stream_test, EndsAtAllEnginesWithItsCaller) {
  fallSilent();
  place(EngineB);
  send(2);
  handleEvent(caller_left{request_number(1)});
  EXPECT_EQ(cancels(), 2U);
  EXPECT_EQ(Dispatch.liveRequests(), 0U);
}

TEST_F(silent_stream_test, EndsAtItsDeadline) {
  fallSilent();
  place(EngineB);
  send(2);
  advanceTime(seconds(60));
  expectOutcome(final_outcome::Unknown, failure_reason::DeadlineExceeded);
  EXPECT_EQ(cancels(), 2U);
}

// The first attempt was still connecting when another one was started beside it. Its answer came,
// was not recognised, and the caller waited until its deadline.
TEST_F(dispatcher_fixture, AnAttemptThatIsSentLateMayAnswer) {
  arrive(facts(true));
  place(EngineA);
  Dispatch.backendLost(EngineA, Now);
  place(EngineB);
  send(1);
  answer(1);
  complete(1);
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

// A peer that carries a request stands still; its server must not be blamed for it.
TEST_F(dispatcher_fixture, ASilentPathIsNotTheServersFault) {
  arrive(facts(true));
  place(EngineA);
  send();
  handleEvent(attempt_silent{attempt(1), attempt_failure::PathBroken});
  place(EngineB);
  send(2);
  EXPECT_EQ(cancels(), 0U);
  complete(2);
  expectOutcome(final_outcome::Complete, failure_reason::None);
  handleEvent(cancel_confirmed{attempt(1)});
  ASSERT_EQ(Ended.size(), 2U);
  EXPECT_EQ(Ended[1].Failure, attempt_failure::PathBroken);
}

// Only a stream that may be resumed can be continued by another engine.
TEST_F(dispatcher_fixture, ASilentAnswerIsWaitedFor) {
  arrive(facts(true));
  place(EngineA);
  send();
  answer();
  handleEvent(attempt_silent{attempt(1)});
  EXPECT_EQ(Submitted.size(), 1U);
  EXPECT_EQ(cancels(), 0U);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(dispatcher_fixture, SilentWorkThatMustNotBeRepeatedIsWaitedFor) {
  arrive(facts(false));
  place(EngineA);
  send();
  handleEvent(attempt_silent{attempt(1)});
  EXPECT_EQ(Submitted.size(), 1U);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

/// A request that its engine has not answered after four times its target.
struct slow_request_test : dispatcher_fixture {
  void SetUp() override {
    request_facts Facts = facts(true);
    Facts.Target = milliseconds(300);
    Facts.MaxAttempts = 2;
    arrive(Facts);
    place(EngineA);
    send();
    advanceTime(milliseconds(1'200));
  }
};

// A sound engine's attempt was ended, and then the budget refused the retry as it started.
TEST_F(slow_request_test, IsWaitedForIfItsRetryIsNotPaidFor) {
  ASSERT_EQ(Submitted.size(), 2U);
  limits_declaration None = Limits;
  None.RetryPercent = 0;
  Dispatch.applyLimits(None);
  Dispatch.setRetryAllowance({}, Now);
  place(EngineB);
  EXPECT_EQ(starts(), 1U);
  EXPECT_EQ(Withdrawn, std::vector<request_number>{request_number(1)});
  EXPECT_EQ(cancels(), 0U);
  answer();
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(slow_request_test, IsUnknownIfAllItsAttemptsFail) {
  place(EngineB);
  send(2);
  fail(attempt_failure::BrokenSent, 1);
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  fail(attempt_failure::Declined, 2);
  expectOutcome(final_outcome::Unknown, failure_reason::RetriesExhausted);
}

} // namespace
} // namespace pollenstall

/** @file outcome_test.cpp Each request gets one correct final answer, however its attempt ends.
 */
#include "dispatcher_fixture.h"

namespace pollenstall {
namespace {

using std::chrono::seconds;

struct idempotent_request_test : dispatcher_fixture {
  void SetUp() override { arrive(facts(true)); }
};

TEST_F(idempotent_request_test, RunsAndCompletesOnce) {
  place(EngineA);
  send();
  answer();
  complete();
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].End, attempt_end::Completed);
  EXPECT_TRUE(actionsOf<acquire_claim>().empty());
  EXPECT_EQ(Dispatch.dump(Now).Counters.IgnoredEvents, 1U);
}

TEST_F(idempotent_request_test, FinishesWhenTheSchedulerExpiresIt) {
  Dispatch.expire({request_number(1), {failure_reason::DeadlineUnmeetable, seconds(7)}}, Now);
  collectActions();
  expectOutcome(final_outcome::NotRun, failure_reason::DeadlineUnmeetable);
  EXPECT_EQ(actionsOf<finish_request>()[0].RetryAfter, seconds(7));
  EXPECT_TRUE(Withdrawn.empty());
}

TEST_F(idempotent_request_test, IsWithdrawnWhenTheCallerLeaves) {
  handleEvent(caller_left{request_number(1)});
  expectOutcome(final_outcome::NotRun, failure_reason::CallerLeft);
  EXPECT_EQ(Withdrawn, std::vector<request_number>{request_number(1)});
  place(EngineA);
  EXPECT_EQ(starts(), 0U);
  EXPECT_EQ(Withdrawn.size(), 2U) << "the scheduler must free what it reserved for the placement";
}

TEST_F(idempotent_request_test, IsNotRunWhenItsDeadlinePassesInTheQueue) {
  EXPECT_EQ(Dispatch.nextWake(), Now + seconds(60));
  advanceTime(seconds(60));
  expectOutcome(final_outcome::NotRun, failure_reason::DeadlineExceeded);
  EXPECT_EQ(Dispatch.nextWake(), std::nullopt);
}

struct running_request_test : idempotent_request_test {
  void SetUp() override {
    idempotent_request_test::SetUp();
    place(EngineA);
  }
};

// The deadline passes while the start is in flight to the relay. The first byte may be sent at the
// same time, with its event arriving after the final answer. A "not run" would then be false.
TEST_F(running_request_test, IsUnknownAtItsDeadlineBeforeAnySendEvent) {
  advanceTime(seconds(60));
  expectOutcome(final_outcome::Unknown, failure_reason::DeadlineExceeded);
  send();
  EXPECT_EQ(cancels(), 1U);
}

// The caller disconnects while an engine computes, and the first cancels are lost with their
// connections. Without repetition the engine would continue and never free its memory.
TEST_F(running_request_test, RepeatsCancelsUntilTheEngineConfirms) {
  send();
  handleEvent(caller_left{request_number(1)});
  expectOutcome(final_outcome::Unknown, failure_reason::CallerLeft);
  EXPECT_EQ(cancels(), 1U);
  for (int Second = 0; Second < 60; ++Second)
    advanceTime(seconds(1));
  EXPECT_GE(cancels(), 6U);
  EXPECT_LE(cancels(), 20U);
  EXPECT_TRUE(Ended.empty()) << "its memory still counts as used";
  const std::size_t Sent = cancels();
  handleEvent(cancel_confirmed{attempt(1)});
  handleEvent(cancel_confirmed{attempt(1)});
  advanceTime(seconds(60));
  EXPECT_EQ(cancels(), Sent);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].End, attempt_end::Cancelled);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

// The cancel on a new connection overtakes the start on the old one. The engine does not know the
// attempt and starts it a moment later. If the cancel counted as confirmed, the memory would count
// as free while it is used.
TEST_F(running_request_test, RepeatsCancelIfTheEngineHasNotSeenTheAttempt) {
  send();
  handleEvent(caller_left{request_number(1)});
  handleEvent(cancel_confirmed{attempt(1), true});
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U);
  advanceTime(seconds(15));
  EXPECT_GE(cancels(), 2U);
  handleEvent(cancel_confirmed{attempt(1), true});
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

TEST_F(running_request_test, FreesAnAbandonedAttemptWhenTheEngineIncarnationEnds) {
  send();
  handleEvent(caller_left{request_number(1)});
  Dispatch.backendLost(EngineA, Now);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U) << "an unresponsive engine may still hold memory";
  Dispatch.backendGone(EngineA, Now);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].End, attempt_end::BackendGone);
}

TEST_F(running_request_test, FreesAnAbandonedAttemptOnALateProofOnly) {
  send();
  handleEvent(caller_left{request_number(1)});
  fail(attempt_failure::BrokenUnsent); // Proves nothing, since a byte was sent before.
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U);
  fail(attempt_failure::Declined);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

// The caller leaves while the start is in flight, and the first byte is sent after that. A later
// report of BrokenUnsent must not free memory that the engine may hold.
TEST_F(running_request_test, KeepsTrackingWhenAByteIsSentAfterAbandonment) {
  handleEvent(caller_left{request_number(1)});
  send();
  fail(attempt_failure::BrokenUnsent);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U);
}

TEST_F(running_request_test, FreesAnAbandonedAttemptThatWasNeverSent) {
  handleEvent(caller_left{request_number(1)});
  fail(attempt_failure::NotConnected);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

struct started_stream_test : running_request_test {
  void SetUp() override {
    running_request_test::SetUp();
    send();
    answer();
  }
};

// The stream breaks after some tokens reached the caller, and the engine cannot resume it. A second
// attempt's answer appended to the first part would look like a complete answer.
TEST_F(started_stream_test, IsNeverRetriedElsewhere) {
  fail(attempt_failure::Declined);
  expectOutcome(final_outcome::Unknown, failure_reason::BackendFailed);
  EXPECT_EQ(Submitted.size(), 1U);
  EXPECT_EQ(cancels(), 1U);
}

TEST_F(started_stream_test, ResumesAtTheSameEngineUpToTheLimit) {
  CanResume = true;
  fail(attempt_failure::BrokenMidway);
  EXPECT_EQ(actionsOf<resume_attempt>().size(), 1U);
  handleEvent(attempt_advanced{attempt(1), 3});
  for (int Break = 0; Break < 2; ++Break) {
    fail(attempt_failure::NotConnected);
    complete(); // A leftover event of the broken connection; the answer is not complete.
    advanceTime(seconds(1));
  }
  EXPECT_EQ(actionsOf<resume_attempt>().size(), 3U);
  EXPECT_EQ(actionsOf<resume_attempt>()[2].Backend, EngineA);
  fail(attempt_failure::BrokenMidway);
  expectOutcome(final_outcome::Unknown, failure_reason::BackendFailed);
}

TEST_F(started_stream_test, CompletesAfterAResume) {
  CanResume = true;
  fail(attempt_failure::BrokenMidway);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(started_stream_test, ContinuesWhenItsEngineIsUnresponsive) {
  Dispatch.backendLost(EngineA, Now);
  Dispatch.backendGone(EngineA, Now);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

struct admission_test : dispatcher_fixture {};

TEST_F(admission_test, RefusesWithTheReasonOfTheQueue) {
  Refusal = work_refusal{failure_reason::QueueFull, seconds(3)};
  arrive(facts(true));
  expectOutcome(final_outcome::NotRun, failure_reason::QueueFull);
}

TEST_F(admission_test, RefusesWithoutAGroup) {
  HasGroups = false;
  arrive(facts(true));
  expectOutcome(final_outcome::NotRun, failure_reason::NoBackend);
}

TEST_F(admission_test, RefusesNewRequestsWhileUnreadyAndFinishesAdmittedOnes) {
  arrive(facts(true));
  place(EngineA);
  Dispatch.setReady(false);
  arrive(facts(true, {}, 2));
  ASSERT_EQ(actionsOf<finish_request>().size(), 1U);
  EXPECT_EQ(actionsOf<finish_request>()[0].Reason, failure_reason::NotReady);
  send();
  complete();
  EXPECT_EQ(actionsOf<finish_request>()[1].Outcome, final_outcome::Complete);
}

TEST_F(admission_test, FinishesAdmittedRequestsUntilTheShutdownLimit) {
  arrive(facts(true));
  place(EngineA);
  Dispatch.beginShutdown(Now, seconds(10));
  arrive(facts(true, {}, 2));
  EXPECT_EQ(actionsOf<finish_request>()[0].Reason, failure_reason::ShuttingDown);
  advanceTime(seconds(9));
  EXPECT_EQ(Dispatch.liveRequests(), 1U);
  advanceTime(seconds(1));
  EXPECT_EQ(actionsOf<finish_request>()[1].Outcome, final_outcome::Unknown);
  EXPECT_EQ(Dispatch.liveRequests(), 0U);
}

TEST_F(admission_test, IgnoresADuplicateArrival) {
  arrive(facts(true));
  arrive(facts(true));
  EXPECT_EQ(Submitted.size(), 1U);
}

TEST(DispatcherBuilder, ReturnsTheMissingPart) {
  auto Built = dispatcher_builder().build();
  EXPECT_EQ(errorOf(Built), dispatcher_build_error::NoProcess);
  const process_key Self{host_name("h"), incarnation(1)};
  Built = dispatcher_builder().process(Self).build();
  EXPECT_EQ(errorOf(Built), dispatcher_build_error::NoSubmit);
}

} // namespace
} // namespace pollenstall

/** @file outcome_test.cpp One final answer for each request, whatever its attempt meets.
 */
#include "dispatch_story.h"

namespace pollenstall {
namespace {

using std::chrono::seconds;

struct an_idempotent_request : dispatch_story {
  void SetUp() override { arrive(facts(true)); }
};

TEST_F(an_idempotent_request, RunsAndCompletesOnce) {
  place(EngineA);
  send();
  answer();
  complete();
  complete();
  expectEnd(final_outcome::Complete, failure_reason::None);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].End, attempt_end::Completed);
  EXPECT_TRUE(all<acquire_claim>().empty());
  EXPECT_EQ(Dispatch.dump(Now).Counters.IgnoredEvents, 1U);
}

TEST_F(an_idempotent_request, IsToldAtOnceWhenTheQueueGivesItUp) {
  Dispatch.expire({request_number(1), {failure_reason::DeadlineUnmeetable, seconds(7)}}, Now);
  collect();
  expectEnd(final_outcome::NotRun, failure_reason::DeadlineUnmeetable);
  EXPECT_EQ(all<finish_request>()[0].RetryAfter, seconds(7));
  EXPECT_TRUE(Withdrawn.empty());
}

TEST_F(an_idempotent_request, IsTakenOutOfTheQueueWhenTheCallerLeaves) {
  happen(caller_left{request_number(1)});
  expectEnd(final_outcome::NotRun, failure_reason::CallerLeft);
  EXPECT_EQ(Withdrawn, std::vector<request_number>{request_number(1)});
  place(EngineA);
  EXPECT_EQ(starts(), 0U);
  EXPECT_EQ(Withdrawn.size(), 2U) << "the scheduler frees what it had set aside";
}

TEST_F(an_idempotent_request, IsNotRunWhenItsTimeEndsInTheQueue) {
  EXPECT_EQ(Dispatch.nextWake(), Now + seconds(60));
  pass(seconds(60));
  expectEnd(final_outcome::NotRun, failure_reason::DeadlineExceeded);
  EXPECT_EQ(Dispatch.nextWake(), std::nullopt);
}

struct a_running_request : an_idempotent_request {
  void SetUp() override {
    an_idempotent_request::SetUp();
    place(EngineA);
  }
};

// The deadline comes while the start order is under way to the relay.
// The first byte may leave in the same moment, and its event comes after the answer: "not run"
// would be said of work that runs.
TEST_F(a_running_request, IsUnknownAtItsDeadlineEvenBeforeAByteIsReportedOut) {
  pass(seconds(60));
  expectEnd(final_outcome::Unknown, failure_reason::DeadlineExceeded);
  send();
  EXPECT_EQ(cancels(), 1U);
}

// The caller hangs up while an engine computes; the first cancels are lost with their connections.
// Without repetition the engine computes on and keeps its memory for good.
TEST_F(a_running_request, IsCancelledAgainAndAgainUntilTheEngineConfirms) {
  send();
  happen(caller_left{request_number(1)});
  expectEnd(final_outcome::Unknown, failure_reason::CallerLeft);
  EXPECT_EQ(cancels(), 1U);
  for (int Second = 0; Second < 60; ++Second)
    pass(seconds(1));
  EXPECT_GE(cancels(), 6U);
  EXPECT_LE(cancels(), 20U);
  EXPECT_TRUE(Ended.empty()) << "its memory counts as taken";
  const std::size_t Sent = cancels();
  happen(cancel_confirmed{attempt(1)});
  happen(cancel_confirmed{attempt(1)});
  pass(seconds(60));
  EXPECT_EQ(cancels(), Sent);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].End, attempt_end::Cancelled);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

// The cancel on a new connection overtakes the start on the old one: the engine knows no such
// attempt, and starts it a moment later. Taken for the end, its memory would count as free.
TEST_F(a_running_request, IsCancelledAgainWhereTheEngineHasNotSeenItYet) {
  send();
  happen(caller_left{request_number(1)});
  happen(cancel_confirmed{attempt(1), true});
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U);
  pass(seconds(15));
  EXPECT_GE(cancels(), 2U);
  happen(cancel_confirmed{attempt(1), true});
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

TEST_F(a_running_request, FreesAnAbandonedAttemptWhenTheEnginesLifeIsOver) {
  send();
  happen(caller_left{request_number(1)});
  Dispatch.backendLost(EngineA, Now);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U) << "silence is no proof";
  Dispatch.backendGone(EngineA, Now);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].End, attempt_end::BackendGone);
}

TEST_F(a_running_request, FreesAnAbandonedAttemptOnALateProofOnly) {
  send();
  happen(caller_left{request_number(1)});
  fail(attempt_failure::BrokenUnsent); // A byte was out: this proves nothing.
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U);
  fail(attempt_failure::Declined);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

// The caller leaves while the start is under way; the first byte goes out after that.
// A report of "unsent" that comes still later must not free memory that the engine may hold.
TEST_F(a_running_request, KeepsTheLedgerWhenAByteLeftAfterItWasGivenUp) {
  happen(caller_left{request_number(1)});
  send();
  fail(attempt_failure::BrokenUnsent);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 1U);
}

TEST_F(a_running_request, FreesAnAbandonedAttemptThatWasNeverSent) {
  happen(caller_left{request_number(1)});
  fail(attempt_failure::NotConnected);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U);
}

struct a_stream_that_began : a_running_request {
  void SetUp() override {
    a_running_request::SetUp();
    send();
    answer();
  }
};

// The stream breaks after some tokens went to the caller; the engine cannot resume.
// A second attempt's answer glued to the first part would pass as a whole answer.
TEST_F(a_stream_that_began, IsNeverTriedAgainElsewhere) {
  fail(attempt_failure::Declined);
  expectEnd(final_outcome::Unknown, failure_reason::BackendFailed);
  EXPECT_EQ(Submitted.size(), 1U);
  EXPECT_EQ(cancels(), 1U);
}

TEST_F(a_stream_that_began, ResumesAtTheSameEngineAFewTimesOnly) {
  CanResume = true;
  fail(attempt_failure::BrokenMidway);
  EXPECT_EQ(all<resume_attempt>().size(), 1U);
  happen(attempt_advanced{attempt(1), 3});
  for (int Break = 0; Break < 2; ++Break) {
    fail(attempt_failure::NotConnected);
    complete(); // Left over from the broken connection: not whole.
    pass(seconds(1));
  }
  EXPECT_EQ(all<resume_attempt>().size(), 3U);
  EXPECT_EQ(all<resume_attempt>()[2].Backend, EngineA);
  fail(attempt_failure::BrokenMidway);
  expectEnd(final_outcome::Unknown, failure_reason::BackendFailed);
}

TEST_F(a_stream_that_began, CompletesAfterAResume) {
  CanResume = true;
  fail(attempt_failure::BrokenMidway);
  complete();
  expectEnd(final_outcome::Complete, failure_reason::None);
}

TEST_F(a_stream_that_began, IsNotCutWhenItsEngineIsOnlySilent) {
  Dispatch.backendLost(EngineA, Now);
  Dispatch.backendGone(EngineA, Now);
  complete();
  expectEnd(final_outcome::Complete, failure_reason::None);
}

struct an_entry : dispatch_story {};

TEST_F(an_entry, RefusesWithTheReasonOfTheQueue) {
  Refuse = work_refusal{failure_reason::QueueFull, seconds(3)};
  arrive(facts(true));
  expectEnd(final_outcome::NotRun, failure_reason::QueueFull);
}

TEST_F(an_entry, RefusesWithoutAGroup) {
  HasGroups = false;
  arrive(facts(true));
  expectEnd(final_outcome::NotRun, failure_reason::NoBackend);
}

TEST_F(an_entry, RefusesNewRequestsWhileUnreadyAndFinishesAdmittedOnes) {
  arrive(facts(true));
  place(EngineA);
  Dispatch.setReady(false);
  arrive(facts(true, {}, 2));
  ASSERT_EQ(all<finish_request>().size(), 1U);
  EXPECT_EQ(all<finish_request>()[0].Reason, failure_reason::NotReady);
  send();
  complete();
  EXPECT_EQ(all<finish_request>()[1].Outcome, final_outcome::Complete);
}

TEST_F(an_entry, LetsAdmittedRequestsEndBeforeItStopsButNotForever) {
  arrive(facts(true));
  place(EngineA);
  Dispatch.beginShutdown(Now, seconds(10));
  arrive(facts(true, {}, 2));
  EXPECT_EQ(all<finish_request>()[0].Reason, failure_reason::ShuttingDown);
  pass(seconds(9));
  EXPECT_EQ(Dispatch.liveRequests(), 1U);
  pass(seconds(1));
  EXPECT_EQ(all<finish_request>()[1].Outcome, final_outcome::Unknown);
  EXPECT_EQ(Dispatch.liveRequests(), 0U);
}

TEST_F(an_entry, IgnoresADoubledArrival) {
  arrive(facts(true));
  arrive(facts(true));
  EXPECT_EQ(Submitted.size(), 1U);
}

TEST(DispatcherBuilder, NamesWhatIsMissing) {
  auto Built = dispatcher_builder().build();
  EXPECT_EQ(errorOf(Built), dispatcher_build_error::NoProcess);
  const process_key Self{host_name("h"), incarnation(1)};
  Built = dispatcher_builder().process(Self).build();
  EXPECT_EQ(errorOf(Built), dispatcher_build_error::NoSubmit);
}

} // namespace
} // namespace pollenstall

/** @file retry_test.cpp Which work may be retried, where, how often, and under which claim. */
#include "dispatcher_fixture.h"

namespace pollenstall {
namespace {

using std::chrono::seconds;

struct idempotent_retry_test : dispatcher_fixture {
  void SetUp() override {
    arrive(facts(true));
    place(EngineA);
    send();
  }
};

TEST_F(idempotent_retry_test, IsRetriedElsewhereAfterABrokenConnection) {
  fail(attempt_failure::BrokenSent);
  ASSERT_EQ(Submitted.size(), 2U);
  EXPECT_EQ(Submitted[1].Avoid, std::vector<backend_key>{EngineA});
  EXPECT_EQ(cancels(), 1U) << "the first engine may still run the attempt";
  place(EngineB);
  send(2);
  complete(2);
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(idempotent_retry_test, StopsAtMaxAttempts) {
  fail(attempt_failure::ErrorAnswer);
  place(EngineB);
  fail(attempt_failure::NotConnected, 2);
  place(EngineB);
  fail(attempt_failure::NotConnected, 3);
  expectOutcome(final_outcome::Unknown, failure_reason::RetriesExhausted);
  EXPECT_EQ(starts(), 3U);
  EXPECT_EQ(cancels(), 0U) << "no engine holds resources of the request";
}

// The caller's answer would be lost if the first engine was ended and the second one failed, too.
TEST_F(idempotent_retry_test, AsksAnotherEngineBesideAnUnresponsiveOne) {
  Dispatch.backendLost(EngineA, Now);
  place(EngineB);
  send(2);
  EXPECT_EQ(cancels(), 0U);
  complete(1);
  expectOutcome(final_outcome::Complete, failure_reason::None);
  EXPECT_EQ(cancels(), 1U) << "the second engine may still run its attempt";
  complete(2);
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U) << "a complete answer frees the engine's memory";
  EXPECT_EQ(actionsOf<finish_request>().size(), 1U);
}

TEST_F(idempotent_retry_test, EndsTheUnresponsiveAttemptOnceAnotherAnswers) {
  Dispatch.backendLost(EngineA, Now);
  place(EngineB);
  send(2);
  answer(2);
  ASSERT_EQ(cancels(), 1U);
  EXPECT_EQ(actionsOf<cancel_attempt>()[0].Attempt, attempt(1));
  complete(1);
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  EXPECT_EQ(Dispatch.abandonedAttempts(), 0U) << "a complete answer frees the engine's memory";
  complete(2);
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

// The first attempt is slow, and its first token is relayed after the second attempt has started.
TEST_F(idempotent_retry_test, KeepsTheSlowAttemptThatAnswersFirst) {
  advanceTime(seconds(30));
  place(EngineB);
  answer(1);
  EXPECT_TRUE(actionsOf<finish_request>().empty());
  ASSERT_EQ(cancels(), 1U);
  EXPECT_EQ(actionsOf<cancel_attempt>()[0].Attempt, attempt(2));
  complete(1);
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

// An attempt has ended for this entry, and the event that its first token was relayed arrives
// later. The second answer must not follow that token, so the request ends with an error.
TEST_F(idempotent_retry_test, EndsIfAnAbandonedAttemptHadStartedAnswering) {
  fail(attempt_failure::BrokenSent);
  place(EngineB);
  answer(1);
  expectOutcome(final_outcome::Unknown, failure_reason::BackendFailed);
  complete(2);
  EXPECT_EQ(actionsOf<finish_request>().size(), 1U);
}

// Engines that lost power neither answer nor reset connections. With a declared target, the attempt
// times out at four times the target, while the caller still waits.
TEST_F(dispatcher_fixture, RetriesElsewhereAtFourTimesTheTarget) {
  request_facts Facts = facts(true);
  Facts.Target = std::chrono::milliseconds(300);
  arrive(Facts);
  place(EngineA);
  advanceTime(std::chrono::milliseconds(1'190));
  EXPECT_EQ(Submitted.size(), 1U);
  advanceTime(std::chrono::milliseconds(20));
  ASSERT_EQ(Submitted.size(), 2U);
  EXPECT_EQ(Submitted[1].Avoid, std::vector<backend_key>{EngineA});
}

TEST_F(idempotent_retry_test, KeepsASlowAttemptIfNoRetryMayStart) {
  limits_declaration Fewer = Limits;
  Fewer.MaxAttempts = 1;
  Dispatch.applyLimits(Fewer);
  advanceTime(seconds(30));
  Dispatch.backendLost(EngineA, Now);
  EXPECT_EQ(cancels(), 0U);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

TEST_F(idempotent_retry_test, IsUnknownWhenTheRetryIsRefused) {
  Refusal = work_refusal{failure_reason::QueueFull, seconds(1)};
  fail(attempt_failure::BrokenSent);
  expectOutcome(final_outcome::Unknown, failure_reason::QueueFull);
}

// A failure domain is lost while its engines are still listed, and three attempts cannot connect to
// them. No backend server was sent anything, so neither the route's limit of two attempts nor the
// budget may end the request.
TEST_F(dispatcher_fixture, UnreachableServersDoNotCountTowardsMaxAttempts) {
  limits_declaration NoRetries = Limits;
  NoRetries.RetryPercent = 0;
  Dispatch.applyLimits(NoRetries);
  Dispatch.setRetryAllowance({}, Now);
  request_facts Facts = facts(true);
  Facts.MaxAttempts = 2;
  arrive(Facts);
  for (std::uint32_t Ordinal = 1; Ordinal <= 3; ++Ordinal) {
    place(Ordinal % 2 == 0 ? EngineB : EngineA);
    fail(attempt_failure::NotConnected, Ordinal);
  }
  EXPECT_EQ(Submitted.size(), 4U);
  EXPECT_TRUE(actionsOf<finish_request>().empty());
}

/// Requests of which each retry is paid for by an allowance that all entries share.
struct shared_allowance_test : dispatcher_fixture {
  void SetUp() override {
    limits_declaration NoShare = Limits;
    NoShare.RetryPercent = 0;
    Dispatch.applyLimits(NoShare);
    Dispatch.setRetryAllowance({Reserve, Window}, Now);
    keepContact();
    Now += Window + seconds(1);
  }
  void keepContact() {
    Dispatch.sharedRetries()->setEntries({}, Now);
    Dispatch.sharedRetries()->confirmContact(Now + std::chrono::minutes(1), Now);
  }
  /// Starts a request for a service, whose first attempt is then declined.
  void decline(std::uint64_t RequestId, const std::vector<std::string> &Services) {
    request_facts Facts = facts(true, {}, RequestId);
    for (const std::string &Service : Services)
      Facts.Services.emplace_back(service_name(Service), 1);
    arrive(Facts);
    placeAt(RequestId, Services.front());
    handleEvent(attempt_failed{{Self, request_number(RequestId), 1}, attempt_failure::Declined});
  }
  void placeAt(std::uint64_t RequestId, const std::string &Service) {
    work_placement Placement{request_number(RequestId), EngineB};
    Placement.Service = service_name(Service);
    Dispatch.place(Placement, Now);
    collectActions();
  }

  static constexpr double Reserve = 1.2; ///< One retry, of which a part is held back.
  static constexpr seconds Window{10};
};

// Guards against retries that wait in the queue and reach the servers in another window than the
// one that they were charged to.
TEST_F(shared_allowance_test, ARetryIsChargedWhenItStarts) {
  decline(1, {"llm"});
  EXPECT_EQ(Submitted.size(), 2U);
  Now += seconds(9);
  placeAt(1, "llm");
  Now += seconds(9);
  keepContact();
  decline(2, {"llm"});
  EXPECT_EQ(Submitted.size(), 3U) << "the first retry started 9 s ago";
  Now += seconds(2);
  decline(3, {"llm"});
  EXPECT_EQ(Submitted.size(), 5U);
}

TEST_F(shared_allowance_test, QueuedRetriesShareWhatIsLeft) {
  decline(1, {"llm"});
  decline(2, {"llm"});
  EXPECT_EQ(Submitted.size(), 3U) << "two first attempts and one retry";
  handleEvent(caller_left{request_number(1)});
  decline(3, {"llm"});
  EXPECT_EQ(Submitted.size(), 5U) << "a retry that has not started costs nothing";
}

// Guards against retries on a route with several services that are charged to another one.
TEST_F(shared_allowance_test, ARetryIsChargedToTheServiceItGoesTo) {
  decline(1, {"llm", "plain"});
  placeAt(1, "plain");
  decline(2, {"plain"});
  EXPECT_EQ(Submitted.size(), 3U);
  decline(3, {"llm"});
  EXPECT_EQ(Submitted.size(), 5U);
}

TEST_F(shared_allowance_test, ARetryThatWasNeverSentIsNotCharged) {
  decline(1, {"llm"});
  placeAt(1, "llm");
  handleEvent(attempt_failed{{Self, request_number(1), 2}, attempt_failure::NotConnected});
  EXPECT_EQ(Submitted.size(), 3U) << "the retry did not reach a server, and the next one may";
}

// Guards against resumes at the same server, which it counts like other retries.
TEST_F(shared_allowance_test, AResumeAtTheSameServerIsCharged) {
  CanResume = true;
  request_facts Facts = facts(true);
  Facts.Services.emplace_back(service_name("llm"), 1);
  arrive(Facts);
  placeAt(1, "llm");
  send();
  answer();
  fail(attempt_failure::BrokenMidway);
  EXPECT_EQ(actionsOf<resume_attempt>().size(), 1U);
  decline(2, {"llm"});
  EXPECT_EQ(Submitted.size(), 2U) << "the resume has used the one retry";
}

/// The budget is used up, and there is another entry that may lend.
struct awaited_retry_test : shared_allowance_test {
  void SetUp() override {
    shared_allowance_test::SetUp();
    Dispatch.sharedRetries()->setEntries({1, 0, {"10.0.0.2:1"}}, Now);
    Dispatch.sharedRetries()->confirmContact(Now + std::chrono::minutes(1), Now);
    decline(1, {"llm"});
    placeAt(1, "llm");
    decline(2, {"llm"});
  }
  std::vector<retry_datagram> datagrams() { return Dispatch.sharedRetries()->takeDatagrams(Now); }
  void lend(double Amount) {
    for (const retry_datagram &Datagram : datagrams()) {
      const auto &Request = std::get<retry_loan_request>(Datagram.Message);
      Dispatch.receiveRetryMessage(
          {Datagram.To, retry_loan{Request.Service, Request.Number, Amount}}, Now);
    }
    collectActions();
  }
};

TEST_F(awaited_retry_test, StartsWithALoanOfAnotherEntry) {
  EXPECT_EQ(Submitted.size(), 3U) << "two first attempts and the one retry of this entry";
  EXPECT_EQ(actionsOf<finish_request>().size(), 0U);
  lend(1);
  EXPECT_EQ(Submitted.size(), 4U);
  placeAt(2, "llm");
  EXPECT_EQ(starts(), 4U);
}

// Guards against requests that wait for a loan until their deadline.
TEST_F(awaited_retry_test, IsRefusedSoonWhereNobodyLends) {
  lend(0);
  advanceTime(std::chrono::milliseconds(100));
  EXPECT_EQ(Submitted.size(), 3U);
  ASSERT_EQ(actionsOf<finish_request>().size(), 1U);
  EXPECT_EQ(actionsOf<finish_request>()[0].Reason, failure_reason::RetriesExhausted);
}

// Guards against retries that end because their loan expired while they were queued.
TEST_F(awaited_retry_test, AsksAgainIfItsLoanExpiredInTheQueue) {
  lend(1);
  advanceTime(std::chrono::milliseconds(300));
  placeAt(2, "llm");
  EXPECT_EQ(starts(), 3U) << "nothing pays for it";
  EXPECT_EQ(actionsOf<finish_request>().size(), 0U);
  EXPECT_EQ(Withdrawn, std::vector<request_number>{request_number(2)});
  lend(1);
  placeAt(2, "llm");
  EXPECT_EQ(starts(), 4U);
}

TEST_F(awaited_retry_test, EndsWithItsCaller) {
  handleEvent(caller_left{request_number(2)});
  EXPECT_EQ(actionsOf<finish_request>().size(), 1U);
  EXPECT_TRUE(datagrams().empty()) << "nothing is wanted any more";
  lend(1);
  EXPECT_EQ(Submitted.size(), 3U);
}

/// A stream falls silent at an entry that has used up its part of the budget.
struct silent_stream_over_budget_test : awaited_retry_test {
  void SetUp() override {
    awaited_retry_test::SetUp();
    handleEvent(caller_left{request_number(2)});
    request_facts Facts = facts(true, {}, 3);
    Facts.Services.emplace_back(service_name("llm"), 1);
    Facts.Resumable = true;
    arrive(Facts);
    placeAt(3, "llm");
    handleEvent(attempt_sending{Stream});
    handleEvent(attempt_answering{Stream});
    handleEvent(attempt_silent{Stream});
  }

  const attempt_id Stream{Self, request_number(3), 1};
};

// Guards against streams that are given up at entries whose links are cut, while the others hold
// retries that they do not need.
TEST_F(silent_stream_over_budget_test, IsContinuedWithALoanOfAnotherEntry) {
  ASSERT_EQ(Submitted.size(), 4U) << "three first attempts and the one retry of this entry";
  lend(1);
  ASSERT_EQ(Submitted.size(), 5U);
  EXPECT_TRUE(Submitted[4].Resumed);
  placeAt(3, "llm");
  EXPECT_EQ(starts(), 5U);
  EXPECT_EQ(cancels(), 0U);
}

TEST_F(silent_stream_over_budget_test, IsWaitedForWhereNobodyLends) {
  lend(0);
  advanceTime(std::chrono::milliseconds(100));
  EXPECT_EQ(Submitted.size(), 4U);
  EXPECT_EQ(cancels(), 0U);
  handleEvent(attempt_completed{Stream, {}, {}, {}});
  ASSERT_EQ(actionsOf<finish_request>().size(), 2U);
  EXPECT_EQ(actionsOf<finish_request>()[1].Outcome, final_outcome::Complete);
}

TEST_F(silent_stream_over_budget_test, GoesOnWhileItWaitsForALoan) {
  handleEvent(attempt_advanced{Stream, 1});
  EXPECT_TRUE(datagrams().empty()) << "nothing is wanted any more";
  lend(1);
  EXPECT_EQ(Submitted.size(), 4U);
  EXPECT_EQ(cancels(), 0U);
}

// All engines fail at once. Without a budget each request would be sent MaxAttempts times, and the
// load of the retries would keep the engines down. The budget limits retries to a share of the
// first attempts.
TEST_F(dispatcher_fixture, RetriesStayWithinTheirBudget) {
  for (std::uint64_t RequestId = 1; RequestId <= 200; ++RequestId) {
    arrive(facts(true, {}, RequestId));
    place(EngineA, RequestId);
    for (std::uint32_t Ordinal = 1; Ordinal <= 3; ++Ordinal) {
      handleEvent(
          attempt_failed{{Self, request_number(RequestId), Ordinal}, attempt_failure::Declined});
      place(EngineB, RequestId);
    }
  }
  EXPECT_EQ(starts(), 200U + 200U / 10U + 3U);
  EXPECT_EQ(actionsOf<finish_request>().size(), 200U);
  advanceTime(seconds(2));
  arrive(facts(true, {}, 201));
  place(EngineA, 201);
  handleEvent(attempt_failed{{Self, request_number(201), 1}, attempt_failure::Declined});
  EXPECT_EQ(Dispatch.liveRequests(), 1U) << "the floor must refill over time";
}

struct non_idempotent_retry_test : dispatcher_fixture {
  void SetUp() override {
    arrive(facts(false));
    place(EngineA);
  }
};

// A non-idempotent request, such as one that sends a newsletter, breaks after it was sent. A retry
// could run it twice, so the caller gets "unknown".
TEST_F(non_idempotent_retry_test, IsNotStartedAgainAfterAPossibleFirstByte) {
  send();
  fail(attempt_failure::BrokenSent);
  expectOutcome(final_outcome::Unknown, failure_reason::BackendFailed);
  EXPECT_EQ(Submitted.size(), 1U);
}

TEST_F(non_idempotent_retry_test, IgnoresAnUnsentReportAfterAByteWasSent) {
  send();
  fail(attempt_failure::NotConnected);
  expectOutcome(final_outcome::Unknown, failure_reason::BackendFailed);
}

TEST_F(non_idempotent_retry_test, IsRetriedElsewhereWhenProvedNotRun) {
  fail(attempt_failure::NotConnected);
  place(EngineB);
  send(2);
  fail(attempt_failure::Declined, 2);
  place(EngineB);
  fail(attempt_failure::BrokenUnsent, 3);
  expectOutcome(final_outcome::NotRun, failure_reason::RetriesExhausted);
}

TEST_F(non_idempotent_retry_test, StaysWithAnUnresponsiveEngine) {
  send();
  Dispatch.backendLost(EngineA, Now);
  Dispatch.backendGone(EngineA, Now);
  EXPECT_EQ(Submitted.size(), 1U);
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
}

struct claimed_request_test : dispatcher_fixture {
  void SetUp() override { arrive(facts(false, "letter-7")); }
};

TEST_F(claimed_request_test, WaitsForItsClaim) {
  ASSERT_EQ(actionsOf<acquire_claim>().size(), 1U);
  EXPECT_EQ(actionsOf<acquire_claim>()[0].Key, "6:acme-1:letter-7");
  EXPECT_GE(actionsOf<acquire_claim>()[0].Lifetime, seconds(60));
  EXPECT_TRUE(Submitted.empty());
  answerClaim(claim_status::Granted);
  EXPECT_EQ(Submitted.size(), 1U);
}

TEST_F(dispatcher_fixture, ClaimOutlivesItsRequest) {
  limits_declaration Short = Limits;
  Short.ClaimLifetime = std::chrono::milliseconds(1);
  Dispatch.applyLimits(Short);
  arrive(facts(false, "letter-7"));
  EXPECT_GT(actionsOf<acquire_claim>()[0].Lifetime, seconds(60));
}

TEST_F(claimed_request_test, IsUnknownIfAnotherRequestRuns) {
  answerClaim(claim_status::Running);
  expectOutcome(final_outcome::Unknown, failure_reason::AlreadyRunning);
  expectSettled({});
}

TEST_F(claimed_request_test, IsCompleteIfAnotherRequestCompleted) {
  answerClaim(claim_status::Complete);
  expectOutcome(final_outcome::Complete, failure_reason::AlreadyComplete);
  expectSettled({});
  EXPECT_TRUE(Submitted.empty());
}

// The first request ran and its answer was lost. The caller resends it while no claim can be
// obtained. After a "not run", the caller could send the work under another key, so that it would
// run twice.
TEST_F(claimed_request_test, IsUnknownIfTheClaimIsUnavailable) {
  answerClaim(claim_status::Unavailable);
  expectOutcome(final_outcome::Unknown, failure_reason::ClaimUnavailable);
  EXPECT_TRUE(actionsOf<finish_request>()[0].RetryAfter.has_value());
  expectSettled({claim_state::Released});
}

// The claim is granted after the request timed out. Nothing may start under the late grant.
TEST_F(claimed_request_test, TimesOutWithoutAClaimAndIgnoresALateGrant) {
  advanceTime(seconds(2));
  expectOutcome(final_outcome::Unknown, failure_reason::ClaimUnavailable);
  answerClaim(claim_status::Granted);
  EXPECT_TRUE(Submitted.empty());
  expectSettled({claim_state::Released});
}

struct granted_claim_test : claimed_request_test {
  void SetUp() override {
    claimed_request_test::SetUp();
    answerClaim(claim_status::Granted);
  }
};

TEST_F(granted_claim_test, ReleasesItWhenProvedNotRun) {
  advanceTime(seconds(60));
  expectOutcome(final_outcome::NotRun, failure_reason::DeadlineExceeded);
  expectSettled({claim_state::Released});
}

TEST_F(granted_claim_test, SettlesItComplete) {
  place(EngineA);
  send();
  complete();
  expectOutcome(final_outcome::Complete, failure_reason::None);
  expectSettled({claim_state::Complete});
}

TEST_F(granted_claim_test, SettlesItUnknownThenCompleteWhenTheAnswerComesLate) {
  place(EngineA);
  send();
  handleEvent(caller_left{request_number(1)});
  expectSettled({claim_state::Unknown});
  complete();
  expectSettled({claim_state::Unknown, claim_state::Complete});
  expectOutcome(final_outcome::Unknown, failure_reason::CallerLeft);
}

TEST_F(dispatcher_fixture, ClaimKeysOfTwoAccountsDiffer) {
  request_facts FirstFacts = facts(false, "b:c", 1);
  FirstFacts.Account = client_account_name("a");
  request_facts SecondFacts = facts(false, "c", 2);
  SecondFacts.Account = client_account_name("a:b");
  arrive(FirstFacts);
  arrive(SecondFacts);
  EXPECT_NE(actionsOf<acquire_claim>()[0].Key, actionsOf<acquire_claim>()[1].Key);
}

} // namespace
} // namespace pollenstall

/** @file dispatcher_fixture.h Test fixture: a dispatcher whose scheduler accepts all work. */
#ifndef POLLENSTALL_TESTS_DISPATCH_DISPATCHER_FIXTURE_H
#define POLLENSTALL_TESTS_DISPATCH_DISPATCHER_FIXTURE_H

#include "dispatch/dispatch.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// Drives one dispatcher and records its actions and callbacks.
struct dispatcher_fixture : ::testing::Test {
  const process_key Self{host_name("accra-a-1"), incarnation(5)};
  const backend_key EngineA{backend_address("127.0.0.1:1"), incarnation(1)};
  const backend_key EngineB{backend_address("127.0.0.1:2"), incarnation(1)};

  mono_time Now{std::chrono::hours(1)};
  limits_declaration Limits;
  std::vector<work_item> Submitted;
  std::vector<request_number> Withdrawn;
  std::vector<attempt_result> Ended;
  std::vector<attempt_id> AbandonedIds;
  std::optional<work_refusal> Refusal;
  bool HasGroups{true};
  bool CanResume{false};
  std::vector<dispatch_action> AllActions; ///< All actions since the start.
  dispatcher Dispatch = makeDispatcher();

  dispatcher makeDispatcher() {
    dispatcher_callbacks Callbacks;
    Callbacks.Submit = [this](const work_item &Item, mono_time) -> result<done, work_refusal> {
      if (Refusal)
        return *Refusal;
      Submitted.push_back(Item);
      return done{};
    };
    Callbacks.Withdraw = [this](request_number RequestId) { Withdrawn.push_back(RequestId); };
    Callbacks.AttemptEnded = [this](const attempt_result &End, mono_time) { Ended.push_back(End); };
    Callbacks.AttemptAbandoned = [this](const attempt_id &Id, auto, mono_time) {
      AbandonedIds.push_back(Id);
    };
    Callbacks.GroupsFor = [this](const request_facts &) {
      return HasGroups ? std::vector<candidate_group>{{group_name("all"), 1}}
                       : std::vector<candidate_group>{};
    };
    Callbacks.SupportsResume = [this](const backend_key &) { return CanResume; };
    auto Built =
        dispatcher_builder().process(Self).limits(Limits).seed(1).callbacks(Callbacks).build();
    valueOf(Built).setReady(true);
    return valueOf(std::move(Built));
  }

  request_facts facts(bool Idempotent, std::string Key = {}, std::uint64_t RequestId = 1) {
    request_facts Facts;
    Facts.Id = request_number(RequestId);
    Facts.Account = client_account_name("acme-1");
    Facts.Idempotent = Idempotent;
    Facts.IdempotencyKey = std::move(Key);
    Facts.Arrived = Now;
    Facts.Deadline = Now + std::chrono::seconds(60);
    return Facts;
  }

  void handleEvent(const dispatch_event &Event) {
    Dispatch.handle(Event, Now);
    collectActions();
  }
  void arrive(const request_facts &Facts) { handleEvent(request_arrived{Facts}); }
  void answerClaim(claim_status Status) { handleEvent(claim_answered{request_number(1), Status}); }
  void place(const backend_key &Backend, std::uint64_t RequestId = 1) {
    Dispatch.place({request_number(RequestId), Backend, 0, {}}, Now);
    collectActions();
  }
  void advanceTime(mono_duration Time) {
    Now += Time;
    Dispatch.advance(Now);
    collectActions();
  }
  void fail(attempt_failure Failure, std::uint32_t Ordinal = 1) {
    handleEvent(attempt_failed{attempt(Ordinal), Failure});
  }
  /// Reports that the attempt's first byte is being sent.
  void send(std::uint32_t Ordinal = 1) { handleEvent(attempt_sending{attempt(Ordinal)}); }
  void answer(std::uint32_t Ordinal = 1) { handleEvent(attempt_answering{attempt(Ordinal)}); }
  void complete(std::uint32_t Ordinal = 1) {
    handleEvent(attempt_completed{attempt(Ordinal), {}, {}, {}});
  }

  [[nodiscard]] attempt_id attempt(std::uint32_t Ordinal) const {
    return {Self, request_number(1), Ordinal};
  }

  void collectActions() {
    for (auto &Action : Dispatch.takeActions())
      AllActions.push_back(std::move(Action));
  }

  /// @return All actions of one type since the start.
  template <typename Action> std::vector<Action> actionsOf() const {
    std::vector<Action> Actions;
    for (const dispatch_action &AnyAction : AllActions)
      if (const auto *Typed = std::get_if<Action>(&AnyAction))
        Actions.push_back(*Typed);
    return Actions;
  }
  [[nodiscard]] std::size_t starts() const { return actionsOf<start_attempt>().size(); }
  [[nodiscard]] std::size_t cancels() const { return actionsOf<cancel_attempt>().size(); }

  /// Expects that there is exactly one final answer, with this outcome and reason.
  void expectOutcome(final_outcome Outcome, failure_reason Reason) {
    const auto Finishes = actionsOf<finish_request>();
    ASSERT_EQ(Finishes.size(), 1U);
    EXPECT_EQ(Finishes[0].Outcome, Outcome);
    EXPECT_EQ(Finishes[0].Reason, Reason);
    const bool WithTime = Outcome == final_outcome::NotRun &&
                          Reason != failure_reason::CallerLeft &&
                          Reason != failure_reason::TooLargeForFleet;
    EXPECT_TRUE(!WithTime || Finishes[0].RetryAfter.has_value());
    EXPECT_EQ(Dispatch.liveRequests(), 0U);
  }
  /// Expects that the claim was settled in exactly these states, in this order.
  void expectSettled(const std::vector<claim_state> &Expected) {
    std::vector<claim_state> FinalStates;
    for (const settle_claim &Settle : actionsOf<settle_claim>())
      FinalStates.push_back(Settle.FinalState);
    EXPECT_EQ(FinalStates, Expected);
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_DISPATCH_DISPATCHER_FIXTURE_H

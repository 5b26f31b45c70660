/** @file dispatch_story.h A dispatcher with a scheduler that takes everything, for stories in
 * tests.
 */
#ifndef POLLENSTALL_TESTS_DISPATCH_DISPATCH_STORY_H
#define POLLENSTALL_TESTS_DISPATCH_DISPATCH_STORY_H

#include "dispatch/dispatch.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pollenstall {

/// Drives one dispatcher and keeps what it did.
struct dispatch_story : ::testing::Test {
  const process_key Self{host_name("accra-a-1"), incarnation(5)};
  const backend_key EngineA{backend_address("127.0.0.1:1"), incarnation(1)};
  const backend_key EngineB{backend_address("127.0.0.1:2"), incarnation(1)};

  mono_time Now{std::chrono::hours(1)};
  limits_declaration Limits;
  std::vector<work_item> Submitted;
  std::vector<request_number> Withdrawn;
  std::vector<attempt_ending> Ended;
  std::vector<attempt_id> GivenUp;
  std::optional<work_refusal> Refuse;
  bool HasGroups{true};
  bool CanResume{false};
  std::vector<dispatch_action> Seen; ///< Every action so far.
  dispatcher Dispatch = make();

  dispatcher make() {
    dispatch_seam Seam;
    Seam.Submit = [this](const work_item &Item, mono_time) -> result<done, work_refusal> {
      if (Refuse)
        return *Refuse;
      Submitted.push_back(Item);
      return done{};
    };
    Seam.Withdraw = [this](request_number Number) { Withdrawn.push_back(Number); };
    Seam.AttemptEnded = [this](const attempt_ending &End, mono_time) { Ended.push_back(End); };
    Seam.AttemptAbandoned = [this](const attempt_id &Id, auto, mono_time) {
      GivenUp.push_back(Id);
    };
    Seam.GroupsFor = [this](const request_facts &) {
      return HasGroups ? std::vector<candidate_group>{{group_name("all"), 1}}
                       : std::vector<candidate_group>{};
    };
    Seam.Resumes = [this](const backend_key &) { return CanResume; };
    auto Built = dispatcher_builder().process(Self).limits(Limits).seed(1).seam(Seam).build();
    valueOf(Built).setReady(true);
    return valueOf(std::move(Built));
  }

  request_facts facts(bool Idempotent, std::string Key = {}, std::uint64_t Number = 1) {
    request_facts Facts;
    Facts.Id = request_number(Number);
    Facts.Account = client_account_name("acme-1");
    Facts.Idempotent = Idempotent;
    Facts.IdempotencyKey = std::move(Key);
    Facts.Arrived = Now;
    Facts.Deadline = Now + std::chrono::seconds(60);
    return Facts;
  }

  void happen(const dispatch_event &Event) {
    Dispatch.handle(Event, Now);
    collect();
  }
  void arrive(const request_facts &Facts) { happen(request_arrived{Facts}); }
  void answerClaim(claim_verdict Verdict) { happen(claim_answered{request_number(1), Verdict}); }
  void place(const backend_key &Backend, std::uint64_t Number = 1) {
    Dispatch.place({request_number(Number), Backend, 0, {}}, Now);
    collect();
  }
  void pass(mono_duration Time) {
    Now += Time;
    Dispatch.advance(Now);
    collect();
  }
  void fail(attempt_failure Failure, std::uint32_t Ordinal = 1) {
    happen(attempt_failed{attempt(Ordinal), Failure});
  }
  /// The attempt's first byte goes out; with Answer the first token comes back too.
  void send(std::uint32_t Ordinal = 1) { happen(attempt_sending{attempt(Ordinal)}); }
  void answer(std::uint32_t Ordinal = 1) { happen(attempt_answering{attempt(Ordinal)}); }
  void complete(std::uint32_t Ordinal = 1) {
    happen(attempt_completed{attempt(Ordinal), {}, {}, {}});
  }

  [[nodiscard]] attempt_id attempt(std::uint32_t Ordinal) const {
    return {Self, request_number(1), Ordinal};
  }

  void collect() {
    for (auto &Action : Dispatch.takeActions())
      Seen.push_back(std::move(Action));
  }

  /// @return All actions of a kind so far.
  template <typename Action> std::vector<Action> all() const {
    std::vector<Action> Found;
    for (const dispatch_action &Any : Seen)
      if (const auto *Known = std::get_if<Action>(&Any))
        Found.push_back(*Known);
    return Found;
  }
  [[nodiscard]] std::size_t starts() const { return all<start_attempt>().size(); }
  [[nodiscard]] std::size_t cancels() const { return all<cancel_attempt>().size(); }

  /// Expects exactly one final answer so far, and which.
  void expectEnd(final_outcome Outcome, failure_reason Reason) {
    const auto Ends = all<finish_request>();
    ASSERT_EQ(Ends.size(), 1U);
    EXPECT_EQ(Ends[0].Outcome, Outcome);
    EXPECT_EQ(Ends[0].Reason, Reason);
    const bool WithTime = Outcome == final_outcome::NotRun &&
                          Reason != failure_reason::CallerLeft &&
                          Reason != failure_reason::TooLargeForFleet;
    EXPECT_TRUE(!WithTime || Ends[0].RetryAfter.has_value());
    EXPECT_EQ(Dispatch.liveRequests(), 0U);
  }
  /// Expects the claim to have been settled exactly so, in order.
  void expectSettled(const std::vector<claim_standing> &Expected) {
    std::vector<claim_standing> Standings;
    for (const settle_claim &Settle : all<settle_claim>())
      Standings.push_back(Settle.Standing);
    EXPECT_EQ(Standings, Expected);
  }
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_DISPATCH_DISPATCH_STORY_H

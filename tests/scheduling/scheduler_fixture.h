/** @file scheduler_fixture.h Test fixture with a scheduler and a small fleet. */
#ifndef POLLENSTALL_TESTS_SCHEDULING_SCHEDULER_FIXTURE_H
#define POLLENSTALL_TESTS_SCHEDULING_SCHEDULER_FIXTURE_H

#include "scheduling/scheduling.h"

#include <gtest/gtest.h>

#include <string>

namespace pollenstall {

using namespace std::chrono_literals;

class scheduler_fixture : public ::testing::Test {
protected:
  scheduler_fixture() : Scheduler(scheduler_builder().seed(7).host(host_name("a-1")).build()) {
    Declaration.Groups.push_back({group_name("all"), service_name("llm"), {}});
    Declaration.Groups.push_back({group_name("plain"), service_name("clips"), {}});
    Declaration.Accounts.push_back({client_account_name("club"), {}, 1, 64});
    Declaration.Accounts.push_back({client_account_name("academy"), {}, 1, 64});
    Scheduler.applyDeclaration(Declaration);
  }

  static backend_key engineKey(int EngineNumber) {
    return {backend_address("10.0.0." + std::to_string(EngineNumber) + ":80"), incarnation(1)};
  }

  static backend_view engine(int EngineNumber, std::int64_t MemoryTokens = 400'000) {
    backend_view View;
    View.Announcement.Key = engineKey(EngineNumber);
    View.Announcement.Service = service_name("llm");
    View.Announcement.Domain = failure_domain_name("d" + std::to_string(EngineNumber % 3));
    View.Announcement.Models = {model_name("m")};
    View.Announcement.Capabilities.Priorities = true;
    View.Announcement.Memory = memory_blocks(MemoryTokens / 16);
    return View;
  }

  void addEngines(int Count) {
    for (int EngineNumber = 1; EngineNumber <= Count; ++EngineNumber)
      Scheduler.updateBackend(engine(EngineNumber), Now);
  }

  work_item makeWork(std::int64_t Prompt, const std::string &Account = "club") {
    work_item Item;
    Item.Request = request_number(++LastRequest);
    Item.Account = client_account_name(Account);
    Item.Service = service_name("llm");
    Item.Model = model_name("m");
    Item.Groups = {{group_name("all"), 1}};
    Item.Prompt = tokens(Prompt);
    Item.AnswerLimit = tokens(200);
    Item.Arrived = Now;
    Item.Deadline = Now + 300s;
    return Item;
  }

  work_item plainCall() {
    work_item Item = makeWork(0);
    Item.Service = service_name("clips");
    Item.Model = model_name();
    Item.Groups = {{group_name("plain"), 1}};
    Item.AnswerLimit = tokens(0);
    return Item;
  }

  std::optional<failure_reason> submit(const work_item &Item) {
    const auto Result = Scheduler.submit(Item, Now);
    if (succeeded(Result))
      return std::nullopt;
    return errorOf(Result).Reason;
  }

  /// Submits and polls. @return The backend server of the item's placement, or an empty key if it
  /// waits.
  backend_key placeNow(const work_item &Item) {
    EXPECT_EQ(submit(Item), std::nullopt);
    for (const work_placement &Placement : Scheduler.poll(Now).Placements)
      if (Placement.Request == Item.Request)
        return Placement.Backend;
    return {};
  }

  attempt_id attemptOf(const work_item &Item, std::uint32_t Ordinal = 1) const {
    return {{host_name("a-1"), incarnation(1)}, Item.Request, Ordinal};
  }

  attempt_id start(const work_item &Item, const backend_key &Backend, std::uint32_t Ordinal = 1) {
    Scheduler.attemptStarted(attemptOf(Item, Ordinal), Item, Backend, Now);
    return attemptOf(Item, Ordinal);
  }

  void complete(const attempt_id &Attempt) {
    attempt_report End;
    End.Completed = true;
    Scheduler.attemptEnded(Attempt, End, Now);
  }

  void fail(const attempt_id &Attempt, attempt_failure Failure) {
    attempt_report End;
    End.Failure = Failure;
    Scheduler.attemptEnded(Attempt, End, Now);
  }

  fleet_declaration Declaration;
  scheduler Scheduler;
  mono_time Now{1000s};
  std::uint64_t LastRequest{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_SCHEDULING_SCHEDULER_FIXTURE_H

/** @file entry_desk_test.cpp What a leader tells entries, and what it must not. */
#include "entry_desk_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

class EntryDeskTest : public testing::Test {
protected:
  EntryDeskTest() : Desk(in_force_options{}, hooks()) {}

  entry_desk_hooks hooks() {
    entry_desk_hooks Hooks;
    Hooks.Send = [this](hub_order Order) { Sent.push_back(std::move(Order)); };
    Hooks.MayServe = [this](mono_time) { return HoldsLease; };
    Hooks.LeaderAddress = [] { return std::string("127.0.0.1:7"); };
    Hooks.State = [this]() -> const control_state & { return State; };
    Hooks.Propose = [this](const control_command &Command, const auto &Answered) {
      Answered(OutcomeKnown ? std::optional(State.execute(Command)) : std::nullopt);
    };
    return Hooks;
  }

  void handle(link_request Request) { Desk.handle({Connection, std::move(Request)}, Now); }
  void subscribe() { handle(link_subscribe{Process, failure_domain_name("a")}); }
  void renew(std::optional<std::uint64_t> Confirmed) {
    std::optional<revision> Number;
    if (Confirmed)
      Number = revision(*Confirmed);
    handle(link_renew{++Ask, Process, Number, State.drainsVersion()});
  }
  void accept() {
    const std::uint64_t Base = State.declared().Revision.value();
    State.execute(
        apply_change{change_id(std::to_string(Base)), revision(Base), "text", {}, {}, {}});
    Desk.declarationChanged(Now);
  }

  template <typename Reply> std::vector<Reply> take() {
    std::vector<Reply> Found;
    for (const hub_order &Order : Sent)
      if (const auto *One = std::get_if<Reply>(&Order.Reply))
        Found.push_back(*One);
    Sent.clear();
    return Found;
  }

  bool HoldsLease{true};
  bool OutcomeKnown{true};
  control_state State{control_limits{}};
  std::vector<hub_order> Sent;
  entry_desk Desk;
  mono_time Now{std::chrono::seconds(50)};
  connection_number Connection{1};
  process_key Process{host_name("entry-1"), incarnation(1)};
  std::uint64_t Ask{0};
};

TEST_F(EntryDeskTest, SendsEntriesAwayWhileItDoesNotLead) {
  subscribe();
  const auto Replies = take<link_not_leader>();
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].Leader, "127.0.0.1:7");
}

TEST_F(EntryDeskTest, LeasesToAnEntryThatConfirmed) {
  Desk.takeOffice(Now);
  subscribe();
  renew(std::nullopt);
  EXPECT_EQ(take<link_declaration>().size(), 1U);
  renew(0);
  const auto Leases = take<link_lease>();
  ASSERT_EQ(Leases.size(), 1U);
  EXPECT_GT(Leases[0].LeaseMillis, 0U);
}

TEST_F(EntryDeskTest, GivesNothingWithoutItsOwnLease) {
  // A control host is isolated and does not know it yet: its own lease has run out, it has not left
  // office. Were it to extend an entry's lease or hand out its declaration, that entry would go on
  // with what the next leader has replaced and reported as in force.
  Desk.takeOffice(Now);
  subscribe();
  renew(0);
  Sent.clear();
  HoldsLease = false;
  renew(0);
  accept();
  renew(0);
  handle(link_claim_acquire{1, {{1, 2}, {Process, request_number(1)}, unix_millis(9)}});
  EXPECT_TRUE(Sent.empty());
}

TEST_F(EntryDeskTest, SendsOneDeclarationAtATime) {
  Desk.takeOffice(Now);
  subscribe();
  renew(0);
  Sent.clear();
  for (int Times = 0; Times < 100; ++Times)
    accept();
  EXPECT_EQ(take<link_declaration>().size(), 1U);
  renew(1);
  const auto Newest = take<link_declaration>();
  ASSERT_EQ(Newest.size(), 1U);
  EXPECT_EQ(Newest[0].Revision, revision(100));
}

TEST_F(EntryDeskTest, AnswersNoClaimWhoseOutcomeIsNotKnown) {
  // The leader left office with the claim in its log. It may be granted later, so neither "granted"
  // nor "unavailable" would be true; the entry asks the next leader.
  Desk.takeOffice(Now);
  subscribe();
  OutcomeKnown = false;
  handle(link_claim_acquire{1, {{1, 2}, {Process, request_number(1)}, unix_millis(9)}});
  EXPECT_TRUE(take<link_claim_answer>().empty());
}

TEST_F(EntryDeskTest, SendsEveryEntryAwayWhenItLeavesOffice) {
  Desk.takeOffice(Now);
  subscribe();
  Desk.leaveOffice();
  EXPECT_EQ(take<link_not_leader>().size(), 1U);
}

} // namespace
} // namespace pollenstall

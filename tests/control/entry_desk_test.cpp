/** @file entry_desk_test.cpp What a leader tells entries, and what it must not. */
#include "control_link/control_link_codec_func.h"
#include "entry_desk_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

class EntryDeskTest : public testing::Test {
protected:
  explicit EntryDeskTest(const entry_desk_options &Options = {}) : Desk(Options, hooks()) {}

  entry_desk_hooks hooks() {
    entry_desk_hooks Hooks;
    Hooks.Send = [this](hub_order Order) { Sent.push_back(std::move(Order)); };
    Hooks.MayServe = [this](mono_time) { return HoldsLease; };
    Hooks.LeaderAddress = [this] { return Leader; };
    Hooks.State = [this]() -> const control_state & { return State; };
    Hooks.Propose = [this](const control_command &Command, const auto &Answered) {
      Answered(OutcomeKnown ? std::optional(State.execute(Command)) : std::nullopt);
    };
    return Hooks;
  }

  void handle(link_request Request) { Desk.handle({Connection, std::move(Request)}, Now); }
  void subscribe() { handle(link_subscribe{Process, failure_domain_name("a")}); }
  /// @param Holds Whose text the entry has; without it, none.
  void renew(std::optional<std::uint64_t> Confirmed, std::optional<std::uint64_t> Holds = {}) {
    const auto Number = [](std::optional<std::uint64_t> Value) {
      return Value ? std::optional(revision(*Value)) : std::nullopt;
    };
    handle(link_renew{++Ask, Process, Number(Confirmed), State.drainsVersion(), Number(Holds)});
  }
  void accept(const std::string &Text = "text") {
    const std::uint64_t Base = State.declared().Revision.value();
    State.execute(apply_change{change_id(std::to_string(Base)), revision(Base), Text, {}, {}, {}});
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

  std::string Leader{"127.0.0.1:7"}; ///< As this host knows it.
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

/// All processes ended and are back; entries came before there was a leader.
class EntriesWithoutALeaderTest : public EntryDeskTest {
protected:
  void SetUp() override {
    Leader.clear();
    subscribe();
    renew(std::nullopt);
    EXPECT_TRUE(Sent.empty()) << "there is nothing to tell yet";
  }
};

// Sent away, an entry would come back after its pause; every request waits for it meanwhile.
TEST_F(EntriesWithoutALeaderTest, AreToldTheLeaderTheMomentItIsKnown) {
  Desk.advance(Now += std::chrono::milliseconds(30));
  EXPECT_TRUE(Sent.empty());
  Leader = "127.0.0.1:7";
  Desk.advance(Now);
  const auto Replies = take<link_not_leader>();
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].Leader, "127.0.0.1:7");
  Desk.advance(Now);
  EXPECT_TRUE(Sent.empty()) << "once";
}

// This very host is elected: what the entry asked before is answered without being asked again.
TEST_F(EntriesWithoutALeaderTest, AreServedTheMomentThisHostIsElected) {
  Desk.takeOffice(Now += std::chrono::milliseconds(30));
  bool Declared = false;
  bool Leased = false;
  for (const hub_order &Order : Sent) {
    Declared = Declared || std::holds_alternative<link_declaration>(Order.Reply);
    Leased = Leased || std::holds_alternative<link_lease>(Order.Reply);
  }
  EXPECT_TRUE(Declared);
  EXPECT_TRUE(Leased);
}

// The host is cut off from the others, which have a leader by now. The entry must ask elsewhere.
TEST_F(EntriesWithoutALeaderTest, AreSentAwayWhereNoneIsFoundSoon) {
  Desk.advance(Now += std::chrono::milliseconds(200));
  EXPECT_EQ(take<link_not_leader>().size(), 1U);
}

TEST_F(EntriesWithoutALeaderTest, AreForgottenWhenTheyGo) {
  Desk.handle({Connection, connection_closed{}}, Now);
  Desk.takeOffice(Now);
  EXPECT_TRUE(Sent.empty());
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

/// A declaration of many lines; each revision changes one of them.
std::string longText(int Revision) {
  std::string Text;
  for (int Line = 0; Line < 200; ++Line)
    Text += "line " + std::to_string(Line == 100 ? 1'000 + Revision : Line) + "\n";
  return Text;
}

// The texts of a large change take turns; an entry whose turn has not come must know that there is
// a newer declaration, or it says of an added route that there is none.
TEST_F(EntryDeskTest, AnnouncesADeclarationToEveryEntryAtOnce) {
  Desk.takeOffice(Now);
  constexpr std::uint64_t Entries = 40;
  for (std::uint64_t Number = 1; Number <= Entries; ++Number) {
    const process_key Each{host_name("e" + std::to_string(Number)), incarnation(1)};
    Desk.handle({connection_number(Number), link_subscribe{Each, failure_domain_name("a")}}, Now);
    Desk.handle({connection_number(Number),
                 link_renew{1, Each, revision(0), State.drainsVersion(), revision(0)}},
                Now);
  }
  Sent.clear();
  random_source Random(3);
  std::string Text(200'000, ' ');
  for (char &Letter : Text)
    Letter = static_cast<char>(Random());
  accept(Text);
  std::size_t Texts = 0;
  std::size_t Announced = 0;
  for (const hub_order &Order : Sent) {
    Texts += std::holds_alternative<link_declaration>(Order.Reply) ? 1 : 0;
    Announced += std::holds_alternative<link_declared>(Order.Reply) ? 1 : 0;
  }
  EXPECT_EQ(Announced, Entries);
  EXPECT_LT(Texts, Entries) << "they take turns";
  EXPECT_GT(Texts, 0U);
}

TEST_F(EntryDeskTest, SendsTheDifferenceToAnEntryThatHoldsTheTextBefore) {
  Desk.takeOffice(Now);
  subscribe();
  accept(longText(1));
  renew(1, 1);
  Sent.clear();
  accept(longText(2));
  EXPECT_TRUE(take<link_declaration>().empty());
  renew(1, 1);
  accept(longText(3));
  renew(2, 2);
  const auto Changes = take<link_declaration_change>();
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].Base, revision(2));
  EXPECT_EQ(Changes[0].Revision, revision(3));
  EXPECT_EQ(applyPackedDifference(longText(2), Changes[0].Change), longText(3));
  EXPECT_LT(Changes[0].Change.Compressed.size(), longText(3).size() / 10);
}

TEST_F(EntryDeskTest, SendsTheWholeToAnEntryThatHoldsNothingItKnows) {
  // An entry was away for hundreds of changes, or was led by another control host meanwhile. A
  // difference to a text that this host has not kept, or that nobody declared, can't be made.
  Desk.takeOffice(Now);
  accept(longText(1));
  subscribe();
  renew(std::nullopt);
  EXPECT_EQ(take<link_declaration>().size(), 1U);
  handle(link_subscribe{Process, failure_domain_name("a"), {}, revision(77)});
  const auto Whole = take<link_declaration>();
  ASSERT_EQ(Whole.size(), 1U);
  EXPECT_EQ(unpack(Whole[0].Text, MaxLinkReplyBytes), longText(1));
}

// A large declaration changes by one line: the text before it was not kept, since the two together
// were over the bound, and 59 entries were sent 0.88 MB each for one changed number.
TEST_F(EntryDeskTest, SendsTheDifferenceOfALargeDeclaration) {
  const std::string Padding(MaxLinkReplyBytes / 2, 'x');
  Desk.takeOffice(Now);
  subscribe();
  accept(Padding + longText(1));
  renew(1, 1);
  Sent.clear();
  accept(Padding + longText(2));
  EXPECT_EQ(take<link_declaration_change>().size(), 1U);
}

// Leaders change. Every entry comes to the new one with the text that the last one declared; sent
// whole to all of them, the next change would fill the link of a host that has just been elected.
TEST_F(EntryDeskTest, SendsTheDifferenceToATextThatAnotherLeaderDeclared) {
  accept(longText(1));
  Desk.takeOffice(Now);
  handle(link_subscribe{Process, failure_domain_name("a"), {}, revision(1)});
  renew(1, 1);
  Sent.clear();
  accept(longText(2));
  EXPECT_EQ(take<link_declaration_change>().size(), 1U);
}

TEST_F(EntryDeskTest, SendsNothingAgainToAnEntryThatComesBackWithTheNewest) {
  Desk.takeOffice(Now);
  accept(longText(1));
  handle(link_subscribe{Process, failure_domain_name("a"), {}, revision(1)});
  renew(1, 1);
  for (const hub_order &Order : Sent) {
    EXPECT_FALSE(std::holds_alternative<link_declaration>(Order.Reply));
    EXPECT_FALSE(std::holds_alternative<link_declaration_change>(Order.Reply));
  }
}

// Leaders change, and every entry connects anew. A list of all to all for each one of them would be
// more bytes than their declarations.
TEST_F(EntryDeskTest, TellsEntriesThatConnectAtOnceOfEachOtherOnce) {
  Desk.takeOffice(Now);
  constexpr std::uint64_t Entries = 40;
  for (std::uint64_t Number = 1; Number <= Entries; ++Number) {
    const process_key Each{host_name("e" + std::to_string(Number)), incarnation(1)};
    const link_subscribe Subscribe{Each, failure_domain_name("a"), "127.0.0.1:9"};
    Desk.handle({connection_number(Number), Subscribe}, Now);
    Desk.advance(Now);
  }
  Desk.advance(Now += std::chrono::seconds(1));
  std::size_t Lists = 0;
  std::size_t Longest = 0;
  for (const link_fleet &Fleet : take<link_fleet>()) {
    ++Lists;
    Longest = std::max(Longest, Fleet.Entries.size());
  }
  EXPECT_EQ(Longest, Entries) << "everyone is told of all";
  EXPECT_LE(Lists, Entries + 1) << "once, but for the first one";
}

/// Texts go out one at a time.
class TextsInTurnTest : public EntryDeskTest {
protected:
  TextsInTurnTest() : EntryDeskTest({in_force_options{}, 1}) {}

  void SetUp() override {
    Desk.takeOffice(Now);
    for (std::uint64_t Number = 1; Number <= 3; ++Number)
      tell(Number, 0);
    Sent.clear();
    accept("text");
  }

  /// The entry renews, and has a connection of its own number.
  void tell(std::uint64_t Number, std::uint64_t Holds) {
    const process_key Each{host_name("e" + std::to_string(Number)), incarnation(1)};
    if (Holds == 0)
      Desk.handle({connection_number(Number), link_subscribe{Each, failure_domain_name("a")}}, Now);
    Desk.handle({connection_number(Number),
                 link_renew{++Ask, Each, revision(0), State.drainsVersion(), revision(Holds)}},
                Now);
  }

  /// @return Whom texts went to since the last look.
  std::vector<std::uint64_t> receivers() {
    std::vector<std::uint64_t> Numbers;
    for (const hub_order &Order : Sent)
      if (std::holds_alternative<link_declaration>(Order.Reply) ||
          std::holds_alternative<link_declaration_change>(Order.Reply))
        Numbers.push_back(Order.Connection.value());
    Sent.clear();
    return Numbers;
  }
};

TEST_F(TextsInTurnTest, SendTheNextWhenOneHasArrived) {
  const auto First = receivers();
  ASSERT_EQ(First.size(), 1U);
  Desk.advance(Now += std::chrono::milliseconds(20));
  EXPECT_TRUE(receivers().empty());
  tell(First[0], 1);
  const auto Second = receivers();
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_NE(Second[0], First[0]);
}

TEST_F(TextsInTurnTest, SendTheNextWhenAConnectionIsGone) {
  const auto First = receivers();
  ASSERT_EQ(First.size(), 1U);
  Desk.handle({connection_number(First[0]), connection_closed{}}, Now);
  Desk.advance(Now);
  EXPECT_EQ(receivers().size(), 1U);
}

// The first entry is frozen: its text stands in its connection, and nobody says that it arrived.
TEST_F(TextsInTurnTest, AreNotHeldUpByAnEntryThatTakesNothing) {
  ASSERT_EQ(receivers().size(), 1U);
  Desk.advance(Now += std::chrono::milliseconds(500));
  EXPECT_EQ(receivers().size(), 1U);
}

// Entries 2 and 3 are cut off, which nobody knows yet; 1 has just renewed.
TEST_F(TextsInTurnTest, GoFirstToWhoSpokeLast) {
  const auto First = receivers();
  ASSERT_EQ(First.size(), 1U);
  const std::uint64_t Speaks = First[0] == 1 ? 2 : 1;
  Now += std::chrono::milliseconds(100);
  tell(Speaks, 9); // holds what nobody here declared
  Desk.handle({connection_number(First[0]), connection_closed{}}, Now);
  Desk.advance(Now);
  EXPECT_EQ(receivers(), std::vector{Speaks});
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

// Guards against an entry that runs a request since it was blocked while the leader held no lease.
TEST_F(EntryDeskTest, TellsSuspectsAtTheNextRenewalWhereItCouldNotAtOnce) {
  Desk.takeOffice(Now);
  subscribe();
  take<link_suspects>();
  HoldsLease = false;
  for (std::uint64_t Incarnation = 1; Incarnation <= 3; ++Incarnation)
    State.execute(
        record_crash{{{1, 2, 3, 4}}, incarnation(Incarnation), unix_millis(Incarnation * 1'000)});
  Desk.suspectsChanged(Now);
  EXPECT_TRUE(take<link_suspects>().empty());
  HoldsLease = true;
  renew(std::nullopt);
  const auto Told = take<link_suspects>();
  ASSERT_EQ(Told.size(), 1U);
  EXPECT_EQ(Told[0].Suspects.size(), 1U);
  renew(std::nullopt);
  EXPECT_TRUE(take<link_suspects>().empty());
}

} // namespace
} // namespace pollenstall

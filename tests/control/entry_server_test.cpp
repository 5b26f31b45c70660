/** @file entry_server_test.cpp The leader's replies to entries. */
#include "control_link/control_link_codec_func.h"
#include "entry_server_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

class EntryServerTest : public testing::Test {
protected:
  explicit EntryServerTest(const entry_server_options &Options = {})
      : EntryServer(Options, hooks()) {}

  entry_server_callbacks hooks() {
    entry_server_callbacks Callbacks;
    Callbacks.Send = [this](outgoing_reply Outgoing) { Sent.push_back(std::move(Outgoing)); };
    Callbacks.MayServe = [this](mono_time) { return HoldsLease; };
    Callbacks.LeaderAddress = [this] { return Leader; };
    Callbacks.State = [this]() -> const control_state & { return State; };
    Callbacks.Propose = [this](const control_command &Command, const auto &Answered) {
      Answered(OutcomeKnown ? std::optional(State.execute(Command)) : std::nullopt);
    };
    return Callbacks;
  }

  void handle(link_request Request) { EntryServer.handle({Connection, std::move(Request)}, Now); }
  void subscribe() { handle(link_subscribe{Process, failure_domain_name("a")}); }
  /// @param HeldRevision Revision of the text that the entry has; empty if it has none.
  void renew(std::optional<std::uint64_t> Confirmed,
             std::optional<std::uint64_t> HeldRevision = {}) {
    const auto ToRevision = [](std::optional<std::uint64_t> Value) {
      return Value ? std::optional(revision(*Value)) : std::nullopt;
    };
    handle(link_renew{++RenewId, Process, ToRevision(Confirmed), State.drainsVersion(),
                      ToRevision(HeldRevision)});
  }
  void accept(const std::string &Text = "text") {
    const std::uint64_t Base = State.declared().Revision.value();
    State.execute(apply_change{change_id(std::to_string(Base)), revision(Base), Text, {}, {}, {}});
    EntryServer.declarationChanged(Now);
  }

  template <typename Reply> std::vector<Reply> take() {
    std::vector<Reply> Found;
    for (const outgoing_reply &Outgoing : Sent)
      if (const auto *Matching = std::get_if<Reply>(&Outgoing.Reply))
        Found.push_back(*Matching);
    Sent.clear();
    return Found;
  }

  std::string Leader{"127.0.0.1:7"}; ///< As known to this host.
  bool HoldsLease{true};
  bool OutcomeKnown{true};
  control_state State{control_limits{}};
  std::vector<outgoing_reply> Sent;
  entry_server EntryServer;
  mono_time Now{std::chrono::seconds(50)};
  connection_number Connection{1};
  process_key Process{host_name("entry-1"), incarnation(1)};
  std::uint64_t RenewId{0};
};

TEST_F(EntryServerTest, RedirectsEntriesWhileItDoesNotLead) {
  subscribe();
  const auto Replies = take<link_not_leader>();
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].Leader, "127.0.0.1:7");
}

/// All processes have restarted; entries connected before a leader was elected.
class EntriesBeforeAnElectionTest : public EntryServerTest {
protected:
  void SetUp() override {
    Leader.clear();
    subscribe();
    renew(std::nullopt);
    EXPECT_TRUE(Sent.empty()) << "there is no reply yet";
  }
};

// A redirected entry would reconnect only after its backoff; all its requests wait until then.
TEST_F(EntriesBeforeAnElectionTest, AreRedirectedOnceTheLeaderIsKnown) {
  EntryServer.advance(Now += std::chrono::milliseconds(30));
  EXPECT_TRUE(Sent.empty());
  Leader = "127.0.0.1:7";
  EntryServer.advance(Now);
  const auto Replies = take<link_not_leader>();
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].Leader, "127.0.0.1:7");
  EntryServer.advance(Now);
  EXPECT_TRUE(Sent.empty()) << "once";
}

// This host is elected: the entry's earlier requests are answered without a resend.
TEST_F(EntriesBeforeAnElectionTest, AreServedOnceThisHostIsElected) {
  EntryServer.startLeading(Now += std::chrono::milliseconds(30));
  bool Declared = false;
  bool Leased = false;
  for (const outgoing_reply &Outgoing : Sent) {
    Declared = Declared || std::holds_alternative<link_declaration>(Outgoing.Reply);
    Leased = Leased || std::holds_alternative<link_lease>(Outgoing.Reply);
  }
  EXPECT_TRUE(Declared);
  EXPECT_TRUE(Leased);
}

// This host is partitioned from the others, which may have a leader. The entry must try another
// host.
TEST_F(EntriesBeforeAnElectionTest, AreRedirectedIfNoLeaderIsFoundInTime) {
  EntryServer.advance(Now += std::chrono::milliseconds(200));
  EXPECT_EQ(take<link_not_leader>().size(), 1U);
}

TEST_F(EntriesBeforeAnElectionTest, AreRemovedWhenTheyDisconnect) {
  EntryServer.handle({Connection, connection_closed{}}, Now);
  EntryServer.startLeading(Now);
  EXPECT_TRUE(Sent.empty());
}

TEST_F(EntryServerTest, ExtendsTheLeaseOfAnEntryThatConfirmed) {
  EntryServer.startLeading(Now);
  subscribe();
  renew(std::nullopt);
  EXPECT_EQ(take<link_declaration>().size(), 1U);
  renew(0);
  const auto Leases = take<link_lease>();
  ASSERT_EQ(Leases.size(), 1U);
  EXPECT_GT(Leases[0].LeaseMillis, 0U);
}

TEST_F(EntryServerTest, SendsNothingWithoutItsOwnLease) {
  // An isolated control host's own lease has expired, but it has not stepped down yet. If it
  // extended an entry's lease or sent a declaration, that entry would keep using what the next
  // leader has replaced and reported as in force.
  EntryServer.startLeading(Now);
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

TEST_F(EntryServerTest, SendsOneDeclarationAtATime) {
  EntryServer.startLeading(Now);
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

// The texts of a large change are sent one after another. An entry that still waits must know that
// a newer declaration exists; otherwise it reports that an added route does not exist.
TEST_F(EntryServerTest, AnnouncesADeclarationToEveryEntryAtOnce) {
  EntryServer.startLeading(Now);
  constexpr std::uint64_t Entries = 40;
  for (std::uint64_t Number = 1; Number <= Entries; ++Number) {
    const process_key Each{host_name("e" + std::to_string(Number)), incarnation(1)};
    EntryServer.handle({connection_number(Number), link_subscribe{Each, failure_domain_name("a")}},
                       Now);
    EntryServer.handle({connection_number(Number),
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
  for (const outgoing_reply &Outgoing : Sent) {
    Texts += std::holds_alternative<link_declaration>(Outgoing.Reply) ? 1 : 0;
    Announced += std::holds_alternative<link_declaration_announced>(Outgoing.Reply) ? 1 : 0;
  }
  EXPECT_EQ(Announced, Entries);
  EXPECT_LT(Texts, Entries) << "texts are sent one after another";
  EXPECT_GT(Texts, 0U);
}

TEST_F(EntryServerTest, SendsADifferenceToAnEntryWithThePreviousText) {
  EntryServer.startLeading(Now);
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

TEST_F(EntryServerTest, SendsTheCompleteTextToAnEntryWithAnUnknownRevision) {
  // An entry was down for hundreds of changes, or was connected to another leader. This host cannot
  // compute a difference to a text that it has not retained or never had.
  EntryServer.startLeading(Now);
  accept(longText(1));
  subscribe();
  renew(std::nullopt);
  EXPECT_EQ(take<link_declaration>().size(), 1U);
  handle(link_subscribe{Process, failure_domain_name("a"), {}, revision(77)});
  const auto Declarations = take<link_declaration>();
  ASSERT_EQ(Declarations.size(), 1U);
  EXPECT_EQ(unpack(Declarations[0].Text, MaxLinkReplyBytes), longText(1));
}

// Guards against a limit on retained texts that is too small for two large ones: 59 entries were
// sent 0.88 MB each for one changed number, since the previous text was not retained.
TEST_F(EntryServerTest, SendsADifferenceOfALargeDeclaration) {
  const std::string Padding(MaxLinkReplyBytes / 2, 'x');
  EntryServer.startLeading(Now);
  subscribe();
  accept(Padding + longText(1));
  renew(1, 1);
  Sent.clear();
  accept(Padding + longText(2));
  EXPECT_EQ(take<link_declaration_change>().size(), 1U);
}

// After a change of leader, every entry has the text from the previous leader. If the next change
// were sent as a complete text to all, it would fill the link of the newly elected host.
TEST_F(EntryServerTest, SendsADifferenceToATextFromThePreviousLeader) {
  accept(longText(1));
  EntryServer.startLeading(Now);
  handle(link_subscribe{Process, failure_domain_name("a"), {}, revision(1)});
  renew(1, 1);
  Sent.clear();
  accept(longText(2));
  EXPECT_EQ(take<link_declaration_change>().size(), 1U);
}

TEST_F(EntryServerTest, SendsNoTextToAnEntryThatReconnectsWithTheNewest) {
  EntryServer.startLeading(Now);
  accept(longText(1));
  handle(link_subscribe{Process, failure_domain_name("a"), {}, revision(1)});
  renew(1, 1);
  for (const outgoing_reply &Outgoing : Sent) {
    EXPECT_FALSE(std::holds_alternative<link_declaration>(Outgoing.Reply));
    EXPECT_FALSE(std::holds_alternative<link_declaration_change>(Outgoing.Reply));
  }
}

// After a change of leader, every entry reconnects. If the fleet list were sent to all for each of
// them, it would take more bytes than their declarations.
TEST_F(EntryServerTest, SendsOneFleetListToEntriesThatConnectTogether) {
  EntryServer.startLeading(Now);
  constexpr std::uint64_t Entries = 40;
  for (std::uint64_t Number = 1; Number <= Entries; ++Number) {
    const process_key Each{host_name("e" + std::to_string(Number)), incarnation(1)};
    const link_subscribe Subscribe{Each, failure_domain_name("a"), "127.0.0.1:9"};
    EntryServer.handle({connection_number(Number), Subscribe}, Now);
    EntryServer.advance(Now);
  }
  EntryServer.advance(Now += std::chrono::seconds(1));
  std::size_t Lists = 0;
  std::size_t Longest = 0;
  for (const link_fleet &Fleet : take<link_fleet>()) {
    ++Lists;
    Longest = std::max(Longest, Fleet.Entries.size());
  }
  EXPECT_EQ(Longest, Entries) << "every entry receives the complete list";
  EXPECT_LE(Lists, Entries + 1) << "only the first entry receives it twice";
}

/// Only one text is in flight at a time.
class LimitedTextsTest : public EntryServerTest {
protected:
  LimitedTextsTest() : EntryServerTest({in_force_options{}, 1}) {}

  void SetUp() override {
    EntryServer.startLeading(Now);
    for (std::uint64_t Number = 1; Number <= 3; ++Number)
      renewEntry(Number, 0);
    Sent.clear();
    accept("text");
  }

  /// Renews for an entry whose connection has this number; subscribes first if HeldRevision is 0.
  void renewEntry(std::uint64_t Number, std::uint64_t HeldRevision) {
    const process_key Each{host_name("e" + std::to_string(Number)), incarnation(1)};
    if (HeldRevision == 0)
      EntryServer.handle(
          {connection_number(Number), link_subscribe{Each, failure_domain_name("a")}}, Now);
    EntryServer.handle(
        {connection_number(Number),
         link_renew{++RenewId, Each, revision(0), State.drainsVersion(), revision(HeldRevision)}},
        Now);
  }

  /// @return The connections that texts were sent to since the last call.
  std::vector<std::uint64_t> receivers() {
    std::vector<std::uint64_t> Numbers;
    for (const outgoing_reply &Outgoing : Sent)
      if (std::holds_alternative<link_declaration>(Outgoing.Reply) ||
          std::holds_alternative<link_declaration_change>(Outgoing.Reply))
        Numbers.push_back(Outgoing.Connection.value());
    Sent.clear();
    return Numbers;
  }
};

TEST_F(LimitedTextsTest, AreSentWhenThePreviousHasArrived) {
  const auto First = receivers();
  ASSERT_EQ(First.size(), 1U);
  EntryServer.advance(Now += std::chrono::milliseconds(20));
  EXPECT_TRUE(receivers().empty());
  renewEntry(First[0], 1);
  const auto Second = receivers();
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_NE(Second[0], First[0]);
}

TEST_F(LimitedTextsTest, AreSentWhenAConnectionIsClosed) {
  const auto First = receivers();
  ASSERT_EQ(First.size(), 1U);
  EntryServer.handle({connection_number(First[0]), connection_closed{}}, Now);
  EntryServer.advance(Now);
  EXPECT_EQ(receivers().size(), 1U);
}

// The first entry is frozen: its text stays in the connection's buffers and is never acknowledged.
TEST_F(LimitedTextsTest, AreNotBlockedByAFrozenEntry) {
  ASSERT_EQ(receivers().size(), 1U);
  EntryServer.advance(Now += std::chrono::milliseconds(500));
  EXPECT_EQ(receivers().size(), 1U);
}

// Two entries are partitioned, which is not detected yet; the third has just renewed.
TEST_F(LimitedTextsTest, AreSentFirstToTheEntrySeenLast) {
  const auto First = receivers();
  ASSERT_EQ(First.size(), 1U);
  const std::uint64_t LastSeen = First[0] == 1 ? 2 : 1;
  Now += std::chrono::milliseconds(100);
  renewEntry(LastSeen, 9); // holds a revision that this host never had
  EntryServer.handle({connection_number(First[0]), connection_closed{}}, Now);
  EntryServer.advance(Now);
  EXPECT_EQ(receivers(), std::vector{LastSeen});
}

TEST_F(EntryServerTest, DoesNotAnswerAClaimWithAnUnknownOutcome) {
  // The leader stepped down with the claim in its log. The claim may be granted later, so neither
  // "granted" nor "unavailable" would be correct; the entry resends it to the next leader.
  EntryServer.startLeading(Now);
  subscribe();
  OutcomeKnown = false;
  handle(link_claim_acquire{1, {{1, 2}, {Process, request_number(1)}, unix_millis(9)}});
  EXPECT_TRUE(take<link_claim_answer>().empty());
}

TEST_F(EntryServerTest, RedirectsEveryEntryWhenItStopsLeading) {
  EntryServer.startLeading(Now);
  subscribe();
  EntryServer.stopLeading();
  EXPECT_EQ(take<link_not_leader>().size(), 1U);
}

// Guards against a block that an entry misses since the leader held no lease at that time.
TEST_F(EntryServerTest, SendsSuspectsAtTheNextRenewalAfterALostLease) {
  EntryServer.startLeading(Now);
  subscribe();
  take<link_suspects>();
  HoldsLease = false;
  for (std::uint64_t Incarnation = 1; Incarnation <= 3; ++Incarnation)
    State.execute(
        record_crash{{{1, 2, 3, 4}}, incarnation(Incarnation), unix_millis(Incarnation * 1'000)});
  EntryServer.suspectsChanged(Now);
  EXPECT_TRUE(take<link_suspects>().empty());
  HoldsLease = true;
  renew(std::nullopt);
  const auto Published = take<link_suspects>();
  ASSERT_EQ(Published.size(), 1U);
  EXPECT_EQ(Published[0].Suspects.size(), 1U);
  renew(std::nullopt);
  EXPECT_TRUE(take<link_suspects>().empty());
}

} // namespace
} // namespace pollenstall

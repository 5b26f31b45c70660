/** @file permit_issuer_test.cpp Rate, order and end of the permits of an issuer. */
#include "rate_limit/permit_issuer_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PermitIssuerTest : testing::Test {
  static constexpr std::uint64_t IssuerId = 9;
  const incarnation Server{7};
  permit_issuer Issuer{IssuerId, {}};
  mono_time Now{seconds(100)};

  void report(std::optional<double> Limit, const permit_stamp &Permit = {}) {
    limit_report Report{Server, std::nullopt, Permit};
    if (Limit)
      Report.Limit = requests_per_second(*Limit);
    Issuer.handle(Report, "a", Now);
  }
  /// @return The replies to one entry that contain a permit.
  std::vector<permit_stamp> permitsFor(const std::string &To) {
    std::vector<permit_stamp> Permits;
    for (const permit_issuer::reply &Reply : Issuer.takeReplies())
      if (Reply.To == To && Reply.Reply.Permit.isSet())
        Permits.push_back(Reply.Reply.Permit);
    return Permits;
  }
  /// @return The limit that all entries were told last; nothing if they were told nothing.
  std::optional<std::optional<requests_per_second>> notice() {
    std::optional<std::optional<requests_per_second>> Last;
    for (const permit_issuer::reply &Reply : Issuer.takeReplies())
      if (Reply.To.empty())
        Last = Reply.Reply.Limit;
    return Last;
  }
  void ask(const std::string &From, milliseconds Wait = milliseconds(0)) {
    Issuer.handle(permit_request{Server, requests_per_second(2), true, Wait}, From, Now);
  }
  void wait(mono_duration Duration) {
    const mono_time End = Now + Duration;
    while (Now < End) {
      Now = std::min(End, Now + milliseconds(100));
      Issuer.advance(Now);
    }
  }
};

struct after_the_issue_delay : PermitIssuerTest {
  void SetUp() override {
    Issuer.advance(Now);
    report(2);
    wait(seconds(2) + milliseconds(500));
    Issuer.takeReplies();
  }
};

// Requests that were sent before the limit was known count in the server's window too.
TEST_F(PermitIssuerTest, FirstPermitOfALimitWaits) {
  Issuer.advance(Now);
  report(2);
  wait(milliseconds(1'900));
  Issuer.takeReplies();
  ask("b");
  EXPECT_TRUE(permitsFor("b").empty());
  wait(milliseconds(600));
  ask("b");
  EXPECT_EQ(permitsFor("b").size(), 1U);
}

TEST_F(after_the_issue_delay, PermitsThatNobodyAskedForAreNotSavedUp) {
  wait(seconds(60));
  for (int Request = 0; Request < 5; ++Request)
    ask("b");
  EXPECT_EQ(permitsFor("b").size(), 2U);
}

TEST_F(after_the_issue_delay, WaitingRequestsGetPermitsInTheirOrder) {
  ask("b");
  EXPECT_EQ(permitsFor("b").size(), 1U);
  ask("c", milliseconds(500));
  ask("d", milliseconds(1'000));
  wait(milliseconds(500));
  EXPECT_EQ(permitsFor("c").size(), 1U);
  wait(milliseconds(500));
  EXPECT_EQ(permitsFor("d").size(), 1U);
}

// Guards against a resumed issuer that issues permits beside the one that replaced it.
TEST_F(after_the_issue_delay, SuspendedIssuerWaitsAgain) {
  Now += seconds(3);
  ask("b");
  EXPECT_TRUE(permitsFor("b").empty());
  wait(seconds(1));
  ask("b");
  EXPECT_TRUE(permitsFor("b").empty());
}

// Guards against an answer without a limit that was made before the last one with a limit.
TEST_F(after_the_issue_delay, LimitEndsByAnAnswerToALaterRequestOnly) {
  ask("b");
  const permit_stamp Earlier = permitsFor("b").at(0);
  report(2); // The answer to another request states it again.
  Issuer.takeReplies();
  report(std::nullopt, Earlier);
  EXPECT_FALSE(notice());
  wait(milliseconds(600));
  ask("b");
  const permit_stamp Later = permitsFor("b").at(0);
  report(std::nullopt, {IssuerId + 1, Later.Number});
  EXPECT_FALSE(notice()) << "another issuer's permit";
  report(std::nullopt, Later);
  const auto Told = notice();
  ASSERT_TRUE(Told);
  EXPECT_FALSE(*Told);
}

// Guards against datagrams to all entries with each answer of a server whose limit moves.
TEST_F(after_the_issue_delay, AllEntriesAreToldOfStartAndEndOnly) {
  report(2.5);
  EXPECT_FALSE(notice());
  wait(seconds(1));
  EXPECT_FALSE(notice());
}

TEST_F(after_the_issue_delay, ServerThatAcceptsNothingIsStillTried) {
  report(0);
  wait(seconds(30));
  Issuer.takeReplies();
  int Permits = 0;
  for (int Step = 0; Step < 40; ++Step) {
    ask("b");
    Permits += static_cast<int>(permitsFor("b").size());
    wait(milliseconds(200));
  }
  EXPECT_GE(Permits, 2);
  EXPECT_LE(Permits, 4);
}

TEST_F(after_the_issue_delay, LaggardLearnsThatTheLimitHasEnded) {
  ask("b");
  report(std::nullopt, permitsFor("b").at(0));
  Issuer.takeReplies();
  ask("c");
  const auto Replies = Issuer.takeReplies();
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_FALSE(Replies[0].Reply.Limit);
  EXPECT_FALSE(Replies[0].Reply.Permit.isSet());
}

} // namespace
} // namespace pollenstall

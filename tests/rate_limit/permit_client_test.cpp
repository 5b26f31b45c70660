/** @file permit_client_test.cpp Known limits and held permits of one entry. */
#include "rate_limit/rate_limit.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PermitClientTest : testing::Test {
  permit_client Client;
  mono_time Now{seconds(100)};
  const backend_key Server{backend_address("10.0.0.1:1"), incarnation(7)};
  const permit_stamp Permit{3, 1};

  rate_limit_change record(const rate_limit_statement &Stated, const permit_stamp &Under = {}) {
    return Client.record({Server, {}, Stated, Under}, Now);
  }
  rate_limit_change reply(std::optional<double> Limit, const permit_stamp &Issued = {},
                          milliseconds RetryAfter = milliseconds(0)) {
    permit_reply Reply{Server.Incarnation, std::nullopt, Issued, RetryAfter, false};
    if (Limit)
      Reply.Limit = requests_per_second(*Limit);
    return Client.receive(Reply, Now);
  }
  bool limited() const { return Client.limitOf(Server.Incarnation).has_value(); }
  bool permitted() const { return Client.hasPermit(Server.Incarnation, Now); }
};

struct with_a_known_limit : PermitClientTest {
  void SetUp() override {
    ASSERT_EQ(record(requests_per_second(2)), rate_limit_change::Started);
    ASSERT_EQ(reply(2), rate_limit_change::None);
    Client.takeMessages(Now);
  }
};

TEST_F(PermitClientTest, LimitStartsAndChangesWithTheAnswers) {
  EXPECT_EQ(record(no_rate_limit{}), rate_limit_change::None);
  EXPECT_FALSE(limited());
  EXPECT_EQ(record(requests_per_second(2.4)), rate_limit_change::Started);
  EXPECT_EQ(record(requests_per_second(2.4)), rate_limit_change::None);
  EXPECT_EQ(record(requests_per_second(0)), rate_limit_change::Changed);
  EXPECT_EQ(Client.limitOf(Server.Incarnation), requests_per_second(0));
}

TEST_F(PermitClientTest, UnreadableStatementChangesNothing) {
  EXPECT_EQ(record(unreadable_rate_limit{}), rate_limit_change::Unreadable);
  EXPECT_FALSE(limited());
  EXPECT_EQ(record(requests_per_second(2)), rate_limit_change::Started);
  EXPECT_EQ(record(unreadable_rate_limit{}), rate_limit_change::Unreadable);
  EXPECT_EQ(Client.limitOf(Server.Incarnation), requests_per_second(2));
}

TEST_F(PermitClientTest, AnotherIncarnationAtTheAddressHasNoLimit) {
  record(requests_per_second(2));
  EXPECT_FALSE(Client.limitOf(incarnation(8)));
  Client.remove(Server.Incarnation);
  EXPECT_FALSE(limited());
}

// Guards against a limit that differs from the issuer's by rounding, and so changes with each
// answer.
TEST_F(PermitClientTest, LimitIsKeptAsTheIssuerReceivesIt) {
  record(requests_per_second(7.0 / 3));
  EXPECT_EQ(reply(2.333), rate_limit_change::None);
  EXPECT_EQ(record(requests_per_second(7.0 / 3)), rate_limit_change::None);
}

// Guards against a report that is lost: the issuer would not know of the limit.
TEST_F(PermitClientTest, ReportOfALimitIsRepeatedUntilTheIssuerReplies) {
  record(requests_per_second(2));
  EXPECT_EQ(Client.takeMessages(Now).size(), 1U);
  EXPECT_TRUE(Client.takeMessages(Now).empty());
  Now += milliseconds(200);
  EXPECT_EQ(Client.takeMessages(Now).size(), 1U);
  reply(2);
  Now += milliseconds(200);
  EXPECT_TRUE(Client.takeMessages(Now).empty());
}

// Guards against a notice of an earlier end that arrives after an answer has stated a limit again.
TEST_F(PermitClientTest, LimitThatTheIssuerDoesNotKnowYetDoesNotEnd) {
  record(requests_per_second(2));
  EXPECT_EQ(reply(std::nullopt), rate_limit_change::None);
  EXPECT_TRUE(limited());
  reply(2);
  EXPECT_EQ(reply(std::nullopt), rate_limit_change::Ended);
  EXPECT_FALSE(limited());
}

// An answer without a limit, made before the server stated one, may arrive after one that states
// it.
TEST_F(with_a_known_limit, AnswerToARequestWithoutPermitDoesNotEndTheLimit) {
  EXPECT_EQ(record(no_rate_limit{}), rate_limit_change::None);
  EXPECT_TRUE(limited());
  EXPECT_TRUE(Client.takeMessages(Now).empty());
  record(no_rate_limit{}, Permit);
  EXPECT_TRUE(limited()) << "the issuer alone decides";
  EXPECT_EQ(Client.takeMessages(Now).size(), 1U);
}

TEST_F(with_a_known_limit, PermitIsUsedOnce) {
  EXPECT_FALSE(permitted());
  Client.askPatiently(Server.Incarnation, Now);
  EXPECT_EQ(Client.takeMessages(Now).size(), 1U);
  reply(2, Permit);
  EXPECT_TRUE(permitted());
  EXPECT_EQ(Client.take(Server.Incarnation, Now), Permit);
  EXPECT_FALSE(permitted());
  EXPECT_FALSE(Client.take(Server.Incarnation, Now).isSet());
}

// Guards against an entry that was suspended and then sends with permits of long ago.
TEST_F(with_a_known_limit, OldPermitsAreNotUsed) {
  Client.askPatiently(Server.Incarnation, Now);
  reply(2, Permit);
  Now += milliseconds(260);
  EXPECT_FALSE(permitted());
  EXPECT_FALSE(Client.take(Server.Incarnation, Now).isSet());
  Client.askPatiently(Server.Incarnation, Now);
  Now += seconds(2);
  reply(2, Permit);
  EXPECT_FALSE(permitted()) << "the reply was late by more than its lifetime";
}

TEST_F(with_a_known_limit, DeniedEntryAsksAgainAfterTheTimeThatItWasTold) {
  Client.askPatiently(Server.Incarnation, Now);
  reply(2, {}, milliseconds(700));
  EXPECT_FALSE(Client.mayAsk(Server.Incarnation, Now + milliseconds(699)));
  EXPECT_EQ(Client.deniedUntil(Server.Incarnation, Now), Now + milliseconds(700));
  EXPECT_TRUE(Client.mayAsk(Server.Incarnation, Now + milliseconds(700)));
  EXPECT_FALSE(Client.deniedUntil(Server.Incarnation, Now + milliseconds(700)));
}

} // namespace
} // namespace pollenstall

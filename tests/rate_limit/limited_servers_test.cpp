/** @file limited_servers_test.cpp Start, change and end of the limits that answers state. */
#include "rate_limit/rate_limit.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

struct LimitedServersTest : testing::Test {
  limited_servers Servers;
  const backend_key Server{backend_address("10.0.0.1:1"), incarnation(7)};

  static mono_time at(int Ms) { return mono_time(std::chrono::seconds(100) + milliseconds(Ms)); }
  rate_limit_change record(const rate_limit_statement &Stated, int SentMs, int NowMs) {
    return Servers.record({Server, {}, Stated, at(SentMs)}, at(NowMs));
  }
};

TEST_F(LimitedServersTest, LimitStartsChangesAndEndsWithTheAnswers) {
  EXPECT_EQ(record(no_rate_limit{}, 0, 10), rate_limit_change::None);
  EXPECT_EQ(record(requests_per_second(2.4), 5, 20), rate_limit_change::Started);
  EXPECT_EQ(record(requests_per_second(2.4), 25, 30), rate_limit_change::None);
  EXPECT_EQ(record(requests_per_second(0), 35, 40), rate_limit_change::Changed);
  EXPECT_TRUE(Servers.isLimited(Server));
  EXPECT_EQ(record(no_rate_limit{}, 45, 50), rate_limit_change::Ended);
  EXPECT_FALSE(Servers.isLimited(Server));
}

// An answer without a limit, made before the server stated one, overtakes nothing: it must not end
// the limit.
TEST_F(LimitedServersTest, AnswerToAnEarlierRequestDoesNotEndTheLimit) {
  EXPECT_EQ(record(requests_per_second(2), 0, 20), rate_limit_change::Started);
  EXPECT_EQ(record(no_rate_limit{}, 10, 30), rate_limit_change::None);
  EXPECT_TRUE(Servers.isLimited(Server));
}

TEST_F(LimitedServersTest, UnreadableStatementChangesNothing) {
  EXPECT_EQ(record(unreadable_rate_limit{}, 0, 10), rate_limit_change::Unreadable);
  EXPECT_FALSE(Servers.isLimited(Server));
  EXPECT_EQ(record(requests_per_second(2), 20, 30), rate_limit_change::Started);
  EXPECT_EQ(record(unreadable_rate_limit{}, 40, 50), rate_limit_change::Unreadable);
  EXPECT_TRUE(Servers.isLimited(Server));
}

TEST_F(LimitedServersTest, AnotherIncarnationAtTheAddressHasNoLimit) {
  EXPECT_EQ(record(requests_per_second(2), 0, 10), rate_limit_change::Started);
  EXPECT_FALSE(Servers.isLimited({Server.Address, incarnation(8)}));
  Servers.remove(Server);
  EXPECT_FALSE(Servers.isLimited(Server));
}

} // namespace
} // namespace pollenstall

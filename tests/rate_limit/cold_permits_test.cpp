/** @file cold_permits_test.cpp Rate, age and order of the permits of a cold server. */
#include "rate_limit/cold_rate_func.h"
#include "rate_limit/permit_client_base.h"
#include "rate_limit/permit_issuer_base.h"

#include <gtest/gtest.h>

#include <cmath>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

permit_tuning tuning(double Overshoot, double Tolerance) {
  permit_tuning Tuning;
  Tuning.ColdOvershoot = Overshoot;
  Tuning.ColdTolerance = Tolerance;
  return Tuning;
}

// Guards against a rate and saved permits that together exceed the bound in some second.
TEST(ColdRateTest, KeepsTheBoundAndUsesTheRate) {
  for (const double Overshoot : {0.0, 0.5, 1.0, 1.5, 3.0})
    for (const double Tolerance : {0.0, 1.0, 5.0})
      for (const double PerSecond : {1e-9, 0.4, 1.0, 2.5, 17.0, 400.0, 900.0, 1e6}) {
        const cold_rate Rate =
            coldRate(requests_per_second(PerSecond), tuning(Overshoot, Tolerance));
        const double Interval = std::chrono::duration<double>(Rate.Interval).count();
        const double Bound = std::max(1.0, std::floor(PerSecond * Overshoot + Tolerance));
        const double Most = Rate.PerInterval > 0
                                ? static_cast<double>(Rate.PerInterval)
                                : Rate.Saved + std::floor(Rate.PerSecond * Interval);
        EXPECT_LE(Most, Bound) << PerSecond << " " << Overshoot << " " << Tolerance;
        EXPECT_GE(Rate.Saved, 1);
        EXPECT_GT(Rate.PerSecond, 0);
        const double Used = Rate.PerInterval > 0 ? static_cast<double>(Rate.PerInterval) / Interval
                                                 : Rate.PerSecond;
        const bool IsWhole = std::floor(PerSecond) == PerSecond;
        EXPECT_GE(std::min(Used, Rate.PerSecond), Overshoot >= 1 && IsWhole ? 0.9 * PerSecond : 0);
      }
}

struct ColdIssuerTest : testing::Test {
  const incarnation Server{7};
  permit_issuer Issuer{9, tuning(1.5, 5)};
  mono_time Now{seconds(100)};

  void ask(const std::string &From, std::optional<milliseconds> WarmAgo = std::nullopt,
           mono_time AssignedSince = mono_time::min(),
           std::optional<requests_per_second> Limit = std::nullopt) {
    permit_request Request{Server, Limit, true, milliseconds(0)};
    Request.Cold = cold_statement{requests_per_second(17), WarmAgo, 5};
    Issuer.handle(Request, From, Now, AssignedSince);
  }
  std::size_t issued() {
    std::size_t Count = 0;
    for (const permit_issuer::reply &Reply : Issuer.takeReplies())
      Count += Reply.Reply.Permit.isSet() ? 1 : 0;
    return Count;
  }
  /// @return Permits in the given time if an entry asks each 10 ms.
  std::size_t issuedWithin(mono_duration Time, std::optional<requests_per_second> Limit = {}) {
    for (const mono_time End = Now + Time; Now < End; Now += milliseconds(10)) {
      Issuer.advance(Now);
      ask("a", std::nullopt, mono_time::min(), Limit);
    }
    return issued();
  }
};

TEST_F(ColdIssuerTest, FirstPermitOfANeverWarmServerComesAtOnce) {
  ask("a");
  EXPECT_EQ(issued(), 1U);
}

TEST_F(ColdIssuerTest, ServerThatTurnsColdWaitsASecondFromTheLastUnboundedRequest) {
  ask("a", milliseconds(300));
  EXPECT_EQ(issued(), 0U);
  EXPECT_EQ(issuedWithin(milliseconds(700)), 0U);
  EXPECT_GE(issuedWithin(milliseconds(100)), 1U);
}

// Guards against an entry that learns last, and may have sent requests until then.
TEST_F(ColdIssuerTest, LastEntryToLearnCounts) {
  ask("a", milliseconds(900));
  Now += milliseconds(50);
  ask("b", milliseconds(0));
  EXPECT_EQ(issuedWithin(milliseconds(990)), 0U);
  EXPECT_GE(issuedWithin(milliseconds(100)), 1U);
}

TEST_F(ColdIssuerTest, IssuerThatTakesOverWaits) {
  ask("a", std::nullopt, Now - milliseconds(500));
  EXPECT_EQ(issuedWithin(milliseconds(2'900)), 0U);
  EXPECT_GE(issuedWithin(milliseconds(200)), 1U);
}

TEST_F(ColdIssuerTest, LowerOfTheStatedLimitAndTheColdRateCounts) {
  ask("a");
  const std::size_t Cold = issuedWithin(seconds(10));
  EXPECT_NEAR(static_cast<double>(Cold), 170, 8);
  Issuer.handle(limit_report{Server, requests_per_second(2), {}}, "a", Now);
  issuedWithin(seconds(3), requests_per_second(2));
  EXPECT_NEAR(static_cast<double>(issuedWithin(seconds(10), requests_per_second(2))), 20, 2);
  Issuer.handle(limit_report{Server, requests_per_second(40), {}}, "a", Now);
  EXPECT_NEAR(static_cast<double>(issuedWithin(seconds(10), requests_per_second(40))), 170, 8);
}

struct ColdClientTest : testing::Test {
  const incarnation Server{7};
  permit_client Client;
  mono_time Now{seconds(100)};

  void SetUp() override {
    Client.setCold(Server, requests_per_second(17), Now + seconds(8), std::nullopt);
  }
  permit_request ask() {
    Client.askPatiently(Server, Now);
    const auto Messages = Client.takeMessages(Now);
    EXPECT_EQ(Messages.size(), 1U);
    return std::get<permit_request>(Messages.at(0));
  }
  void grant(const permit_request &Request, milliseconds Waited) {
    permit_reply Reply{Server, std::nullopt, {1, 1}, milliseconds(0), false};
    Reply.Cold = cold_grant{Request.Cold->AskedAt, Waited};
    Client.receive(Reply, Now);
  }
};

TEST_F(ColdClientTest, PermitIsNotUsedLaterThanItsAgeAllows) {
  const permit_request Request = ask();
  Now += milliseconds(30);
  grant(Request, milliseconds(0));
  EXPECT_TRUE(Client.hasPermit(Server, Now + milliseconds(45)));
  EXPECT_FALSE(Client.hasPermit(Server, Now + milliseconds(55)));
}

TEST_F(ColdClientTest, WaitAtTheIssuerDoesNotAgeAPermit) {
  const permit_request Request = ask();
  Now += milliseconds(430);
  grant(Request, milliseconds(400));
  EXPECT_TRUE(Client.hasPermit(Server, Now + milliseconds(45)));
  EXPECT_FALSE(Client.hasPermit(Server, Now + milliseconds(55)));
}

// Guards against datagrams that are delayed by more than a permit's age, and replies that repeat
// something else.
TEST_F(ColdClientTest, LatePermitIsDropped) {
  const permit_request Request = ask();
  Now += milliseconds(90);
  grant(Request, milliseconds(0));
  EXPECT_FALSE(Client.hasPermit(Server, Now));
  Client.receive({Server, std::nullopt, {1, 2}, milliseconds(0), false}, Now);
  EXPECT_FALSE(Client.hasPermit(Server, Now));
}

TEST_F(ColdClientTest, ColdPeriodEndsByTheClockOfTheEntry) {
  EXPECT_TRUE(Client.needsPermit(Server, Now + milliseconds(7'999)));
  EXPECT_FALSE(Client.needsPermit(Server, Now + seconds(8)));
  EXPECT_EQ(Client.coldServers(Now + seconds(8)), 0U);
  EXPECT_FALSE(Client.mayAsk(Server, Now + seconds(8)));
  EXPECT_EQ(Client.limitedServers(), 0U);
}

} // namespace
} // namespace pollenstall

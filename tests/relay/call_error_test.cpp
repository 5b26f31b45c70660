/** @file call_error_test.cpp The errors returned to callers for each outcome. */
#include "relay/relay.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <set>

namespace pollenstall {
namespace {

std::vector<failure_reason> reasons() {
  std::vector<failure_reason> All;
  for (int Reason = 0; Reason <= static_cast<int>(failure_reason::ShuttingDown); ++Reason)
    All.push_back(static_cast<failure_reason>(Reason));
  return All;
}

TEST(CallError, HasOneCodeForEachReason) {
  std::set<std::string_view> Codes;
  for (const failure_reason Reason : reasons())
    EXPECT_TRUE(Codes.insert(reasonText(Reason)).second) << reasonText(Reason);
}

/// Client libraries retry 429 and 503 automatically; that must not repeat work that may have run.
TEST(CallError, InvitesARetryOnlyIfNothingWasRun) {
  for (const failure_reason Reason : reasons()) {
    const call_error Error =
        errorFor({request_number(1), final_outcome::Unknown, Reason, {}}, true);
    EXPECT_NE(Error.Status, 429U) << Error.Code;
    EXPECT_NE(Error.Status, 503U) << Error.Code;
  }
}

/// Libraries also retry 409 and 5xx, even for a call that may have run and must not run twice.
TEST(CallError, ForbidsRetriesOfNonIdempotentWorkThatMayHaveRun) {
  for (const failure_reason Reason : reasons()) {
    const finish_request MayHaveRun{request_number(1), final_outcome::Unknown, Reason, {}};
    EXPECT_FALSE(errorFor(MayHaveRun, false).Repeatable) << reasonText(Reason);
    const finish_request NotRun{request_number(1), final_outcome::NotRun, Reason, {}};
    EXPECT_EQ(errorFor(NotRun, false).Repeatable, errorFor(NotRun, true).Repeatable);
  }
  const finish_request ClaimUndecided{request_number(1), final_outcome::Unknown,
                                      failure_reason::ClaimUnavailable, std::chrono::seconds(1)};
  EXPECT_TRUE(errorFor(ClaimUndecided, false).Repeatable);
  const finish_request Refused{
      request_number(1), final_outcome::NotRun, failure_reason::QueueFull, {}};
  EXPECT_TRUE(errorFor(Refused, false).Repeatable);
}

TEST(CallError, HasTheOutcomeInTheBody) {
  const call_error Error =
      errorFor({request_number(1), final_outcome::NotRun, failure_reason::QueueFull, {}}, true);
  const boost::json::value Body = boost::json::parse(errorBody(Error));
  EXPECT_EQ(Body.at("error").at("outcome"), "not-run");
  EXPECT_EQ(Body.at("error").at("code"), "queue_full");
  EXPECT_TRUE(Body.at("error").at("param").is_null());
  EXPECT_EQ(Error.Status, 429U);
}

} // namespace
} // namespace pollenstall

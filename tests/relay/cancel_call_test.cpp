/** @file cancel_call_test.cpp What the answer to a cancel says. */
#include "relay/cancel_call_func.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

// An entry gives an attempt up just after its start and cancels it on another connection. The
// cancel arrives first, the engine answers "unknown", then the start arrives and runs with nobody
// waiting. Taken for the end of it, the answer would leave the engine's memory held until the work
// is done.
TEST(CancelAnswer, OfAnUnknownAttemptIsNotItsEnd) {
  EXPECT_EQ(cancelResultFrom(200, R"({"state":"unknown"})"), cancel_result::NeverSeen);
}

TEST(CancelAnswer, OfAnEndedAttemptConfirms) {
  EXPECT_EQ(cancelResultFrom(200, R"({"state":"cancelled"})"), cancel_result::Confirmed);
  EXPECT_EQ(cancelResultFrom(200, R"({"state":"finished"})"), cancel_result::Confirmed);
}

TEST(CancelAnswer, OfAnotherFormConfirmsNothing) {
  EXPECT_EQ(cancelResultFrom(503, R"({"state":"cancelled"})"), cancel_result::Unconfirmed);
  for (const char *Body : {"", "{}", "[]", R"({"state":1})", R"({"state":"later"})", "garbage"})
    EXPECT_EQ(cancelResultFrom(200, Body), cancel_result::Unconfirmed) << Body;
}

} // namespace
} // namespace pollenstall

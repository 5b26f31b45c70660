/** @file cancel_call_test.cpp Parsing of answers to cancel requests. */
#include "relay/cancel_call_func.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

// An entry abandons an attempt right after its start and cancels it on another connection. The
// cancel arrives first and the engine answers "unknown"; then the start arrives and runs although
// nobody waits for it. If that answer confirmed the cancel, the engine's memory would stay in use
// until the work is done.
TEST(CancelAnswer, UnknownAttemptIsNotConfirmed) {
  EXPECT_EQ(parseCancelResult(200, R"({"state":"unknown"})"), cancel_result::NeverSeen);
}

TEST(CancelAnswer, EndedAttemptIsConfirmed) {
  EXPECT_EQ(parseCancelResult(200, R"({"state":"cancelled"})"), cancel_result::Confirmed);
  EXPECT_EQ(parseCancelResult(200, R"({"state":"finished"})"), cancel_result::Confirmed);
}

TEST(CancelAnswer, MalformedAnswerConfirmsNothing) {
  EXPECT_EQ(parseCancelResult(503, R"({"state":"cancelled"})"), cancel_result::Unconfirmed);
  for (const char *Body : {"", "{}", "[]", R"({"state":1})", R"({"state":"later"})", "garbage"})
    EXPECT_EQ(parseCancelResult(200, Body), cancel_result::Unconfirmed) << Body;
}

} // namespace
} // namespace pollenstall

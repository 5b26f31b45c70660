/** @file broken_answer_test.cpp Backend servers that break connections, mix up answers or refuse
 * work. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

class BrokenAnswerTest : public ::testing::Test {
protected:
  void expectIdle(entry_fleet &Fleet) {
    EXPECT_TRUE(eventually([&Fleet] { return Fleet.isIdle(); }))
        << boost::json::serialize(Fleet.dump());
  }
};

TEST_F(BrokenAnswerTest, InterruptedStreamResumesAtTheNextEvent) {
  // The engine connection breaks after five events. The entry resumes at the sixth on the same
  // engine; the caller reads one stream without a gap, a repeat or an error.
  entry_fleet Fleet;
  ASSERT_TRUE(Fleet.engine().faults(R"({"cut_after_events":5})"));
  const auto Stream = Fleet.stream("a question", 30);
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  for (std::size_t Index = 0; Index < Events.size(); ++Index)
    EXPECT_EQ(Events[Index].Id, std::to_string(Index + 1));
  EXPECT_EQ(Events.back().Data, "[DONE]");
  EXPECT_EQ(Fleet.engine().stat("starts"), 1);
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, StreamThatCannotResumeEndsInAnError) {
  // This engine cannot resume. After the break the caller gets an error event with the outcome
  // "unknown" and an HTTP body without its last chunk, so that no client
  // mistakes the part for the complete answer.
  entry_fleet Fleet({.EngineTables = "[capabilities]\nresumes = false\n"});
  ASSERT_TRUE(Fleet.engine().faults(R"({"cut_after_events":5})"));
  const auto Stream = Fleet.stream("a question", 30);
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  const boost::json::value Last = boost::json::parse(Events.back().Data);
  EXPECT_EQ(Last.at("error").at("outcome"), "unknown");
  EXPECT_EQ(Last.at("error").at("code"), "backend_failed");
  EXPECT_FALSE(Stream->endedCleanly());
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, StreamWithoutDoneEventIsIncomplete) {
  // The engine terminates the HTTP body correctly but never sends [DONE]: tokens may be missing.
  entry_fleet Fleet({.EngineTables = "[capabilities]\nresumes = false\n"});
  ASSERT_TRUE(Fleet.engine().faults(R"({"no_done_next":1})"));
  const auto Stream = Fleet.stream("a question", 5);
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_NE(Events.back().Data.find("\"outcome\":\"unknown\""), std::string::npos);
  EXPECT_FALSE(Stream->endedCleanly());
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, HalfAnswerBecomesAnError) {
  // The engine connection breaks after half of the body. If the half were forwarded, only a reset
  // could signal the truncation, and a client library that misses the reset waits forever. The call
  // is not idempotent, so the caller gets the outcome "unknown" at once.
  entry_fleet Fleet({.EngineCount = 2});
  for (std::size_t Index = 0; Index < Fleet.engines(); ++Index)
    ASSERT_TRUE(Fleet.engine(Index).faults(R"({"half_answer_next":1})"));
  const http_answer Answer = Fleet.chat("send", 40, {{"X-Pollenstall-Idempotent", "false"}});
  EXPECT_EQ(Answer.Status, 502) << Answer.Body;
  EXPECT_EQ(Answer.header("X-Pollenstall-Outcome"), "unknown");
  EXPECT_TRUE(Answer.Error.empty()) << Answer.Error;
  EXPECT_EQ(Fleet.engine(0).stat("starts") + Fleet.engine(1).stat("starts"), 1);
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, HalfAnswerOfAnIdempotentCallIsRetried) {
  // The same break, once on each engine, but the call is idempotent. The caller has no byte of an
  // answer yet, so the call is retried until the third attempt completes, and the caller gets one
  // complete answer.
  entry_fleet Fleet({.EngineCount = 2});
  ASSERT_TRUE(Fleet.engine(0).faults(R"({"half_answer_next":1})"));
  ASSERT_TRUE(Fleet.engine(1).faults(R"({"half_answer_next":1})"));
  EXPECT_TRUE(Fleet.chat("a question", 40).ok());
  EXPECT_EQ(Fleet.engine(0).stat("starts") + Fleet.engine(1).stat("starts"), 3);
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, UnbufferedHalfAnswerIsTruncatedForTheCaller) {
  // The engine connection breaks after half of an answer that is not buffered (held_answer_bytes =
  // 0). The caller already has the head with the length, so only a reset can signal the truncation.
  entry_fleet Fleet({.EntryLimits = "held_answer_bytes = 0\n"});
  ASSERT_TRUE(Fleet.engine().faults(R"({"half_answer_next":1})"));
  const http_answer Answer = Fleet.chat("a question", 40);
  EXPECT_EQ(Answer.Status, 200);
  EXPECT_FALSE(Answer.Error.empty()) << Answer.Body;
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, AnswerToAnotherAttemptIsDropped) {
  // Each engine answers once with the id of another attempt, as on mixed-up connections. The entry
  // drops both answers and closes their connections; the caller gets its own at the third attempt.
  entry_fleet Fleet({.EngineCount = 2});
  for (std::size_t Index = 0; Index < Fleet.engines(); ++Index)
    ASSERT_TRUE(Fleet.engine(Index).faults(R"({"wrong_attempt_next":1})"));
  const http_answer Answer = Fleet.chat("a question", 3);
  EXPECT_TRUE(Answer.ok()) << Answer.Body;
  EXPECT_GE(Fleet.metric("pollenstall_attempt_ends_total", "bad_answer"), 1);
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, DeclinedAndFailedWorkIsRetried) {
  entry_fleet Fleet({.EngineCount = 2});
  for (std::size_t Index = 0; Index < Fleet.engines(); ++Index)
    ASSERT_TRUE(Fleet.engine(Index).faults(R"({"decline_next":1,"error_next":0})"));
  EXPECT_TRUE(Fleet.chat("a question").ok());
  for (std::size_t Index = 0; Index < Fleet.engines(); ++Index)
    ASSERT_TRUE(Fleet.engine(Index).faults(R"({"decline_next":0,"error_next":1})"));
  EXPECT_TRUE(Fleet.chat("another question").ok());
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, NonIdempotentWorkEndsAsUnknown) {
  // The caller marks its call as not idempotent. The engine starts it and fails with a 500: the
  // call may have had its effect, so it is not retried, and the caller gets "unknown".
  entry_fleet Fleet({.EngineCount = 2});
  for (std::size_t Index = 0; Index < Fleet.engines(); ++Index)
    ASSERT_TRUE(Fleet.engine(Index).faults(R"({"error_next":1})"));
  const http_answer Answer = Fleet.chat("send", 1, {{"X-Pollenstall-Idempotent", "false"}});
  EXPECT_EQ(Answer.Status, 502) << Answer.Body;
  EXPECT_EQ(Answer.header("X-Pollenstall-Outcome"), "unknown");
  EXPECT_EQ(Fleet.engine(0).stat("starts") + Fleet.engine(1).stat("starts"), 1);
  expectIdle(Fleet);
}

TEST_F(BrokenAnswerTest, WithoutBackendServersTheCallIsNotRun) {
  // The engine is killed, so connections are refused and no byte of an attempt leaves the entry.
  entry_fleet Fleet({.ServiceLines = "default_timeout_ms = 1500\n"});
  Fleet.engine().process().kill();
  (void)Fleet.engine().process().wait();
  const http_answer Answer = Fleet.chat("a question");
  EXPECT_GE(Answer.Status, 503) << Answer.Body;
  EXPECT_EQ(Answer.header("X-Pollenstall-Outcome"), "not-run");
  EXPECT_FALSE(Answer.header("Retry-After").empty());
}

} // namespace
} // namespace pollenstall

/** @file leaving_caller_test.cpp Resources are released when callers disconnect or stop reading. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Engines slow enough for a caller to disconnect during an answer.
fleet_options slowFleet() {
  return {.EntryLimits = "write_stall_ms = 300\n",
          .ServiceLines = "default_timeout_ms = 800000\n",
          .EngineTables = "[step]\nbase_us = 5000\nper_prefill_token_us = 100\n"};
}

class LeavingCallerTest : public ::testing::Test {
protected:
  entry_fleet Fleet{slowFleet()};

  void expectIdle() {
    EXPECT_TRUE(eventually([this] { return Fleet.isIdle(); }))
        << boost::json::serialize(Fleet.dump()) << boost::json::serialize(Fleet.engine().stats());
  }
  void waitForWork() {
    ASSERT_TRUE(eventually([this] { return Fleet.engine().stat("used_blocks") > 0; }));
  }
};

TEST_F(LeavingCallerTest, MidwayThroughAStreamFreesTheEnginesMemory) {
  // A caller closes the connection while tokens arrive. The entry detects this and cancels the
  // attempt, and the engine releases its blocks.
  const auto Stream = Fleet.stream("a question", 4'000);
  ASSERT_TRUE(Stream->next());
  waitForWork();
  Stream->close();
  expectIdle();
  EXPECT_EQ(Fleet.engine().stat("cancels"), 1);
}

TEST_F(LeavingCallerTest, BeforeTheFirstTokenFreesTheEnginesMemory) {
  // No write can fail yet, because nothing is written: the entry must watch the connection.
  raw_socket Socket(Fleet.callersAddress());
  const std::string Body = chatBody("m", std::string(60'000, 'p'), true, 10);
  ASSERT_TRUE(Socket.send("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
                          "Authorization: Bearer caller-key\r\nContent-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body));
  ASSERT_TRUE(eventually([this] { return Fleet.engine().stat("running") > 0; }));
  Socket.close();
  expectIdle();
  EXPECT_EQ(Fleet.engine().stat("cancels"), 1);
  EXPECT_EQ(Fleet.engine().stat("events_sent"), 0)
      << "the engine must be cancelled before its first token";
}

TEST_F(LeavingCallerTest, WhoStopsReadingPausesTheEngineAndIsDisconnected) {
  // The caller's buffers fill up. The entry stops reading from the engine, keeps at most the bytes
  // of one read in memory, and closes the caller's connection after the stall limit.
  raw_socket Socket(Fleet.callersAddress(), 2'048);
  ASSERT_TRUE(Fleet.engine().faults(R"({"slow_factor":0.02})"));
  const std::string Body = chatBody("m", "q", true, 8'000);
  ASSERT_TRUE(Socket.send("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
                          "Authorization: Bearer caller-key\r\nContent-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body));
  ASSERT_TRUE(eventually(
      [this] { return Fleet.metric("pollenstall_requests_total", "caller_left") == 1; }));
  expectIdle();
}

TEST_F(LeavingCallerTest, LostCancelIsRepeated) {
  // The engine drops the first cancel without effect. Its memory counts as used until a later
  // cancel is confirmed; without repeats it would never be released.
  ASSERT_TRUE(Fleet.engine().faults(R"({"drop_cancel_next":1})"));
  const auto Stream = Fleet.stream("a question", 4'000);
  ASSERT_TRUE(Stream->next());
  Stream->close();
  expectIdle();
}

TEST(LostEntry, OrphanedAttemptsAreCancelledAfterARestart) {
  // The entry is killed during a stream, and the engine keeps the attempt for a resume that never
  // comes. Only the restarted entry can release it: it finds the attempt in the engine's list, sees
  // that its owner is an earlier incarnation, and cancels it.
  entry_fleet Fleet({.ServiceLines = "default_timeout_ms = 800000\n",
                     .EngineTopLevelLines = "resume_window_ms = 3600000\n",
                     .EngineTables = "[step]\nbase_us = 5000\n"});
  const auto Stream = Fleet.stream("a question", 4'000);
  ASSERT_TRUE(Stream->next());
  ASSERT_GT(Fleet.engine().stat("used_blocks"), 0);
  Fleet.restartEntry();
  EXPECT_TRUE(eventually([&Fleet] { return Fleet.engine().stat("used_blocks") == 0; }));
  EXPECT_EQ(Fleet.engine().stat("cancels"), 1);
}

} // namespace
} // namespace pollenstall

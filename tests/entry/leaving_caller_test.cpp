/** @file leaving_caller_test.cpp Callers that leave or stop reading give everything back. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Answers of these engines take long enough to leave in the middle.
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
  // A caller closes the connection while tokens arrive. The entry sees the end of the connection,
  // has the engine end the attempt, and the engine's blocks come back to rest.
  const auto Stream = Fleet.stream("a question", 4'000);
  ASSERT_TRUE(Stream->next());
  waitForWork();
  Stream->close();
  expectIdle();
  EXPECT_EQ(Fleet.engine().stat("cancels"), 1);
}

TEST_F(LeavingCallerTest, BeforeTheFirstTokenFreesTheEnginesMemory) {
  // Here no write can fail, because nothing is written yet: only watching the connection tells.
  raw_socket Socket(Fleet.callersAddress());
  const std::string Body = chatBody("m", std::string(60'000, 'p'), true, 10);
  ASSERT_TRUE(Socket.send("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
                          "Authorization: Bearer caller-key\r\nContent-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body));
  ASSERT_TRUE(eventually([this] { return Fleet.engine().stat("running") > 0; }));
  Socket.close();
  expectIdle();
  EXPECT_EQ(Fleet.engine().stat("cancels"), 1);
  EXPECT_EQ(Fleet.engine().stat("events_sent"), 0) << "it ran on to the first token";
}

TEST_F(LeavingCallerTest, WhoStopsReadingStopsTheEngineAndIsCutOffInTheEnd) {
  // The caller's buffers fill, the entry stops reading from the engine, holds no more than one
  // read, and after the stall limit counts the caller as gone.
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

TEST_F(LeavingCallerTest, ACancelThatIsLostIsRepeated) {
  // The engine breaks off the first cancel without effect. Its memory counts as taken until a
  // later cancel is confirmed; without repeats it would stay taken for good.
  ASSERT_TRUE(Fleet.engine().faults(R"({"drop_cancel_next":1})"));
  const auto Stream = Fleet.stream("a question", 4'000);
  ASSERT_TRUE(Stream->next());
  Stream->close();
  expectIdle();
}

TEST(LostEntry, AnEnginesMemoryComesBackAfterTheEntryThatTookItIsGone) {
  // The entry dies in the middle of a stream, and the engine keeps the attempt for a resume that
  // nobody will ask for. The next life of the entry finds the attempt in the engine's list, sees
  // that its owner is an earlier life, and ends it; nobody else knows of it any more.
  entry_fleet Fleet({.ServiceLines = "default_timeout_ms = 800000\n",
                     .EngineTop = "resume_window_ms = 3600000\n",
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

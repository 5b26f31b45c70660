/** @file stopping_test.cpp Settings checks and a graceful shutdown. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

#include <thread>

namespace pollenstall {
namespace {

std::string joined(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

TEST(Stopping, LetsRunningWorkEndAndRefusesNewWork) {
  // SIGTERM arrives during a stream. /readyz fails for the load balancer, new calls are refused as
  // "not-run" with Retry-After, and the running stream completes before the process exits.
  entry_fleet Fleet({.EngineTables = "[step]\nbase_us = 20000\n"});
  const auto Stream = Fleet.stream("a question", 60);
  ASSERT_TRUE(Stream->next());
  Fleet.entry().terminate();
  ASSERT_TRUE(eventually([&] { return Fleet.operators().get("/readyz").Status == 503; }));
  const http_answer Refused = Fleet.chat("too late");
  EXPECT_EQ(Refused.Status, 503);
  EXPECT_EQ(Refused.header("X-Pollenstall-Outcome"), "not-run");
  EXPECT_FALSE(Refused.header("Retry-After").empty());
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_EQ(Events.back().Data, "[DONE]");
  EXPECT_EQ(Fleet.entry().wait(), 0);
}

TEST(Stopping, EndsWorkAtTheLimitWithAnError) {
  entry_fleet Fleet({.EntryTopLevelLines = "shutdown_limit_s = 0.2\n",
                     .ServiceLines = "default_timeout_ms = 800000\n",
                     .EngineTables = "[step]\nbase_us = 20000\n"});
  const auto Stream = Fleet.stream("a question", 4'000);
  ASSERT_TRUE(Stream->next());
  Fleet.entry().terminate();
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_NE(Events.back().Data.find("shutting_down"), std::string::npos) << Events.back().Data;
  EXPECT_EQ(Fleet.entry().wait(), 3);
  EXPECT_TRUE(eventually([&] { return Fleet.engine().stat("used_blocks") == 0; }));
}

// Guards against a process that the platform has to kill: a stuck engine confirms no cancel, and
// the wait for it began only after the wait for the last answers.
TEST(Stopping, EndsBeforeThePlatformKillsIt) {
  constexpr std::chrono::milliseconds KillAfter{2'500};
  entry_fleet Fleet({.EntryTopLevelLines = "shutdown_limit_s = 2.5\nshutdown_kill_s = 2.5\n",
                     .EngineTables = "[step]\nbase_us = 20000\n"});
  const auto Stream = Fleet.stream("a question", 4'000);
  ASSERT_TRUE(Stream->next());
  Fleet.engine().process().stop();
  Fleet.entry().terminate();
  EXPECT_TRUE(Fleet.entry().wait(KillAfter)) << joined(Fleet.entry().errorLines());
}

// A request came late in the drain, was passed on, and was ended at the end of the grace time with
// 502 although the engine worked on it: one that may not be repeated was lost to its caller. Such a
// request is refused at once as not run, and the connection closes, so that the caller's next try
// reaches another entry.
TEST(Stopping, RefusesAtOnceWhatMayTakeLongerThanIsLeft) {
  constexpr int Tokens = 75; // About 1.5 s.
  constexpr int EarlyEnough = 200;
  entry_fleet Fleet({.EntryTopLevelLines = "shutdown_drain_ms = 2500\nshutdown_limit_s = 10\n"
                                           "shutdown_kill_s = 4\n",
                     .EngineTables = "[step]\nbase_us = 20000\n"});
  ASSERT_EQ(Fleet.chat("before the stop", Tokens).Status, EarlyEnough);
  Fleet.entry().terminate();
  const auto StoppedAt = std::chrono::steady_clock::now();
  EXPECT_EQ(Fleet.chat("early", Tokens).Status, EarlyEnough);
  std::this_thread::sleep_until(StoppedAt + std::chrono::milliseconds(2'000));
  const http_answer Late = Fleet.chat("late", Tokens);
  EXPECT_LT(std::chrono::steady_clock::now() - StoppedAt, std::chrono::milliseconds(2'500));
  EXPECT_EQ(Late.Status, 503) << Late.Body;
  EXPECT_EQ(Late.header("X-Pollenstall-Outcome"), "not-run");
  EXPECT_EQ(Late.header("Connection"), "close");
  EXPECT_EQ(Fleet.entry().wait(), 0) << "no request was ended by the stop";
}

// The platform sends SIGHUP when a settings file has changed. By default SIGHUP would end the
// process, which would interrupt every stream of the entry.
TEST(Stopping, SighupInterruptsNoStream) {
  entry_fleet Fleet({.EngineTables = "[step]\nbase_us = 20000\n"});
  const auto Stream = Fleet.stream("a question", 30);
  ASSERT_TRUE(Stream->next());
  Fleet.entry().signal(SIGHUP);
  EXPECT_TRUE(Fleet.entry().waitForEvent("reload_asked"));
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_EQ(Events.back().Data, "[DONE]");
  EXPECT_EQ(Fleet.chat("and another").Status, 200);
}

// A process that ends by a fault takes all its requests with it, and its log does not say why.
TEST(Stopping, ACrashIsLogged) {
  entry_fleet Fleet;
  Fleet.entry().signal(SIGABRT);
  EXPECT_EQ(Fleet.entry().wait(), 128 + SIGABRT);
  const auto Crash = Fleet.entry().waitForEvent("process_crashed");
  ASSERT_TRUE(Crash);
  EXPECT_EQ(Crash->at("signal").as_int64(), SIGABRT);
}

// Requests fail while their process stands still, and the time looks like one of its servers'.
TEST(Stopping, AProcessThatStoodStillLogsHowLong) {
  constexpr std::chrono::milliseconds Pause{700};
  entry_fleet Fleet;
  Fleet.entry().stop();
  std::this_thread::sleep_for(Pause);
  Fleet.entry().resume();
  const auto Stall = Fleet.entry().waitForEvent("thread_stalled");
  ASSERT_TRUE(Stall);
  EXPECT_GE(Stall->at("ms").as_int64(), Pause.count() - 100);
}

TEST(Stopping, InvalidSettingsAreReportedWithTheirLine) {
  const auto Process = child_process::withSettings("pollenstall-entry", "[host]\nnam = \"a\"\n");
  EXPECT_EQ(Process->wait(), 2);
  const std::vector<std::string> Lines = Process->errorLines();
  ASSERT_FALSE(Lines.empty());
  EXPECT_NE(Lines.front().find(":2: host.nam"), std::string::npos) << Lines.front();
}

} // namespace
} // namespace pollenstall

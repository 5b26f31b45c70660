/** @file crashing_request_test.cpp A request that crashes every engine that starts it. */
#include "running_system_base.h"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace pollenstall {
namespace {

constexpr int Ok = 200;
constexpr int Unavailable = 503;
const std::string Crashing = "crash-this-engine";

class CrashingRequestTest : public testing::Test {
protected:
  static bool isRefused(const http_answer &Answer) {
    return Answer.Status == Unavailable &&
           Answer.Body.find("\"request_crashes_servers\"") != std::string::npos;
  }

  running_system System{
      {.Engines = 6, .EngineTop = "faults = '{\"die_on_prompt\":\"" + Crashing + "\"}'\n"}};
};

// Guards against a request that is sent repeatedly and crashes one engine after another.
TEST_F(CrashingRequestTest, IsRefusedByEveryEntryOnceItHasCrashedThreeEngines) {
  constexpr int MaxRounds = 60;
  bool Refused = false;
  std::size_t Lost = 0;
  for (int Round = 0; Round < MaxRounds && !Refused; ++Round) {
    Refused = isRefused(System.chat(Round % running_system::EntryCount, Crashing));
    Lost += System.restartEndedEngines();
    ASSERT_TRUE(Refused || eventually([this] { return System.allReady(); }));
  }
  ASSERT_TRUE(Refused) << Lost << " engines were lost in " << MaxRounds << " rounds"
                       << System.description();
  EXPECT_GE(Lost, 3U);
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry)
    ASSERT_TRUE(eventually([&] { return isRefused(System.chat(Entry, Crashing)); }))
        << Entry << " " << System.chat(Entry, Crashing).Body;
  System.restartEndedEngines();
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    const http_answer RefusedAnswer = System.chat(Entry, Crashing);
    EXPECT_TRUE(isRefused(RefusedAnswer)) << RefusedAnswer.Status << RefusedAnswer.Body;
    EXPECT_EQ(outcomeOf(RefusedAnswer), "not-run");
    EXPECT_EQ(System.chat(Entry, "another prompt").Status, Ok);
  }
  EXPECT_EQ(System.restartEndedEngines(), 0U);
  EXPECT_EQ(System.ctl({"suspects"}), 0);
}

// Guards against a part of a prompt that crashes one engine after another in requests of which no
// two are alike, and against a block that refuses other requests with the same first part.
TEST_F(CrashingRequestTest, IsRefusedWhicheverRequestItIsAPartOf) {
  constexpr int MaxRounds = 40;
  constexpr std::size_t MaxLost = 5;
  const std::string Shared = "You answer in one word.";
  const auto Send = [&](std::size_t Entry, const std::vector<std::string> &Messages) {
    return System.chatOf(Entry, Messages);
  };
  bool Refused = false;
  std::size_t Lost = 0;
  for (int Round = 0; Round < MaxRounds && !Refused; ++Round) {
    const std::size_t Entry = Round % running_system::EntryCount;
    Refused = isRefused(Send(Entry, {Shared, Crashing, "question " + std::to_string(Round)}));
    Lost += System.restartEndedEngines();
    ASSERT_TRUE(Refused || eventually([this] { return System.allReady(); }));
    EXPECT_EQ(Send(Entry, {Shared, "harmless", "question"}).Status, Ok);
  }
  ASSERT_TRUE(Refused) << Lost << " engines were lost in " << MaxRounds << " rounds"
                       << System.description();
  EXPECT_LE(Lost, MaxLost);
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    ASSERT_TRUE(eventually([&] { return isRefused(Send(Entry, {Shared, Crashing, "another"})); }));
    EXPECT_EQ(Send(Entry, {Shared, "harmless", "another"}).Status, Ok);
  }
  System.restartEndedEngines();
  EXPECT_EQ(System.ctl({"suspects"}), 0);
}

// Guards against engines that go on ending by a part of a prompt seconds after five have.
TEST_F(CrashingRequestTest, CrashesAtMostThreeEnginesLaterThanThreeSecondsAfterTheFifth) {
  constexpr std::size_t Evidence = 5;
  constexpr std::size_t MaxLate = 3;
  constexpr std::chrono::milliseconds Interval{50};
  std::size_t Lost = 0;
  std::size_t Late = 0;
  std::optional<mono_time> FifthLostAt;
  const mono_time End = boot_clock::now() + std::chrono::seconds(8);
  for (int Round = 0; boot_clock::now() < End; ++Round) {
    (void)System.chatOf(Round % running_system::EntryCount,
                        {"You answer in one word.", Crashing, "question " + std::to_string(Round)});
    const std::size_t Ended = System.restartEndedEngines();
    Lost += Ended;
    if (Lost >= Evidence && !FifthLostAt)
      FifthLostAt = boot_clock::now();
    if (FifthLostAt && boot_clock::now() - *FifthLostAt > std::chrono::seconds(3))
      Late += Ended;
    std::this_thread::sleep_for(Interval);
  }
  EXPECT_GE(Lost, Evidence);
  EXPECT_LE(Late, MaxLate) << Lost << " in all" << System.description();
}

// Guards against a block that operators cannot lift after they have repaired the servers.
TEST_F(CrashingRequestTest, RunsAgainOnceAnOperatorUnblocksIt) {
  std::string Answer;
  const auto Send = [&] { return System.chat(0, Crashing); };
  ASSERT_TRUE(eventually([&] {
    const http_answer Sent = Send();
    System.restartEndedEngines();
    Answer = Sent.Body;
    return isRefused(Sent);
  }));
  const std::size_t At = Answer.find('(');
  ASSERT_NE(At, std::string::npos) << Answer;
  EXPECT_EQ(System.ctl({"unblock", Answer.substr(At + 1, 16)}), 0);
  for (std::size_t Index = 0; Index < System.engines(); ++Index)
    ASSERT_TRUE(System.engine(Index).faults(R"({"die_on_prompt":""})"));
  EXPECT_TRUE(eventually([&] { return Send().Status == Ok; }));
}

} // namespace
} // namespace pollenstall

/** @file leaving_test.cpp Graceful shutdown and draining of engines and entries. */
#include "running_system_base.h"

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

namespace pollenstall {
namespace {

using std::chrono::steady_clock;

class LeavingTest : public testing::Test {
protected:
  /// @return Number of requests sent to the engine, including those that it declined.
  std::int64_t requestsSentTo(std::size_t Engine) {
    return System.engine(Engine).stat("starts") + System.engine(Engine).stat("declined");
  }

  /// Asks questions through one entry and prints refusals. @return Number of answered questions.
  int ask(std::size_t Entry, int Questions) {
    int Answered = 0;
    for (int Question = 0; Question < Questions; ++Question) {
      const http_answer Answer = System.chat(Entry, "question " + std::to_string(++QuestionCount));
      Answered += Answer.ok() ? 1 : 0;
      if (!Answer.ok())
        std::cout << "refused: " << Answer.Status << ' ' << Answer.Error << ' ' << Answer.Body
                  << '\n';
    }
    return Answered;
  }

  void askAllEntries() {
    constexpr int Questions = 6;
    for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry)
      EXPECT_EQ(ask(Entry, Questions), Questions) << Entry;
  }

  /// Waits until none of the entries places work on the engine, and prints the time that it took.
  void expectDrained(std::size_t Engine, const std::vector<std::size_t> &Entries) {
    const auto Start = steady_clock::now();
    const std::string &Address = System.engine(Engine).address();
    for (const std::size_t Entry : Entries)
      EXPECT_TRUE(eventually([&] { return !System.acceptsWork(Entry, Address); })) << Entry;
    const auto Elapsed = steady_clock::now() - Start;
    const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Elapsed).count();
    std::cout << "leaving known at " << Entries.size() << " entries after " << Millis << " ms\n";
    RecordProperty("known_ms", std::to_string(Millis));
  }

  running_system System{{.EngineTables = "[step]\nbase_us = 5000\n",
                         .ServiceLines = "default_timeout_ms = 800000\n"}};
  std::vector<std::size_t> All{0, 1, 2};
  int QuestionCount{0};
};

TEST_F(LeavingTest, OfAnEngineStopsNewWorkAndInterruptsNoStream) {
  // An engine that runs a stream gets SIGTERM and announces to one entry that it is leaving. Within
  // seconds no entry sends it requests, while the stream runs to its end. A later question would
  // reach a process that is about to exit.
  const auto First = System.stream(0, "long", 500);
  const std::size_t Engine = System.busyEngine();
  ASSERT_TRUE(First->next());
  System.engine(Engine).process().terminate();
  expectDrained(Engine, All);
  const std::int64_t Sent = requestsSentTo(Engine);
  askAllEntries();
  EXPECT_EQ(requestsSentTo(Engine), Sent);
  EXPECT_EQ(System.engine(Engine).stat("running"), 1) << "the stream ended too early for this test";
  std::vector<sse_event> Events = First->remainingEvents();
  EXPECT_EQ(Events.back().Data, "[DONE]");
  EXPECT_TRUE(First->endedCleanly());
  EXPECT_EQ(System.engine(Engine).process().wait(), 0);
}

TEST_F(LeavingTest, IsLearnedByAFrozenEntryBeforeItPlacesWork) {
  // An entry is frozen, an engine leaves, and all other entries learn of it. Questions wait in the
  // sockets of the frozen entry. When it resumes, its stale view shows the engine as active, and
  // the questions would go to the leaving engine. It must receive the update before it places work.
  const auto Running = System.stream(1, "long", 4'000);
  const std::size_t Engine = System.busyEngine();
  ASSERT_TRUE(Running->next());
  System.entry(0).stop();
  const auto LeavingStart = steady_clock::now();
  System.engine(Engine).process().terminate();
  expectDrained(Engine, {1, 2});
  const std::int64_t Sent = requestsSentTo(Engine);
  constexpr int Callers = 6;
  std::vector<std::future<int>> Waiting;
  Waiting.reserve(Callers);
  for (int Caller = 0; Caller < Callers; ++Caller)
    Waiting.push_back(std::async(std::launch::async, [this, Caller] {
      return System.chat(0, "waiting " + std::to_string(Caller)).Status;
    }));
  // Longer than views count as fresh; until then an entry may legitimately not know.
  const auto FreshnessEnd = LeavingStart + std::chrono::seconds(2);
  EXPECT_TRUE(eventually([&] { return steady_clock::now() > FreshnessEnd; }));
  System.entry(0).resume();
  for (auto &Answer : Waiting)
    (void)Answer.get();
  EXPECT_TRUE(eventually([this] { return System.ready(0); }));
  EXPECT_EQ(ask(0, Callers), Callers);
  EXPECT_EQ(requestsSentTo(Engine), Sent);
  EXPECT_GT(System.engine(Engine).stat("running"), 0);
}

TEST_F(LeavingTest, ByADrainHoldsUntilItIsUndone) {
  // The operator drains an engine that does not know of it and still announces itself as active. No
  // entry sends it new work, its stream completes, and undoing the drain brings new work back.
  const auto Stream = System.stream(0, "long", 300);
  const std::size_t Engine = System.busyEngine();
  const std::string Address = System.engine(Engine).address();
  ASSERT_TRUE(Stream->next());
  ASSERT_EQ(System.ctl({"drain", Address}), 0);
  expectDrained(Engine, All);
  const std::int64_t Sent = requestsSentTo(Engine);
  askAllEntries();
  EXPECT_EQ(requestsSentTo(Engine), Sent);
  const auto Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_EQ(Events.back().Data, "[DONE]");
  ASSERT_EQ(System.ctl({"drain", Address, "--undo"}), 0);
  EXPECT_TRUE(eventually([&] {
    (void)ask(0, 2);
    return requestsSentTo(Engine) > Sent;
  }));
}

TEST_F(LeavingTest, EndsWithANewIncarnationAtTheSameAddress) {
  // The engine leaves, exits and restarts at its address. Only the old incarnation was leaving: the
  // new one gets work from every entry.
  System.engine(0).process().terminate();
  EXPECT_EQ(System.engine(0).process().wait(), 0);
  expectDrained(0, All);
  System.restartEngine(0);
  for (const std::size_t Entry : All) {
    const std::string &Address = System.engine(0).address();
    EXPECT_TRUE(eventually([&] { return System.acceptsWork(Entry, Address); })) << Entry;
  }
  EXPECT_TRUE(eventually([this] {
    askAllEntries();
    return System.engine(0).stat("starts") > 0;
  }));
}

TEST_F(LeavingTest, OfAnEntryInterruptsNoStreamAndRunsNothingNew) {
  // An entry that serves a stream gets SIGTERM. It refuses new calls as "not-run" with Retry-After
  // and exits only after the stream has completed; other entries continue to serve.
  const auto Stream = System.stream(0, "long", 300);
  ASSERT_TRUE(Stream->next());
  System.entry(0).terminate();
  ASSERT_TRUE(eventually([this] { return !System.ready(0); }));
  const http_answer Refused = System.send(0, "late");
  EXPECT_FALSE(Refused.ok());
  const http_answer Question = System.chat(0, "too late");
  EXPECT_EQ(outcomeOf(Question), "not-run") << Question.Error << Question.Body;
  EXPECT_FALSE(Question.header("Retry-After").empty());
  EXPECT_EQ(System.startsByKey("late"), 0);
  EXPECT_EQ(ask(1, 2), 2);
  const auto Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_EQ(Events.back().Data, "[DONE]");
  EXPECT_TRUE(Stream->endedCleanly());
  EXPECT_EQ(System.entry(0).wait(), 0);
}

} // namespace
} // namespace pollenstall

/** @file memory_test.cpp Engine memory is released after all kinds of faults. */
#include "running_system_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Enough tokens that no answer completes within the time of a test.
constexpr int EndlessTokens = 9'000;

class EngineMemoryTest : public testing::Test {
protected:
  using stream_list = std::vector<std::unique_ptr<http_stream>>;

  bool engineFaults(const std::string &Json) {
    for (std::size_t Index = 0; Index < System.engines(); ++Index)
      if (!System.engine(Index).faults(Json))
        return false;
    return true;
  }

  /// Opens streams through an entry and reads the first event of each.
  stream_list openStreams(std::size_t Entry, int Count) {
    stream_list Streams;
    Streams.reserve(static_cast<std::size_t>(Count));
    for (int StreamIndex = 0; StreamIndex < Count; ++StreamIndex) {
      Streams.push_back(
          System.stream(Entry, "stream " + std::to_string(StreamIndex), EndlessTokens));
      EXPECT_TRUE(Streams.back()->next()) << Streams.back()->error();
    }
    return Streams;
  }

  /// Expects that neither the engines nor the trackers of the entries count any memory as used.
  void expectMemoryReleased() {
    EXPECT_TRUE(eventually([this] { return System.isMemoryReleased(); }))
        << boost::json::serialize(System.dump(0)) << System.engine(0).client().get("/stats").Body
        << System.engine(1).client().get("/stats").Body;
    for (std::size_t Index = 0; Index < System.engines(); ++Index)
      EXPECT_EQ(System.engine(Index).stat("used_blocks"), 0)
          << Index << System.engine(Index).client().get("/v1/attempts").Body;
    for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry)
      EXPECT_EQ(System.abandoned(Entry), 0U)
          << Entry << boost::json::serialize(System.dump(Entry).at("decisions"));
  }

  // On these engines a broken connection releases no memory; only a cancel does.
  running_system System{
      {.EngineTop = "resume_window_ms = 3600000\n",
       .EngineTables = "[step]\nbase_us = 3000\n",
       .ServiceLines = "default_timeout_ms = 800000\nmax_answer_tokens = 20000\n"}};
};

TEST_F(EngineMemoryTest, IsReleasedAfterDisconnectsTimeoutsAndLostCancels) {
  // Callers disconnect during streams and during a prompt of 60,000 tokens, others exceed their
  // deadline, and the first cancels are lost. An engine keeps a broken stream for a resume and
  // would never release its memory if the cancel were sent only once.
  ASSERT_TRUE(engineFaults(R"({"drop_cancel_next":2})"));
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    for (const auto &Stream : openStreams(Entry, 3))
      Stream->close();
    const http_answer Late =
        System.chat(Entry, "no time", EndlessTokens, {{"X-Request-Timeout-Ms", "300"}});
    EXPECT_FALSE(Late.ok());
    EXPECT_FALSE(outcomeOf(Late).empty()) << Late.Error << Late.Body;
  }
  std::string LongPrompt;
  constexpr int WordCount = 60'000;
  for (int Word = 0; Word < WordCount; ++Word)
    LongPrompt += "word ";
  auto PendingAnswer = std::async(std::launch::async, [this, &LongPrompt] {
    return System.chat(1, LongPrompt, 100, {{"X-Request-Timeout-Ms", "500"}});
  });
  (void)PendingAnswer.get();
  expectMemoryReleased();
}

TEST_F(EngineMemoryTest, IsReleasedAfterInterruptedAndResumedStreams) {
  // The engine connection breaks during a stream; some callers read to the end, others disconnect.
  for (int Round = 0; Round < 4; ++Round) {
    ASSERT_TRUE(engineFaults(R"({"cut_after_events":3})"));
    const auto Disconnected = System.stream(0, "left " + std::to_string(Round), EndlessTokens);
    EXPECT_TRUE(Disconnected->next());
    EXPECT_TRUE(
        isCompleteStream(System.stream(1, "read " + std::to_string(Round), 20)->remainingEvents()));
    Disconnected->close();
  }
  expectMemoryReleased();
}

TEST_F(EngineMemoryTest, IsReleasedAfterAnEntryCrashWithOpenStreams) {
  // An entry is killed while its streams run, and restarts under the same name. The engines keep
  // the streams for a resume that never comes, and the restarted owner no longer knows them. A
  // running entry lists the attempts of the engines and cancels those of the old incarnation, but
  // no others.
  const auto Orphans = openStreams(0, 5);
  const auto LiveStream = System.stream(1, "goes on", 1'500);
  ASSERT_TRUE(LiveStream->next());
  System.killEntry(0);
  System.startEntry(0);
  const auto Events = LiveStream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_EQ(Events.back().Data, "[DONE]");
  expectMemoryReleased();
}

TEST_F(EngineMemoryTest, IsReleasedAfterAnEngineCrash) {
  // The engine is killed with streams on it and restarts empty at its address. The entries must not
  // count the lost attempts as used memory of the new incarnation.
  const auto Streams = openStreams(0, 4);
  const std::size_t Engine = System.busyEngine();
  System.engine(Engine).process().kill();
  (void)System.engine(Engine).process().wait();
  System.restartEngine(Engine);
  EXPECT_TRUE(eventually([&] { return System.acceptsWork(0, System.engine(Engine).address()); }));
  for (const auto &Stream : Streams)
    Stream->close();
  expectMemoryReleased();
  EXPECT_TRUE(System.chat(0, "and it serves on").ok());
}

} // namespace
} // namespace pollenstall

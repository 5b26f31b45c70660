/** @file memory_test.cpp Engines' memory after everything that can go wrong. */
#include "running_system_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Longer than any wait of a story: no answer ends by itself within it.
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
    for (int Number = 0; Number < Count; ++Number) {
      Streams.push_back(System.stream(Entry, "stream " + std::to_string(Number), EndlessTokens));
      EXPECT_TRUE(Streams.back()->next()) << Streams.back()->error();
    }
    return Streams;
  }

  /// The stand-in's own count and the entries' ledgers must agree on nothing.
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

  // A broken connection frees nothing on these engines: only a cancel does.
  running_system System{
      {.EngineTop = "resume_window_ms = 3600000\n",
       .EngineTables = "[step]\nbase_us = 3000\n",
       .ServiceLines = "default_timeout_ms = 800000\nmax_answer_tokens = 20000\n"}};
};

TEST_F(EngineMemoryTest, ComesBackAfterHangUpsTimeoutsAndLostCancels) {
  // Callers leave in the middle of streams and of a prompt of 60,000 tokens, others run out of
  // time, and the first cancels are lost on the way. An engine that keeps a broken stream for its
  // resume would hold the memory for good if the cancel were sent only once.
  ASSERT_TRUE(engineFaults(R"({"drop_cancel_next":2})"));
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    for (const auto &Stream : openStreams(Entry, 3))
      Stream->close();
    const http_answer Late =
        System.chat(Entry, "no time", EndlessTokens, {{"X-Request-Timeout-Ms", "300"}});
    EXPECT_FALSE(Late.ok());
    EXPECT_FALSE(outcomeOf(Late).empty()) << Late.Error << Late.Body;
  }
  std::string Long;
  constexpr int Words = 60'000;
  for (int Word = 0; Word < Words; ++Word)
    Long += "word ";
  auto Asked = std::async(std::launch::async, [this, &Long] {
    return System.chat(1, Long, 100, {{"X-Request-Timeout-Ms", "500"}});
  });
  (void)Asked.get();
  expectMemoryReleased();
}

TEST_F(EngineMemoryTest, ComesBackAfterStreamsWereCutAndResumed) {
  // The connection to the engine breaks midway; some callers read on to the end, others have left.
  for (int Round = 0; Round < 4; ++Round) {
    ASSERT_TRUE(engineFaults(R"({"cut_after_events":3})"));
    const auto Left = System.stream(0, "left " + std::to_string(Round), EndlessTokens);
    EXPECT_TRUE(Left->next());
    EXPECT_TRUE(isCompleteStream(System.stream(1, "read " + std::to_string(Round), 20)->remainingEvents()));
    Left->close();
  }
  expectMemoryReleased();
}

TEST_F(EngineMemoryTest, ComesBackAfterAnEntryWasKilledWithStreamsOpen) {
  // An entry is killed while its streams run, and comes back under its name. The engines keep the
  // streams for a resume that never comes; nobody but their owner would ever cancel them, and it
  // has forgotten them. A living entry lists what the engines hold and ends what belongs to the
  // life that is over, and no attempt of anybody else.
  const auto Orphans = openStreams(0, 5);
  const auto Mine = System.stream(1, "goes on", 1'500);
  ASSERT_TRUE(Mine->next());
  System.killEntry(0);
  System.startEntry(0);
  const auto Events = Mine->remainingEvents();
  ASSERT_FALSE(Events.empty());
  EXPECT_EQ(Events.back().Data, "[DONE]");
  expectMemoryReleased();
}

TEST_F(EngineMemoryTest, ComesBackAfterAnEngineWasKilled) {
  // The engine dies with streams on it and comes back empty at its address. The entries must not
  // count the lost attempts as memory taken of the new life.
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

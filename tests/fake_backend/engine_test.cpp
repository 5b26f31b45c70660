/** @file engine_test.cpp Tests memory, batching and streams of the engine model. */
#include "fake_backend/fake_backend.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

engine_limits smallLimits() {
  engine_limits Limits;
  Limits.Blocks = 64;
  Limits.BlockTokens = 4;
  Limits.PrefixCacheBlocks = 16;
  Limits.ChunkTokens = 32;
  Limits.MaxRunning = 4;
  return Limits;
}

/// Creates a job. @param Prefix Jobs with the same value share the blocks of their prompts.
job_ptr makeJob(const std::string &Attempt, std::int64_t Tokens, std::int64_t Answer,
                std::uint64_t Prefix = 1) {
  auto Job = std::make_shared<engine_job>();
  Job->Attempt = Attempt;
  Job->Answer.PromptTokens = Tokens;
  Job->Answer.AnswerTokens = Answer;
  for (std::int64_t Block = 0; Block < Tokens / 4; ++Block)
    Job->BlockHashes.push_back(combineHashes(Prefix, static_cast<std::uint64_t>(Block)));
  return Job;
}

class EngineTest : public testing::Test {
protected:
  engine Engine{smallLimits()};
  mono_time Now{};

  void step() {
    if (Engine.beginStep())
      Engine.endStep(Now);
  }
  void runToEnd() {
    while (Engine.beginStep())
      Engine.endStep(Now);
  }
};

TEST_F(EngineTest, FreesItsMemoryWhenAJobEnds) {
  const job_ptr Job = makeJob("a", 40, 8);
  Engine.submit(Job);
  step();
  EXPECT_EQ(Engine.load().UsedBlocks, 12);
  runToEnd();
  EXPECT_EQ(Job->State, job_state::Finished);
  EXPECT_EQ(Job->eventsReady(), 12);
  EXPECT_EQ(Engine.load().UsedBlocks, 0);
  EXPECT_EQ(Engine.load().CachedBlocks, 10);
}

TEST_F(EngineTest, ComputesOnlyUncachedTokens) {
  Engine.submit(makeJob("a", 40, 1));
  runToEnd();
  const job_ptr SecondJob = makeJob("b", 40, 1);
  Engine.submit(SecondJob);
  runToEnd();
  EXPECT_EQ(SecondJob->Answer.CachedTokens, 39);
}

TEST_F(EngineTest, RunsLowerPrioritiesFirst) {
  const job_ptr First = makeJob("a", 200, 8, 1);
  const job_ptr Later = makeJob("b", 200, 8, 2);
  const job_ptr Urgent = makeJob("c", 200, 8, 3);
  Later->Priority = 5;
  Urgent->Priority = 1;
  Engine.submit(First);
  step();
  Engine.submit(Later);
  Engine.submit(Urgent);
  Engine.cancel("a", Now);
  step();
  EXPECT_EQ(Urgent->State, job_state::Prefill);
  EXPECT_EQ(Later->State, job_state::Waiting);
}

TEST_F(EngineTest, RejectsJobsLargerThanTheMemory) {
  const auto Submitted = Engine.submit(makeJob("a", 300, 8));
  ASSERT_FALSE(succeeded(Submitted));
  EXPECT_EQ(errorOf(Submitted), submit_error::TooLarge);
}

TEST_F(EngineTest, SkipsImportedPrefill) {
  ASSERT_TRUE(Engine.importBlocks("a", 10, Now));
  EXPECT_EQ(Engine.load().UsedBlocks, 10);
  const job_ptr Job = makeJob("a", 40, 1);
  Engine.submit(Job);
  runToEnd();
  EXPECT_EQ(Job->Answer.CachedTokens, 39);
  EXPECT_EQ(Engine.load().UsedBlocks, 0);
}

// The caller's entry crashes, so the stream is neither resumed nor cancelled. The memory must be
// freed after the resume window; otherwise system tests could not distinguish a leak of the system
// from one of the fake backend.
TEST_F(EngineTest, CancelsJobsThatAreNotResumed) {
  const job_ptr Job = makeJob("a", 40, 8);
  Engine.submit(Job);
  step();
  Engine.detachReader(Job, engine::attachReader(*Job, {}), Now);
  Engine.removeExpired(Now + std::chrono::seconds(29));
  EXPECT_GT(Engine.load().UsedBlocks, 0);
  Engine.removeExpired(Now + std::chrono::seconds(31));
  EXPECT_EQ(Engine.load().UsedBlocks, 0);
  EXPECT_EQ(Job->State, job_state::Cancelled);
}

// A resume arrives before the server detects that the old connection is broken. The late detection
// must not detach the new reader.
TEST_F(EngineTest, KeepsTheNewReaderWhenTheOldOneBreaks) {
  const job_ptr Job = makeJob("a", 40, 8);
  Engine.submit(Job);
  const auto OldReaderId = engine::attachReader(*Job, {});
  int Calls = 0;
  engine::attachReader(*Job, [&Calls] { ++Calls; });
  Engine.detachReader(Job, OldReaderId, Now);
  runToEnd();
  EXPECT_EQ(Calls, 8);
  EXPECT_FALSE(Job->UnreadSince);
}

RC_GTEST_PROP(EnginePropertyTest, ReleasesAllBlocks, ()) {
  engine Engine{smallLimits()};
  mono_time Now{};
  const int Events = *rc::gen::inRange(1, 120);
  for (int Event = 0; Event < Events; ++Event) {
    const std::string Attempt = std::to_string(*rc::gen::inRange(0, 20));
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
      Engine.submit(makeJob(Attempt, *rc::gen::inRange(1, 280), *rc::gen::inRange(1, 12),
                            *rc::gen::inRange<std::uint64_t>(1, 4)));
      break;
    case 1:
      Engine.cancel(Attempt, Now);
      break;
    case 2:
      Engine.importBlocks(Attempt, *rc::gen::inRange(0, 40), Now);
      break;
    case 3:
      if (const job_ptr Job = Engine.find(Attempt))
        Engine.detachReader(Job, Job->ReaderId, Now);
      break;
    default:
      if (Engine.beginStep())
        Engine.endStep(Now);
    }
    const engine_load Load = Engine.load();
    RC_ASSERT(Load.UsedBlocks >= 0);
    RC_ASSERT(Load.UsedBlocks + Load.CachedBlocks <= 64);
  }
  Now += std::chrono::seconds(31); // expires imports that were never used
  Engine.removeExpired(Now);
  while (Engine.beginStep())
    Engine.endStep(Now);
  RC_ASSERT(Engine.idle());
  RC_ASSERT(Engine.load().UsedBlocks == 0);
}

} // namespace
} // namespace pollenstall

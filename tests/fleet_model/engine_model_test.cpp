/** @file engine_model_test.cpp Tests the passes of a simulated engine. */
#include "fleet_model/fleet_model.h"
#include "placement/placer_fixture.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr double TokensPerEvent = 51;

engine_profile figures() {
  engine_profile Figures = placer_fixture::figures();
  Figures.BatchSlots = 4;
  return Figures;
}

/// An engine whose passes run back to back.
struct engine_model_test : testing::Test {
  engine_model Engine{figures(), TokensPerEvent};
  double Ms{0};

  static engine_job job(std::size_t JobId, double Prompt, std::uint32_t Events,
                        std::size_t PrefillEngines = 1) {
    engine_job Job;
    Job.JobId = JobId;
    Job.Prompt = Prompt;
    Job.Events = Events;
    Job.Answer = Events * TokensPerEvent;
    Job.PrefillEngines = PrefillEngines;
    return Job;
  }
  pass_outcome pass() {
    Ms += Engine.startPass();
    return Engine.finishPass();
  }
  /// Runs passes until one emits an event.
  pass_outcome untilEvent() {
    for (int Pass = 0; Pass < 1'000; ++Pass)
      if (pass_outcome Outcome = pass(); !Outcome.Events.empty())
        return Outcome;
    ADD_FAILURE() << "no event";
    return {};
  }
};

TEST_F(engine_model_test, PrefillsAPromptInChunksAndEmitsItsFirstEventAtOnce) {
  Engine.addJob(job(1, 5'000, 2));
  EXPECT_EQ(untilEvent().Events, std::vector<std::size_t>{1});
  EXPECT_NEAR(Ms, prefillMs(figures(), tokens(5'000)) + 3 * 0.85, 0.1);
}

TEST_F(engine_model_test, EmitsOneEventPerPass) {
  Engine.addJob(job(1, 1'000, 3));
  untilEvent();
  const double First = Ms;
  EXPECT_TRUE(pass().EndedJobs.empty());
  EXPECT_NEAR(Ms - First, 51 * (0.85 + 0.00425 + 0.00285 * 1.051), 0.1);
  EXPECT_EQ(pass().EndedJobs, std::vector<std::size_t>{1});
  EXPECT_FALSE(Engine.canStart());
}

// An engine prefills a long prompt while it decodes a stream. The pass takes as long as all of its
// prefill, which delays the next event of the stream.
TEST_F(engine_model_test, DelaysStreamsByPrefill) {
  Engine.addJob(job(1, 1'000, 9));
  untilEvent();
  Engine.addJob(job(2, 100'000, 1));
  const double Before = Ms;
  EXPECT_EQ(pass().Events.size(), 2U);
  EXPECT_GT(Ms - Before, prefillMs(figures(), tokens(100'000)));
}

TEST_F(engine_model_test, PrefillsRemotePartsBeforeItsOwnPrompts) {
  Engine.addJob(job(1, 2'048, 1));
  Engine.addRemotePart(7, 2'048, 50'000);
  const pass_outcome First = pass();
  EXPECT_EQ(First.PrefilledParts, std::vector<std::size_t>{7});
  EXPECT_TRUE(First.Events.empty()) << "one chunk per step";
  EXPECT_EQ(pass().Events, std::vector<std::size_t>{1});
}

TEST_F(engine_model_test, EmitsTheFirstEventAfterTheLastRemotePart) {
  Engine.addJob(job(1, 4'096, 2, 2));
  EXPECT_TRUE(pass().Events.empty()) << "the helper has not finished";
  EXPECT_FALSE(Engine.canStart());
  EXPECT_EQ(Engine.completeRemotePart(1).Events, std::vector<std::size_t>{1});
  EXPECT_TRUE(Engine.canStart());
}

TEST_F(engine_model_test, QueuesAPromptUntilMemoryIsFree) {
  Engine.addJob(job(1, 200'000, 1));
  Engine.addJob(job(2, 200'000, 1));
  EXPECT_EQ(untilEvent().EndedJobs, std::vector<std::size_t>{1});
  EXPECT_EQ(untilEvent().EndedJobs, std::vector<std::size_t>{2});
}

TEST_F(engine_model_test, CountsReservedMemory) {
  Engine.reserveMemory(9, 200'000);
  Engine.addJob(job(1, 200'000, 1));
  EXPECT_TRUE(pass().Events.empty());
  Engine.cancel(9);
  EXPECT_EQ(untilEvent().EndedJobs, std::vector<std::size_t>{1});
}

TEST_F(engine_model_test, PrefillsTheMostUrgentPromptFirst) {
  Engine.addJob(job(1, 2'048, 1));
  engine_job Urgent = job(2, 2'048, 1);
  Urgent.Urgency = 1;
  Engine.addJob(Urgent);
  EXPECT_EQ(pass().Events, std::vector<std::size_t>{2});
}

TEST_F(engine_model_test, HasNoWorkAfterAReset) {
  Engine.addJob(job(1, 200'000, 5));
  Engine.reserveMemory(3, 100'000);
  Engine.startPass();
  EXPECT_EQ(Engine.reset(), std::vector<std::size_t>{1});
  EXPECT_FALSE(Engine.canStart());
  Engine.addJob(job(2, 300'000, 1));
  EXPECT_EQ(untilEvent().EndedJobs, std::vector<std::size_t>{2});
}

} // namespace
} // namespace pollenstall

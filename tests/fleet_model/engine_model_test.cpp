/** @file engine_model_test.cpp Passes of one modelled engine, as engines' pages describe them. */
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

/// An engine whose passes are played one after the other.
struct an_engine : testing::Test {
  engine_model Engine{figures(), TokensPerEvent};
  double Ms{0};

  static engine_job job(std::size_t Number, double Prompt, std::uint32_t Events,
                        std::size_t Readers = 1) {
    engine_job Job;
    Job.Number = Number;
    Job.Prompt = Prompt;
    Job.Events = Events;
    Job.Answer = Events * TokensPerEvent;
    Job.Readers = Readers;
    return Job;
  }
  pass_outcome pass() {
    Ms += Engine.start();
    return Engine.finish();
  }
  /// Passes until one brings an event.
  pass_outcome untilEvent() {
    for (int Pass = 0; Pass < 1'000; ++Pass)
      if (pass_outcome Outcome = pass(); !Outcome.Events.empty())
        return Outcome;
    ADD_FAILURE() << "no event";
    return {};
  }
};

TEST_F(an_engine, ReadsAPromptInChunksAndWritesItsFirstEventAtOnce) {
  Engine.take(job(1, 5'000, 2));
  EXPECT_EQ(untilEvent().Events, std::vector<std::size_t>{1});
  EXPECT_NEAR(Ms, prefillMs(figures(), tokens(5'000)) + 3 * 0.85, 0.1);
}

TEST_F(an_engine, WritesOneEventInEachPass) {
  Engine.take(job(1, 1'000, 3));
  untilEvent();
  const double First = Ms;
  EXPECT_TRUE(pass().Ended.empty());
  EXPECT_NEAR(Ms - First, 51 * (0.85 + 0.00425 + 0.00285 * 1.051), 0.1);
  EXPECT_EQ(pass().Ended, std::vector<std::size_t>{1});
  EXPECT_FALSE(Engine.canStart());
}

// A long prompt is read on an engine that writes a stream. The pass lasts as long as all that is
// read in it, so that the stream's next event comes late by it.
TEST_F(an_engine, MakesItsStreamsWaitForWhatItReads) {
  Engine.take(job(1, 1'000, 9));
  untilEvent();
  Engine.take(job(2, 100'000, 1));
  const double Before = Ms;
  EXPECT_EQ(pass().Events.size(), 2U);
  EXPECT_GT(Ms - Before, prefillMs(figures(), tokens(100'000)));
}

TEST_F(an_engine, ReadsPartsForOthersBeforeItsOwnPrompts) {
  Engine.take(job(1, 2'048, 1));
  Engine.takePart(7, 2'048, 50'000);
  const pass_outcome First = pass();
  EXPECT_EQ(First.ReadParts, std::vector<std::size_t>{7});
  EXPECT_TRUE(First.Events.empty()) << "one chunk a step";
  EXPECT_EQ(pass().Events, std::vector<std::size_t>{1});
}

TEST_F(an_engine, WritesTheFirstEventOfAHelpedPromptWhenTheLastPartIsRead) {
  Engine.take(job(1, 4'096, 2, 2));
  EXPECT_TRUE(pass().Events.empty()) << "the helper is not done";
  EXPECT_FALSE(Engine.canStart());
  EXPECT_EQ(Engine.partRead(1).Events, std::vector<std::size_t>{1});
  EXPECT_TRUE(Engine.canStart());
}

TEST_F(an_engine, LetsAPromptWaitForMemory) {
  Engine.take(job(1, 200'000, 1));
  Engine.take(job(2, 200'000, 1));
  EXPECT_EQ(untilEvent().Ended, std::vector<std::size_t>{1});
  EXPECT_EQ(untilEvent().Ended, std::vector<std::size_t>{2});
}

TEST_F(an_engine, CountsMemoryThatIsHeldForOthers) {
  Engine.hold(9, 200'000);
  Engine.take(job(1, 200'000, 1));
  EXPECT_TRUE(pass().Events.empty());
  Engine.cancel(9);
  EXPECT_EQ(untilEvent().Ended, std::vector<std::size_t>{1});
}

TEST_F(an_engine, TakesTheMoreUrgentFirst) {
  Engine.take(job(1, 2'048, 1));
  engine_job Urgent = job(2, 2'048, 1);
  Urgent.Urgency = 1;
  Engine.take(Urgent);
  EXPECT_EQ(pass().Events, std::vector<std::size_t>{2});
}

TEST_F(an_engine, HoldsNothingAfterItsLoss) {
  Engine.take(job(1, 200'000, 5));
  Engine.hold(3, 100'000);
  Engine.start();
  EXPECT_EQ(Engine.lose(), std::vector<std::size_t>{1});
  EXPECT_FALSE(Engine.canStart());
  Engine.take(job(2, 300'000, 1));
  EXPECT_EQ(untilEvent().Ended, std::vector<std::size_t>{2});
}

} // namespace
} // namespace pollenstall

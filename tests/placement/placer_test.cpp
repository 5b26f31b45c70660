/** @file placer_test.cpp Tests of the placement of short, long and very large prompts. */
#include "placer_fixture.h"

#include <algorithm>

namespace pollenstall {
namespace {

TEST(PassModel, IncludesTheQuadraticCostOfAPrompt) {
  // 154,000 tokens take 870 ms for tokens and 2,182 ms for pairs of tokens.
  EXPECT_NEAR(prefillMs(placer_fixture::figures(), tokens(154'000)), 3'052, 2);
  EXPECT_NEAR(prefillMs(placer_fixture::figures(), tokens(5'000)), 30.5, 0.1);
  EXPECT_EQ(passMs(placer_fixture::figures(), 0, 0), 0);
  EXPECT_NEAR(passMs(placer_fixture::figures(), 10, 50'000), 52.8, 0.1);
}

TEST_F(placer_fixture, ShortPromptUsesOneEngine) {
  submitRequest(5'000);
  const auto NewPlacements = poll();
  ASSERT_EQ(NewPlacements.size(), 1U);
  EXPECT_TRUE(NewPlacements[0].Helpers.empty());
}

TEST_F(placer_fixture, LongPromptIsSplitAndInTime) {
  submitRequest(154'000);
  const auto NewPlacements = poll();
  ASSERT_EQ(NewPlacements.size(), 1U);
  EXPECT_EQ(NewPlacements[0].Helpers.size(), 16U);
  EXPECT_LT(NewPlacements[0].ExpectedFirstToken, 300ms);
}

// Six long prompts arrive within a tenth of a second. An engine processes a new part before a
// waiting part of another prompt, so with two of them it would finish the first one last, seconds
// late.
TEST_F(placer_fixture, EnginesReceiveOneLongPrefillAtATime) {
  std::map<backend_key, mono_time> BusyUntil;
  std::map<request_number, mono_time> DoneAt;
  std::size_t Started = 0;
  for (int Step = 0; Step < 400; ++Step) {
    if (Step % 2 == 0 && Step < 12)
      submitRequest(154'000);
    for (const work_placement &Placement : poll()) {
      ++Started;
      std::vector<backend_key> PrefillEngines = Placement.Helpers;
      PrefillEngines.push_back(Placement.Backend);
      const double PartMs =
          prefillMs(figures(), tokens(154'000)) / static_cast<double>(PrefillEngines.size());
      DoneAt[Placement.Request] = Now + std::chrono::milliseconds(static_cast<int>(PartMs));
      for (const backend_key &PrefillEngine : PrefillEngines) {
        EXPECT_LE(BusyUntil[PrefillEngine], Now + 31ms) << toText(PrefillEngine);
        BusyUntil[PrefillEngine] = Now + std::chrono::milliseconds(static_cast<int>(PartMs));
      }
    }
    Now += 10ms;
    for (const auto &[Request, Done] : DoneAt)
      if (Now >= Done)
        beginAnswer(Request);
  }
  EXPECT_EQ(Started, 6U);
}

// Some engines have streams. A part of a long prompt must not extend a pass beyond their allowed
// gap, as that would delay all streams for one prompt. Requests up to 60 are the streams; the check
// leaves out request 61, the long prompt.
TEST_F(placer_fixture, PrefillPartsStayWithinTheGapsOfStreams) {
  for (std::size_t Count = 0; Count < 60; ++Count) {
    submitRequest(5'000);
    for (const work_placement &Placement : poll())
      beginAnswer(Placement.Request);
    Now += 40ms;
  }
  submitRequest(154'000);
  for (int Step = 0; Step < 100; ++Step) {
    for (const work_placement &Placement : poll()) {
      const std::size_t PrefillEngines = Placement.Helpers.size() + 1;
      const double PartMs =
          prefillMs(figures(), tokens(154'000)) / static_cast<double>(PrefillEngines);
      const bool IsLongerThanTheGap = PartMs > 250 * 0.65;
      EXPECT_FALSE(IsLongerThanTheGap && Placement.Request.value() <= 60) << PartMs;
    }
    Now += 10ms;
  }
}

TEST_F(placer_fixture, ShortWorkIsPacked) {
  std::set<backend_key> UsedEngines;
  for (int Count = 0; Count < 24; ++Count) {
    submitRequest(3'000);
    for (const work_placement &Placement : poll()) {
      UsedEngines.insert(Placement.Backend);
      beginAnswer(Placement.Request);
    }
    Now += 60ms;
  }
  EXPECT_LE(UsedEngines.size(), 4U)
      << "two engines would suffice for 24 streams; up to four are accepted";
}

// After the failure of an entry, its callers resume their streams on this one at nearly the same
// time, and measure the time since their last event. If packed, two dozen streams would wait for
// each other on two engines. On the engines that can start first, they resume within a tenth of a
// second.
TEST_F(placer_fixture, ResumedStreamsUseTheEarliestEngines) {
  std::map<backend_key, int> Streams;
  for (int Count = 0; Count < 24; ++Count)
    submitRequest(5'000, 250ms, true);
  for (const work_placement &Placement : poll()) {
    ++Streams[Placement.Backend];
    EXPECT_LT(Placement.ExpectedFirstToken, 100ms);
  }
  EXPECT_EQ(Streams.size(), Engines);
}

// Answers to long prompts allow a gap of one second, so an engine that decodes one may prefill for
// half a second meanwhile. If the shortest gap of any route applied instead, each answer would
// occupy an engine alone.
TEST_F(placer_fixture, PrefillMayTakeAsLongAsTheGapsOfTheStreamsOnTheEngine) {
  const request_number DecodingRequest = submitRequest(20'000, 1000ms);
  const auto FirstPlacements = poll();
  ASSERT_EQ(FirstPlacements.size(), 1U);
  beginAnswer(DecodingRequest);
  removeAllExcept(FirstPlacements[0].Backend);
  submitRequest(50'000, 1000ms); // Takes 512 ms on one engine.
  EXPECT_EQ(poll().size(), 1U);
}

TEST_F(placer_fixture, EngineWithAShortGapStreamReceivesNoLongPrefill) {
  const request_number DecodingRequest = submitRequest(20'000, 250ms);
  const auto FirstPlacements = poll();
  ASSERT_EQ(FirstPlacements.size(), 1U);
  beginAnswer(DecodingRequest);
  removeAllExcept(FirstPlacements[0].Backend);
  submitRequest(50'000, 1000ms);
  EXPECT_TRUE(poll().empty());
}

// Five streams on one engine break off at the same time. This counts as one failure: as five
// consecutive ones, a reset of the connections would cause a backoff of eight seconds.
TEST_F(placer_fixture, FailuresDuringABackoffCountOnce) {
  std::vector<request_number> Streams;
  for (std::size_t Index = 1; Index < Engines; ++Index)
    Placer.removeBackend(makeListing(Index).Key);
  for (int Count = 0; Count < 5; ++Count) {
    Streams.push_back(submitRequest(1'000));
    ASSERT_EQ(poll().size(), 1U);
    beginAnswer(Streams.back());
  }
  for (const request_number Stream : Streams) {
    attempt_report Report;
    Report.Failure = attempt_failure::BrokenMidway;
    Placer.attemptEnded(attemptOf(Stream), Report, Now);
  }
  Placer.updateBackend(makeListing(1));
  Now += placement_tuning().FailureBackoff + 1ms;
  std::set<backend_key> UsedEngines;
  for (int Count = 0; Count < 20; ++Count) {
    submitRequest(1'000);
    for (const work_placement &Placement : poll())
      UsedEngines.insert(Placement.Backend);
  }
  EXPECT_TRUE(UsedEngines.contains(makeListing(0).Key));
}

// A caller that disconnects before its request is sent must not cause a backoff of the engine, nor
// the end of the entry that carried a connection.
TEST_F(placer_fixture, EndsOfOthersAreNoFailureOfTheEngine) {
  removeAllExcept(makeListing(0).Key);
  for (const attempt_failure Failure : {attempt_failure::NotWanted, attempt_failure::PathBroken}) {
    const request_number Request = submitRequest(1'000);
    ASSERT_EQ(poll().size(), 1U);
    attempt_report Report;
    Report.Failure = Failure;
    Placer.attemptEnded(attemptOf(Request), Report, Now);
  }
  submitRequest(1'000);
  EXPECT_EQ(poll().size(), 1U);
}

// An engine without power appears idle, so all short work would go there for the third of a second
// until a connection attempt times out. After its backoff it receives one request, and no other
// until that one is answered.
TEST_F(placer_fixture, FailedEngineReceivesOneTrialRequest) {
  const request_number FailedRequest = submitRequest(1'000);
  const auto FirstPlacements = poll();
  ASSERT_EQ(FirstPlacements.size(), 1U);
  attempt_report Report;
  Report.Failure = attempt_failure::NotConnected;
  Placer.attemptEnded(attemptOf(FailedRequest), Report, Now);
  Now += placement_tuning().FailureBackoff + 1ms;
  std::vector<request_number> TrialRequests;
  for (int Count = 0; Count < 40; ++Count) {
    const request_number Number = submitRequest(1'000);
    for (const work_placement &Placement : poll())
      if (Placement.Backend == FirstPlacements[0].Backend)
        TrialRequests.push_back(Number);
  }
  ASSERT_EQ(TrialRequests.size(), 1U);
  beginAnswer(TrialRequests[0]);
  std::size_t LaterCount = 0;
  for (int Count = 0; Count < 40; ++Count) {
    submitRequest(1'000);
    for (const work_placement &Placement : poll())
      LaterCount += Placement.Backend == FirstPlacements[0].Backend ? 1 : 0;
  }
  EXPECT_GT(LaterCount, 1U);
}

// Another entry has just placed a long prefill on most engines. This entry must not use them too.
TEST_F(placer_fixture, WorkOfOtherEntriesCounts) {
  std::vector<work_load> Loads;
  for (std::size_t Index = 0; Index < 15; ++Index)
    Loads.push_back({makeListing(Index).Key.Incarnation, 0, 0, 400, 0});
  setOthersLoads(Loads);
  submitRequest(154'000);
  const auto NewPlacements = poll();
  ASSERT_EQ(NewPlacements.size(), 1U);
  EXPECT_EQ(NewPlacements[0].Helpers.size(), 2U)
      << "five engines are free, and two of them are kept for short work";
  for (const backend_key &Helper : NewPlacements[0].Helpers)
    for (const work_load &Load : Loads)
      EXPECT_NE(Helper.Incarnation, Load.Incarnation);
}

/// Two entries that exchange their loads only between polls.
struct two_entries_fixture : placer_fixture {
  placer Other{host_name("entry-2"), 2};

  void SetUp() override {
    placer_fixture::SetUp();
    Other.applyDeclaration(declaration());
    for (std::size_t Index = 0; Index < Engines; ++Index)
      Other.updateBackend(makeListing(Index));
  }
  /// Sends the loads of each entry to the other one.
  void exchangeLoads() {
    const auto PlacerLoads = Placer.ownLoads(Now);
    setOthersLoads(Other.ownLoads(Now));
    setOthersLoadsAt(Other, PlacerLoads, Now);
  }
  /// Returns the number of engines that are part of more than one placement.
  static std::size_t sharedEngineCount(const std::vector<work_placement> &Placements) {
    std::map<backend_key, int> Count;
    for (const work_placement &Placement : Placements) {
      ++Count[Placement.Backend];
      for (const backend_key &Helper : Placement.Helpers)
        ++Count[Helper];
    }
    return static_cast<std::size_t>(std::count_if(
        Count.begin(), Count.end(), [](const auto &Item) { return Item.second > 1; }));
  }
};

// A long prompt arrives at each of two entries at the same time, and both see the same idle
// engines. At least one prompt is placed, and the other one on different engines or later, so that
// neither waits for the whole prefill of the other on an engine.
TEST_F(two_entries_fixture, DoNotPlaceTwoPrefillsOnOneEngine) {
  const request_number Request = submitRequest(154'000);
  EXPECT_TRUE(succeeded(Other.submit(Items.at(Request), Now)));
  std::vector<work_placement> NewPlacements;
  const auto PollBoth = [&] {
    for (placer *Entry : {&Placer, &Other})
      for (const work_placement &Placement : Entry->poll(Now).Placements) {
        Entry->attemptStarted(attemptOf(Placement.Request), Items.at(Request), Placement.Backend,
                              Now);
        NewPlacements.push_back(Placement);
      }
  };
  PollBoth();
  Now += 2ms;
  exchangeLoads();
  Now += load_exchange_properties().ClaimDelay;
  PollBoth();
  exchangeLoads();
  EXPECT_GE(NewPlacements.size(), 1U) << "one entry keeps its claim";
  Now += load_exchange_properties().ClaimDelay;
  PollBoth();
  EXPECT_EQ(sharedEngineCount(NewPlacements), 0U);
}

// A claim without a conflict takes effect after the claim delay, and its engines stay reserved
// until then. The claim of a withdrawn request is dropped.
TEST_F(placer_fixture, ClaimTakesEffectAfterItsDelay) {
  const request_number Request = submitRequest(154'000);
  EXPECT_TRUE(pollOnce().empty());
  EXPECT_FALSE(Placer.ownLoads(Now).empty()) << "the claim is published before it takes effect";
  ASSERT_TRUE(Placer.nextWake());
  EXPECT_EQ(*Placer.nextWake(), Now + load_exchange_properties().ClaimDelay);
  Now = *Placer.nextWake();
  EXPECT_EQ(pollOnce().size(), 1U);
  completeAttempt(Request);
  const request_number AbandonedRequest = submitRequest(154'000);
  EXPECT_TRUE(pollOnce().empty());
  Placer.withdraw(AbandonedRequest);
  EXPECT_TRUE(Placer.ownLoads(Now).empty());
  Now += load_exchange_properties().ClaimDelay;
  EXPECT_TRUE(pollOnce().empty());
}

// If an engine of a claim leaves before the claim takes effect, the work is placed elsewhere.
TEST_F(placer_fixture, ClaimMovesToOtherEnginesIfAnEngineLeaves) {
  submitRequest(154'000);
  EXPECT_TRUE(pollOnce().empty());
  for (std::size_t Index = 0; Index < Engines; Index += 2)
    Placer.removeBackend(makeListing(Index).Key);
  Now += load_exchange_properties().ClaimDelay;
  EXPECT_TRUE(pollOnce().empty());
  Now += load_exchange_properties().ClaimDelay;
  const auto NewPlacements = pollOnce();
  ASSERT_EQ(NewPlacements.size(), 1U);
  EXPECT_LT(NewPlacements[0].Helpers.size(), Engines / 2);
}

TEST_F(placer_fixture, LoadsOfASilentEntryAreIgnored) {
  std::vector<work_load> Loads;
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Loads.push_back({makeListing(Index).Key.Incarnation, 16, 16, 5'000, 300'000});
  setOthersLoads(Loads);
  submitRequest(5'000);
  EXPECT_TRUE(poll().empty());
  Now += 1100ms;
  EXPECT_EQ(poll().size(), 1U);
}

// A prompt that takes 33 engine-seconds arrives at an idle fleet. Split over all seventeen engines,
// its prefill takes two seconds, in which each short prompt finds every engine busy and misses its
// target. With two engines left out, the following short prompts start immediately.
TEST_F(placer_fixture, VeryLongPromptKeepsHeadroomForShortOnes) {
  for (std::size_t Index = 17; Index < Engines; ++Index)
    Placer.removeBackend(makeListing(Index).Key);
  submitRequest(570'000, 1'000ms);
  const auto LongPlacements = poll();
  ASSERT_EQ(LongPlacements.size(), 1U);
  EXPECT_EQ(LongPlacements[0].Helpers.size(), 14U);
  for (int Count = 0; Count < 10; ++Count) {
    Now += 50ms;
    submitRequest(5'000);
    const auto NewPlacements = poll();
    ASSERT_EQ(NewPlacements.size(), 1U) << Count;
    EXPECT_LT(NewPlacements[0].ExpectedFirstToken, 200ms);
    beginAnswer(NewPlacements[0].Request);
  }
}

// With few engines, none is kept free, as a long prompt would wait forever otherwise.
TEST_F(placer_fixture, LongPromptRunsOnTheOnlyEngine) {
  removeAllExcept(makeListing(3).Key);
  submitRequest(60'000, 1'000ms);
  EXPECT_EQ(poll().size(), 1U);
}

// If a prompt exceeds the memory of one engine, the first engine holds as much as it can and others
// hold the rest. No engine is asked for more than it has.
TEST_F(placer_fixture, PromptLargerThanOneEnginesMemoryIsHeldBySeveral) {
  submitRequest(500'000);
  const auto NewPlacements = poll();
  ASSERT_EQ(NewPlacements.size(), 1U);
  ASSERT_FALSE(NewPlacements[0].Holds.empty());
  std::int64_t HeldTokenSum = 0;
  for (const memory_hold &Hold : NewPlacements[0].Holds) {
    EXPECT_LE(Hold.Amount.value(), 315'000);
    EXPECT_NE(Hold.Backend, NewPlacements[0].Backend);
    EXPECT_NE(
        std::find(NewPlacements[0].Helpers.begin(), NewPlacements[0].Helpers.end(), Hold.Backend),
        NewPlacements[0].Helpers.end());
    HeldTokenSum += Hold.Amount.value();
  }
  EXPECT_GE(HeldTokenSum + 315'000, 501'000);
}

TEST_F(placer_fixture, PromptLargerThanAllMemoryIsRefused) {
  work_item Item;
  Item.Request = request_number(1);
  Item.Groups = {{group_name("llm"), 1}};
  Item.Prompt = tokens(2'000'000);
  Item.Arrived = Now;
  Item.Deadline = Now + 10s;
  const auto Result = Placer.submit(Item, Now);
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result).Reason, failure_reason::TooLargeForFleet);
}

TEST_F(placer_fixture, FailedEngineIsInBackoff) {
  submitRequest(5'000);
  const auto FirstPlacements = poll();
  ASSERT_EQ(FirstPlacements.size(), 1U);
  attempt_report Report;
  Report.Failure = attempt_failure::NotConnected;
  Placer.attemptEnded(attemptOf(FirstPlacements[0].Request), Report, Now);
  for (int Count = 0; Count < 10; ++Count) {
    submitRequest(5'000);
    for (const work_placement &Placement : poll())
      EXPECT_NE(Placement.Backend, FirstPlacements[0].Backend);
  }
}

// After the failure of a helper, the answering engine declines and names the helper. The next
// attempt, which is the last one, would be declined too if it used the same helper.
TEST_F(placer_fixture, HelperAtFaultIsInBackoff) {
  submitRequest(154'000);
  const auto FirstPlacements = poll();
  ASSERT_EQ(FirstPlacements.size(), 1U);
  const backend_key DeadHelper = FirstPlacements[0].Helpers.front();
  attempt_report Report;
  Report.Failure = attempt_failure::Declined;
  Report.AtFault = DeadHelper.Address;
  Placer.attemptEnded(attemptOf(FirstPlacements[0].Request), Report, Now);
  submitRequest(154'000);
  const auto SecondPlacements = poll();
  ASSERT_EQ(SecondPlacements.size(), 1U);
  EXPECT_NE(SecondPlacements[0].Backend, DeadHelper);
  EXPECT_EQ(std::count(SecondPlacements[0].Helpers.begin(), SecondPlacements[0].Helpers.end(),
                       DeadHelper),
            0);
}

// An attempt ends 3.5 s after the request arrived, in the middle of the answer; completeAttempt()
// stands for the failure of its engine. Another engine must resume it immediately; the age of the
// request is no reason to refuse it. If no engine is free, it keeps waiting, because a refusal
// would truncate an answer that the caller has half of.
TEST_F(placer_fixture, ResumedAnswerIsNotRefusedForItsAge) {
  const request_number Request = submitRequest(5'000);
  ASSERT_EQ(poll().size(), 1U);
  beginAnswer(Request);
  Now += 3500ms;
  completeAttempt(Request);
  work_item ResumedItem = Items.at(Request);
  ResumedItem.Resumed = true;
  std::vector<work_load> Loads;
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Loads.push_back({makeListing(Index).Key.Incarnation, 16, 16, 5'000, 300'000});
  setOthersLoads(Loads);
  EXPECT_TRUE(succeeded(Placer.submit(ResumedItem, Now)));
  EXPECT_TRUE(Placer.poll(Now).Expiries.empty());
  setOthersLoads({});
  EXPECT_EQ(poll().size(), 1U);
}

// The first attempt ends after 3.5 s without any byte of an answer; completeAttempt() stands for
// its failure. The second attempt has the same maximum wait as the first.
TEST_F(placer_fixture, RetryHasItsOwnWaitTime) {
  const request_number Request = submitRequest(5'000);
  ASSERT_EQ(poll().size(), 1U);
  Now += 3500ms;
  completeAttempt(Request);
  EXPECT_TRUE(succeeded(Placer.submit(Items.at(Request), Now)));
  const poll_outcome Outcome = Placer.poll(Now);
  EXPECT_TRUE(Outcome.Expiries.empty());
  EXPECT_EQ(Outcome.Placements.size(), 1U);
}

TEST_F(placer_fixture, RequestWithoutAFreeSlotIsRefusedWithARetryTime) {
  std::vector<work_load> Loads;
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Loads.push_back({makeListing(Index).Key.Incarnation, 16, 16, 0, 300'000});
  submitRequest(5'000);
  for (int Step = 0; Step < 35; ++Step) {
    setOthersLoads(Loads);
    const poll_outcome Outcome = Placer.poll(Now);
    EXPECT_TRUE(Outcome.Placements.empty());
    if (!Outcome.Expiries.empty()) {
      EXPECT_TRUE(Outcome.Expiries[0].Refusal.RetryAfter.has_value());
      return;
    }
    Now += 100ms;
  }
  ADD_FAILURE() << "the request was never refused";
}

/// One engine and a waiting short prompt. In retryAfterRefusal(), the prefill of another entry
/// occupies the engine and the prompt is refused.
struct refused_request_fixture : placer_fixture {
  void SetUp() override {
    placer_fixture::SetUp();
    removeAllExcept(makeListing(0).Key);
    submitRequest(5'000);
  }
  /// @param PrefillMs Prefill still pending on the engine when the request is refused, after 0.3 of
  /// its 10 s.
  std::chrono::seconds retryAfterRefusal(std::uint32_t PrefillMs) {
    Now += 3s;
    setOthersLoads({{makeListing(0).Key.Incarnation, 1, 0, PrefillMs, 200'000, 0}});
    const poll_outcome Outcome = Placer.poll(Now);
    EXPECT_EQ(Outcome.Expiries.size(), 1U);
    return Outcome.Expiries.at(0).Refusal.RetryAfter.value();
  }
};

// A prompt with some seconds of pending prefill occupies the only engine. If the caller retried
// after one second, it would wait again for 0.3 of its time and finally be refused.
TEST_F(refused_request_fixture, MayRetryWhenTheWorkAheadIsDone) {
  EXPECT_EQ(retryAfterRefusal(2'200), 2s);
}

// The caller retries only within a third of its remaining 7 s.
TEST_F(refused_request_fixture, MayRetryWithinTheTimeLimitOfItsCaller) {
  EXPECT_EQ(retryAfterRefusal(60'000), 2s);
}

TEST_F(refused_request_fixture, MayRetrySoonIfLittleWorkIsAhead) {
  EXPECT_EQ(retryAfterRefusal(400), 1s);
}

} // namespace
} // namespace pollenstall

/** @file placer_test.cpp Long prompts among short ones, several entries, and what no engine can
 * keep. */
#include "placer_story.h"

#include <algorithm>

namespace pollenstall {
namespace {

TEST(APassModel, CountsThePairsOfAPrompt) {
  // 154,000 tokens: 870 ms of tokens and 2,182 ms of pairs.
  EXPECT_NEAR(readMs(placer_story::figures(), tokens(154'000)), 3'052, 2);
  EXPECT_NEAR(readMs(placer_story::figures(), tokens(5'000)), 30.5, 0.1);
  EXPECT_EQ(passMs(placer_story::figures(), 0, 0), 0);
  EXPECT_NEAR(passMs(placer_story::figures(), 10, 50'000), 52.8, 0.1);
}

TEST_F(placer_story, AShortPromptIsReadByOneEngine) {
  arrive(5'000);
  const auto Placed = poll();
  ASSERT_EQ(Placed.size(), 1U);
  EXPECT_TRUE(Placed[0].Helpers.empty());
}

TEST_F(placer_story, ALongPromptIsReadByManyAndInTime) {
  arrive(154'000);
  const auto Placed = poll();
  ASSERT_EQ(Placed.size(), 1U);
  EXPECT_EQ(Placed[0].Helpers.size(), 16U);
  EXPECT_LT(Placed[0].ExpectedFirstToken, 300ms);
}

// Six long prompts come within a tenth of a second. Parts for one prompt go ahead of another's that
// waits at the same engine: an engine with two of them finishes the first one last, seconds late.
TEST_F(placer_story, NoEngineIsGivenASecondLongReadBeforeTheFirstIsDone) {
  std::map<backend_key, mono_time> BusyUntil;
  std::map<request_number, mono_time> DoneAt;
  std::size_t Started = 0;
  for (int Step = 0; Step < 400; ++Step) {
    if (Step % 2 == 0 && Step < 12)
      arrive(154'000);
    for (const work_placement &Placement : poll()) {
      ++Started;
      std::vector<backend_key> Readers = Placement.Helpers;
      Readers.push_back(Placement.Backend);
      const double Part = readMs(figures(), tokens(154'000)) / static_cast<double>(Readers.size());
      DoneAt[Placement.Request] = Now + std::chrono::milliseconds(static_cast<int>(Part));
      for (const backend_key &Reader : Readers) {
        EXPECT_LE(BusyUntil[Reader], Now + 31ms) << toText(Reader);
        BusyUntil[Reader] = Now + std::chrono::milliseconds(static_cast<int>(Part));
      }
    }
    Now += 10ms;
    for (const auto &[Request, Done] : DoneAt)
      if (Now >= Done)
        answer(Request);
  }
  EXPECT_EQ(Started, 6U);
}

// Streams run on every engine. A part of a long prompt must not make a pass longer than they may
// pause: all of them would be late for the sake of one.
TEST_F(placer_story, NoPartOutlastsThePauseOfAStream) {
  for (std::size_t Count = 0; Count < 60; ++Count) {
    arrive(5'000);
    for (const work_placement &Placement : poll())
      answer(Placement.Request);
    Now += 40ms;
  }
  arrive(154'000);
  for (int Step = 0; Step < 100; ++Step) {
    for (const work_placement &Placement : poll()) {
      const std::size_t Readers = Placement.Helpers.size() + 1;
      const double Part = readMs(figures(), tokens(154'000)) / static_cast<double>(Readers);
      const bool Alone = Part > 250 * 0.65;
      EXPECT_FALSE(Alone && Placement.Request.value() <= 60) << Part;
    }
    Now += 10ms;
  }
}

TEST_F(placer_story, ShortWorkIsPackedSoThatEnginesStayFree) {
  std::set<backend_key> Used;
  for (int Count = 0; Count < 24; ++Count) {
    arrive(3'000);
    for (const work_placement &Placement : poll()) {
      Used.insert(Placement.Backend);
      answer(Placement.Request);
    }
    Now += 60ms;
  }
  EXPECT_LE(Used.size(), 4U) << "24 streams have room on two engines";
}

// An entry dies. Its callers come back to this one within a moment, and count the time since their
// last event. Packed, two dozen would wait for each other on two engines; they go on in a tenth of
// a second where each takes the engine that can begin first.
TEST_F(placer_story, StreamsThatBrokeOffGoOnWhereTheyCanFirst) {
  std::map<backend_key, int> Streams;
  for (int Count = 0; Count < 24; ++Count)
    arrive(5'000, 250ms, true);
  for (const work_placement &Placement : poll()) {
    ++Streams[Placement.Backend];
    EXPECT_LT(Placement.ExpectedFirstToken, 100ms);
  }
  EXPECT_EQ(Streams.size(), Engines);
}

// Long prompts are answered with a second between events at most, and an engine that writes one of
// them may read for half a second beside it. Kept from that by the shortest gap of any route, each
// answer took an engine for itself.
TEST_F(placer_story, AnEngineReadsBesideItsStreamsAsLongAsTheirOwnGapsAllow) {
  const request_number Writes = arrive(20'000, 1000ms);
  const auto First = poll();
  ASSERT_EQ(First.size(), 1U);
  answer(Writes);
  keepOnly(First[0].Backend);
  arrive(50'000, 1000ms); // 512 ms alone
  EXPECT_EQ(poll().size(), 1U);
}

TEST_F(placer_story, AnEngineThatWritesAShortAnswerReadsNothingLong) {
  const request_number Writes = arrive(20'000, 250ms);
  const auto First = poll();
  ASSERT_EQ(First.size(), 1U);
  answer(Writes);
  keepOnly(First[0].Backend);
  arrive(50'000, 1000ms);
  EXPECT_TRUE(poll().empty());
}

// Five streams break off on one engine in the same moment. That is one failure of the engine: taken
// for five in a row, a reset of its connections would keep it from all work for eight seconds.
TEST_F(placer_story, FailuresWhileAnEnginePausesCountOnce) {
  std::vector<request_number> Streams;
  for (std::size_t Place = 1; Place < Engines; ++Place)
    Placer.removeBackend(listing(Place).Key);
  for (int Count = 0; Count < 5; ++Count) {
    Streams.push_back(arrive(1'000));
    ASSERT_EQ(poll().size(), 1U);
    answer(Streams.back());
  }
  for (const request_number Stream : Streams) {
    attempt_report Report;
    Report.Failure = attempt_failure::BrokenMidway;
    Placer.attemptEnded(attempt(Stream), Report, Now);
  }
  Placer.updateBackend(listing(1));
  Now += placement_tuning().FailurePause + 1ms;
  std::set<backend_key> Used;
  for (int Count = 0; Count < 20; ++Count) {
    arrive(1'000);
    for (const work_placement &Placement : poll())
      Used.insert(Placement.Backend);
  }
  EXPECT_TRUE(Used.contains(listing(0).Key));
}

// Guards against engines that are paused because callers leave before their requests are sent.
TEST_F(placer_story, AnEngineIsNotBlamedForARequestThatNobodyWaitsFor) {
  keepOnly(listing(0).Key);
  const request_number Left = arrive(1'000);
  ASSERT_EQ(poll().size(), 1U);
  attempt_report Report;
  Report.Failure = attempt_failure::NotWanted;
  Placer.attemptEnded(attempt(Left), Report, Now);
  arrive(1'000);
  EXPECT_EQ(poll().size(), 1U);
}

// An engine without power seems free of work, so that all short work would go there in the third of
// a second until the next connection fails. After its pause it gets one request, and no other
// before that one was answered.
TEST_F(placer_story, AnEngineThatFailedIsTriedWithOneRequest) {
  const request_number Broken = arrive(1'000);
  const auto First = poll();
  ASSERT_EQ(First.size(), 1U);
  attempt_report Report;
  Report.Failure = attempt_failure::NotConnected;
  Placer.attemptEnded(attempt(Broken), Report, Now);
  Now += placement_tuning().FailurePause + 1ms;
  std::vector<request_number> Trials;
  for (int Count = 0; Count < 40; ++Count) {
    const request_number Number = arrive(1'000);
    for (const work_placement &Placement : poll())
      if (Placement.Backend == First[0].Backend)
        Trials.push_back(Number);
  }
  ASSERT_EQ(Trials.size(), 1U);
  answer(Trials[0]);
  std::size_t Later = 0;
  for (int Count = 0; Count < 40; ++Count) {
    arrive(1'000);
    for (const work_placement &Placement : poll())
      Later += Placement.Backend == First[0].Backend ? 1 : 0;
  }
  EXPECT_GT(Later, 1U);
}

// Another entry has just put a long read on most engines. This one must not book them again.
TEST_F(placer_story, WhatOtherEntriesHaveUnderWayCounts) {
  std::vector<work_load> Loads;
  for (std::size_t Place = 0; Place < 15; ++Place)
    Loads.push_back({listing(Place).Key.Incarnation, 0, 0, 400, 0});
  others(Loads);
  arrive(154'000);
  const auto Placed = poll();
  ASSERT_EQ(Placed.size(), 1U);
  EXPECT_EQ(Placed[0].Helpers.size(), 2U)
      << "five are free, and two of them stay so for short work";
  for (const backend_key &Helper : Placed[0].Helpers)
    for (const work_load &Load : Loads)
      EXPECT_NE(Helper.Incarnation, Load.Incarnation);
}

/// Two entries that hear of each other only between polls.
struct two_entries : placer_story {
  placer Other{host_name("entry-2"), 2};

  void SetUp() override {
    placer_story::SetUp();
    Other.applyDeclaration(declaration());
    for (std::size_t Place = 0; Place < Engines; ++Place)
      Other.updateBackend(listing(Place));
  }
  /// Each hears what the other one has under way.
  void tell() {
    const auto Mine = Placer.ownLoads(Now);
    others(Other.ownLoads(Now));
    tellOthers(Other, Mine, Now);
  }
  /// @return How many engines were given parts of more than one of these.
  static std::size_t shared(const std::vector<work_placement> &Placements) {
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

// A long prompt comes to each of two entries in the same moment, and both see the same idle
// engines. One of them is to be read at once; the other caller waits until engines are free, and
// neither finds its first token behind the other's whole prompt.
TEST_F(two_entries, DoNotReadTwoPromptsOnOneEngine) {
  const request_number Request = arrive(154'000);
  EXPECT_TRUE(succeeded(Other.submit(Items.at(Request), Now)));
  std::vector<work_placement> Placed;
  const auto Poll = [&] {
    for (placer *Entry : {&Placer, &Other})
      for (const work_placement &Placement : Entry->poll(Now).Placements) {
        Entry->attemptStarted(attempt(Placement.Request), Items.at(Request), Placement.Backend,
                              Now);
        Placed.push_back(Placement);
      }
  };
  Poll();
  Now += 2ms;
  tell();
  Now += exchange_facts().ClaimSpan;
  Poll();
  tell();
  EXPECT_GE(Placed.size(), 1U) << "one of them goes on";
  Now += exchange_facts().ClaimSpan;
  Poll();
  EXPECT_EQ(shared(Placed), 0U);
}

// A claim that nobody else has told of is acted upon once its time is over, and its engine is not
// given away meanwhile. One whose caller has left is forgotten.
TEST_F(placer_story, AClaimHoldsAfterItsTime) {
  const request_number Request = arrive(154'000);
  EXPECT_TRUE(pollOnce().empty());
  EXPECT_FALSE(Placer.ownLoads(Now).empty()) << "the others are told before it starts";
  ASSERT_TRUE(Placer.nextWake());
  EXPECT_EQ(*Placer.nextWake(), Now + exchange_facts().ClaimSpan);
  Now = *Placer.nextWake();
  EXPECT_EQ(pollOnce().size(), 1U);
  end(Request);
  const request_number Left = arrive(154'000);
  EXPECT_TRUE(pollOnce().empty());
  Placer.withdraw(Left);
  EXPECT_TRUE(Placer.ownLoads(Now).empty());
  Now += exchange_facts().ClaimSpan;
  EXPECT_TRUE(pollOnce().empty());
}

// The engine that a claim named leaves before it is acted upon: the work is placed elsewhere.
TEST_F(placer_story, AClaimOnAnEngineThatLeavesIsMadeAnew) {
  arrive(154'000);
  EXPECT_TRUE(pollOnce().empty());
  for (std::size_t Place = 0; Place < Engines; Place += 2)
    Placer.removeBackend(listing(Place).Key);
  Now += exchange_facts().ClaimSpan;
  EXPECT_TRUE(pollOnce().empty());
  Now += exchange_facts().ClaimSpan;
  const auto Placed = pollOnce();
  ASSERT_EQ(Placed.size(), 1U);
  EXPECT_LT(Placed[0].Helpers.size(), Engines / 2);
}

TEST_F(placer_story, ASilentEntrysWorkCountsNoLonger) {
  std::vector<work_load> Loads;
  for (std::size_t Place = 0; Place < Engines; ++Place)
    Loads.push_back({listing(Place).Key.Incarnation, 16, 16, 5'000, 300'000});
  others(Loads);
  arrive(5'000);
  EXPECT_TRUE(poll().empty());
  Now += 1100ms;
  EXPECT_EQ(poll().size(), 1U);
}

// The fleet is idle, and a prompt that takes 33 engine-seconds comes. Read by all seventeen engines
// it would be done in two seconds, in which each short prompt finds every engine busy, waits for
// its whole target and is late. Two engines are left out of it: the short ones that follow begin at
// once.
TEST_F(placer_story, AnEnormousPromptLeavesRoomForShortOnes) {
  for (std::size_t Place = 17; Place < Engines; ++Place)
    Placer.removeBackend(listing(Place).Key);
  arrive(570'000, 1'000ms);
  const auto Enormous = poll();
  ASSERT_EQ(Enormous.size(), 1U);
  EXPECT_EQ(Enormous[0].Helpers.size(), 14U);
  for (int Count = 0; Count < 10; ++Count) {
    Now += 50ms;
    arrive(5'000);
    const auto Placed = poll();
    ASSERT_EQ(Placed.size(), 1U) << Count;
    EXPECT_LT(Placed[0].ExpectedFirstToken, 200ms);
    answer(Placed[0].Request);
  }
}

// Of a few engines none is kept back: a long prompt would wait for good.
TEST_F(placer_story, ALongPromptRunsWhereThereIsOneEngineOnly) {
  keepOnly(listing(3).Key);
  arrive(60'000, 1'000ms);
  EXPECT_EQ(poll().size(), 1U);
}

// A prompt that no engine can keep: the first one keeps what it can, others the rest, and no engine
// is asked for more than it has.
TEST_F(placer_story, APromptOverOneEnginesMemoryIsKeptBySeveral) {
  arrive(500'000);
  const auto Placed = poll();
  ASSERT_EQ(Placed.size(), 1U);
  ASSERT_FALSE(Placed[0].Holds.empty());
  std::int64_t Held = 0;
  for (const memory_hold &Hold : Placed[0].Holds) {
    EXPECT_LE(Hold.Amount.value(), 315'000);
    EXPECT_NE(Hold.Backend, Placed[0].Backend);
    EXPECT_NE(std::find(Placed[0].Helpers.begin(), Placed[0].Helpers.end(), Hold.Backend),
              Placed[0].Helpers.end());
    Held += Hold.Amount.value();
  }
  EXPECT_GE(Held + 315'000, 501'000);
}

TEST_F(placer_story, APromptOverAllMemoryIsRefusedAtOnce) {
  work_item Item;
  Item.Request = request_number(1);
  Item.Groups = {{group_name("llm"), 1}};
  Item.Prompt = tokens(2'000'000);
  Item.Arrived = Now;
  Item.Deadline = Now + 10s;
  const auto Refused = Placer.submit(Item, Now);
  ASSERT_FALSE(succeeded(Refused));
  EXPECT_EQ(errorOf(Refused).Reason, failure_reason::TooLargeForFleet);
}

TEST_F(placer_story, AnEngineThatFailsIsLeftAloneForAWhile) {
  arrive(5'000);
  const auto First = poll();
  ASSERT_EQ(First.size(), 1U);
  attempt_report Report;
  Report.Failure = attempt_failure::NotConnected;
  Placer.attemptEnded(attempt(First[0].Request), Report, Now);
  for (int Count = 0; Count < 10; ++Count) {
    arrive(5'000);
    for (const work_placement &Placement : poll())
      EXPECT_NE(Placement.Backend, First[0].Backend);
  }
}

// A helper has died. The engine that was to answer refuses and names it: another attempt with the
// same helper would be refused in the same way, and that was the last one.
TEST_F(placer_story, AHelperThatIsNamedAsTheCauseIsLeftAlone) {
  arrive(154'000);
  const auto First = poll();
  ASSERT_EQ(First.size(), 1U);
  const backend_key Dead = First[0].Helpers.front();
  attempt_report Report;
  Report.Failure = attempt_failure::Declined;
  Report.AtFault = Dead.Address;
  Placer.attemptEnded(attempt(First[0].Request), Report, Now);
  arrive(154'000);
  const auto Second = poll();
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_NE(Second[0].Backend, Dead);
  EXPECT_EQ(std::count(Second[0].Helpers.begin(), Second[0].Helpers.end(), Dead), 0);
}

// An engine dies 3.5 s after the request came, in the middle of its answer. The rest is to come
// from another engine at once; the time that the request has had already is no reason to refuse it.
// Where no engine is free it goes on waiting: a refusal would cut an answer that the caller has
// half of.
TEST_F(placer_story, AnAnswerThatBreaksOffLateIsNotRefusedForItsAge) {
  const request_number Request = arrive(5'000);
  ASSERT_EQ(poll().size(), 1U);
  answer(Request);
  Now += 3500ms;
  end(Request);
  work_item Rest = Items.at(Request);
  Rest.Resumed = true;
  std::vector<work_load> Loads;
  for (std::size_t Place = 0; Place < Engines; ++Place)
    Loads.push_back({listing(Place).Key.Incarnation, 16, 16, 5'000, 300'000});
  others(Loads);
  EXPECT_TRUE(succeeded(Placer.submit(Rest, Now)));
  EXPECT_TRUE(Placer.poll(Now).Expiries.empty());
  others({});
  EXPECT_EQ(poll().size(), 1U);
}

// The first attempt failed after 3.5 s without a byte of an answer. The second one may wait as long
// as the first one could have.
TEST_F(placer_story, ASecondAttemptHasItsOwnTimeToWait) {
  const request_number Request = arrive(5'000);
  ASSERT_EQ(poll().size(), 1U);
  Now += 3500ms;
  end(Request);
  EXPECT_TRUE(succeeded(Placer.submit(Items.at(Request), Now)));
  const poll_outcome Outcome = Placer.poll(Now);
  EXPECT_TRUE(Outcome.Expiries.empty());
  EXPECT_EQ(Outcome.Placements.size(), 1U);
}

TEST_F(placer_story, WhatFindsNoPlaceIsRefusedWithATimeToComeBack) {
  std::vector<work_load> Loads;
  for (std::size_t Place = 0; Place < Engines; ++Place)
    Loads.push_back({listing(Place).Key.Incarnation, 16, 16, 0, 300'000});
  arrive(5'000);
  for (int Step = 0; Step < 35; ++Step) {
    others(Loads);
    const poll_outcome Outcome = Placer.poll(Now);
    EXPECT_TRUE(Outcome.Placements.empty());
    if (!Outcome.Expiries.empty()) {
      EXPECT_TRUE(Outcome.Expiries[0].Refusal.RetryAfter.has_value());
      return;
    }
    Now += 100ms;
  }
  ADD_FAILURE() << "it waits for good";
}

/// One engine is left and reads for another entry; a short prompt waits until it is refused.
struct refused_work : placer_story {
  void SetUp() override {
    placer_story::SetUp();
    keepOnly(listing(0).Key);
    arrive(5'000);
  }
  /// @param ReadMs What the engine still has to read when 0.3 of the request's 10 s have passed.
  std::chrono::seconds toldToReturn(std::uint32_t ReadMs) {
    Now += 3s;
    others({{listing(0).Key.Incarnation, 1, 0, ReadMs, 200'000, 0}});
    const poll_outcome Outcome = Placer.poll(Now);
    EXPECT_EQ(Outcome.Expiries.size(), 1U);
    return Outcome.Expiries.at(0).Refusal.RetryAfter.value();
  }
};

// A prompt of which some seconds are still to be read fills the only engine. Told to come back
// after one second, the caller would wait again for 0.3 of its time and be refused for good.
TEST_F(refused_work, IsToldToComeBackWhenWhatIsBeforeItCanBeDone) {
  EXPECT_EQ(toldToReturn(2'200), 2s);
}

// Its caller comes back only within a third of the 7 s that it has left.
TEST_F(refused_work, IsNotToldToComeBackLaterThanItsCallerWould) {
  EXPECT_EQ(toldToReturn(60'000), 2s);
}

TEST_F(refused_work, IsToldToComeBackSoonWhereLittleIsBeforeIt) {
  EXPECT_EQ(toldToReturn(400), 1s);
}

} // namespace
} // namespace pollenstall

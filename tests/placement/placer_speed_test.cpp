/** @file placer_speed_test.cpp Placement on servers that are slower than declared. */
#include "placer_fixture.h"

#include <algorithm>
#include <map>

namespace pollenstall {
namespace {

/// Servers of which some are slower than the pass model expects, before an entry with one request
/// at a time.
struct uneven_servers_test : placer_fixture {
  /// Runs a request of 17 events to its end. @return Its placement.
  work_placement answer(std::int64_t Prompt, std::chrono::milliseconds Gap = 250ms) {
    const request_number Request = submitRequest(Prompt, Gap);
    const auto Placements = poll();
    EXPECT_EQ(Placements.size(), 1U);
    work_placement Placement = Placements.at(0);
    double Slowest = factorOf(Placement.Backend);
    for (const backend_key &Helper : Placement.Helpers)
      Slowest = std::max(Slowest, factorOf(Helper));
    const double PartMs =
        prefillMs(figures(), tokens(Prompt)) / static_cast<double>(Placement.Helpers.size() + 1);
    Now += durationFromMs(PartMs * Slowest);
    beginAnswer(Request);
    Now += durationFromMs(16 * passMs(figures(), 1, static_cast<double>(Prompt)) *
                          factorOf(Placement.Backend));
    Placer.attemptAdvanced(attemptOf(Request), 16, Now);
    completeAttempt(Request);
    return Placement;
  }
  [[nodiscard]] double factorOf(const backend_key &Backend) const {
    const auto Found = Factors.find(Backend);
    return Found == Factors.end() ? 1 : Found->second;
  }
  /// Returns how many of some short requests go to the server.
  int shortRequestsTo(const backend_key &Server, int Count = 20,
                      std::chrono::milliseconds Gap = 250ms) {
    int Requests = 0;
    for (int Sent = 0; Sent < Count; ++Sent)
      Requests += answer(5'000, Gap).Backend == Server ? 1 : 0;
    return Requests;
  }

  const backend_key Slow = makeListing(0).Key;
  std::map<backend_key, double> Factors;
};

// One of about ten, without the estimate. The requests of the first two thirds of a minute measure
// the server; of those after them, one may be a probe.
TEST_F(uneven_servers_test, GetOnlyProbesWhileOthersAreFree) {
  const int Sound = shortRequestsTo(Slow);
  Factors[Slow] = 4;
  shortRequestsTo(Slow, 40);
  EXPECT_GT(Sound, 4);
  EXPECT_LE(shortRequestsTo(Slow), 1);
  ASSERT_EQ(Placer.unevenServers(Now).size(), 1U);
  EXPECT_NEAR(Placer.unevenServers(Now).at(0).Slowness, 4, 0.4);
}

// Guards against a server that stays out for good: it is measured again about a minute later.
TEST_F(uneven_servers_test, AreUsedAgainOnceTheyRecover) {
  Factors[Slow] = 4;
  shortRequestsTo(Slow);
  Factors.clear();
  Now += 70s;
  EXPECT_GT(shortRequestsTo(Slow), 4);
}

// A part of a prompt on a slow server delays the whole answer.
TEST_F(uneven_servers_test, ReadNoPartOfALongPrompt) {
  Factors[Slow] = 4;
  shortRequestsTo(Slow);
  const work_placement Placement = answer(154'000);
  EXPECT_NE(Placement.Backend, Slow);
  EXPECT_EQ(std::count(Placement.Helpers.begin(), Placement.Helpers.end(), Slow), 0);
  EXPECT_EQ(Placement.Helpers.size(), 16U);
}

// Guards against blame for the wrong server: a slow helper delays the first event, and the server
// that answers is sound.
TEST_F(uneven_servers_test, AreNotBlamedForASplitPrompt) {
  const work_placement First = answer(154'000);
  ASSERT_FALSE(First.Helpers.empty());
  Factors[First.Helpers.front()] = 4;
  for (int Count = 0; Count < 10; ++Count)
    answer(154'000);
  EXPECT_TRUE(Placer.unevenServers(Now).empty());
}

// The caller allows 150 ms between events, and the passes take about 180 ms there.
TEST_F(uneven_servers_test, AnswerNoRequestWhosePauseTheyCannotKeep) {
  Factors[Slow] = 4;
  shortRequestsTo(Slow);
  removeAllExcept(Slow);
  Placer.updateBackend(makeListing(1));
  answer(5'000);
  std::vector<work_load> Full{{makeListing(1).Key.Incarnation, 16, 16, 0, 300'000}};
  setOthersLoads(Full);
  submitRequest(1'000, 150ms);
  EXPECT_TRUE(poll().empty());
  submitRequest(1'000, 1'000ms);
  const auto Placements = poll();
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_EQ(Placements[0].Backend, Slow);
  EXPECT_GT(Placements[0].ExpectedFirstToken,
            durationFromMs(4 * prefillMs(figures(), tokens(900))));
}

// Guards against wrong figures: if all servers are slower than declared, none is avoided.
TEST_F(uneven_servers_test, AreNormalIfAllAreSlow) {
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Factors[makeListing(Index).Key] = 4;
  shortRequestsTo(Slow, 40);
  EXPECT_GT(shortRequestsTo(Slow), 4);
}

// Guards against each entry having to find slow servers by itself. Builds without speed news ignore
// these loads, whose incarnation they do not know.
TEST_F(uneven_servers_test, AreKnownToOtherEntries) {
  placer Other(host_name("entry-2"), 2);
  Other.applyDeclaration(declaration());
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Other.updateBackend(makeListing(Index));
  Factors[Slow] = 4;
  std::vector<uneven_server> Known;
  for (int Sent = 0; Sent < 60 && Known.empty(); ++Sent) {
    answer(5'000);
    Other.updateOthersLoads(Placer.ownLoads(Now), Now);
    Known = Other.unevenServers(Now);
  }
  ASSERT_EQ(Known.size(), 1U);
  EXPECT_EQ(Known[0].Backend, Slow);
}

// Where all servers are even, the choices are those of a placer that measures nothing: one that is
// told of no events and of no first event in time to compare.
TEST_F(uneven_servers_test, ChangeNothingIfNoneIsSlow) {
  placer Unmeasured(host_name("entry-1"), 1);
  Unmeasured.applyDeclaration(declaration());
  for (std::size_t Index = 0; Index < Engines; ++Index)
    Unmeasured.updateBackend(makeListing(Index));
  random_source Sizes{7};
  for (int Sent = 0; Sent < 300; ++Sent) {
    const auto Prompt =
        static_cast<std::int64_t>(1'000 + Sizes.below(Sent % 5 == 0 ? 300'000 : 9'000));
    const mono_time Arrived = Now;
    const work_placement Placement = answer(Prompt);
    const work_item Item = Items.at(Placement.Request);
    ASSERT_TRUE(succeeded(Unmeasured.submit(Item, Arrived)));
    std::vector<work_placement> Placements = Unmeasured.poll(Arrived).Placements;
    if (Placements.empty())
      Placements = Unmeasured.poll(Arrived + load_exchange_properties().ClaimDelay).Placements;
    ASSERT_EQ(Placements.size(), 1U);
    EXPECT_EQ(Placements[0].Backend, Placement.Backend);
    EXPECT_EQ(Placements[0].Helpers, Placement.Helpers);
    EXPECT_EQ(Placements[0].ExpectedFirstToken, Placement.ExpectedFirstToken);
    Unmeasured.attemptStarted(attemptOf(Placement.Request), Item, Placement.Backend, Arrived);
    attempt_report Report;
    Report.Completed = true;
    Unmeasured.attemptEnded(attemptOf(Placement.Request), Report, Now);
  }
}

/// Three servers of a service without declared figures.
struct uneven_plain_servers_test : placer_fixture {
  void SetUp() override {
    fleet_declaration Fleet = declaration();
    Fleet.Services.front().Engine.reset();
    Placer.applyDeclaration(Fleet);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Placer.updateBackend(makeListing(Index));
  }
};

// Guards against an even share for a server that is slower than the others, and against its loss.
TEST_F(uneven_plain_servers_test, GetFewerRequestsIfTheyAreSlow) {
  const backend_key Slow = makeListing(0).Key;
  std::map<backend_key, int> Arrivals;
  std::multimap<mono_time, request_number> Ends;
  for (int Step = 0; Step < 3'000; ++Step, Now += 5ms) {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      beginAnswer(Ends.begin()->second);
      completeAttempt(Ends.begin()->second);
      Ends.erase(Ends.begin());
    }
    if (Step % 2 != 0)
      continue;
    submitRequest(100);
    for (const work_placement &Placement : poll()) {
      ++Arrivals[Placement.Backend];
      Ends.emplace(Now + (Placement.Backend == Slow ? 160ms : 40ms), Placement.Request);
    }
  }
  EXPECT_LT(Arrivals[Slow] * 3, Arrivals[makeListing(1).Key]);
  EXPECT_GT(Arrivals[Slow], 0);
}

} // namespace
} // namespace pollenstall

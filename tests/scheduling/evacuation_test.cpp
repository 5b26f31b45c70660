/** @file evacuation_test.cpp Scheduling while failure domains are evacuated. */
#include "scheduler_fixture.h"

namespace pollenstall {
namespace {

/// Engines 1 to 6 in the domains "d1", "d2", "d0", "d1", "d2", "d0".
class evacuated_domains_fixture : public scheduler_fixture {
protected:
  evacuated_domains_fixture() { addEngines(6); }

  void evacuate(const std::vector<std::string> &Names) {
    const std::vector<failure_domain_name> Domains(Names.begin(), Names.end());
    List.update(List.version().value_or(0) + 1, Domains);
    Scheduler.setEvacuations(List, Now);
  }
  static bool isIn(const backend_key &Backend, int Domain) {
    for (int EngineNumber = 1; EngineNumber <= 6; ++EngineNumber)
      if (EngineNumber % 3 == Domain && engineKey(EngineNumber) == Backend)
        return true;
    return false;
  }
  /// Places requests that end at once. @return How many were placed in the domain.
  int placedIn(int Domain, std::int64_t Prompt, bool Resumed = false) {
    int Count = 0;
    for (int Request = 0; Request < 40; ++Request) {
      work_item Work = makeWork(Prompt);
      Work.Resumed = Resumed;
      const backend_key Backend = placeNow(Work);
      EXPECT_FALSE(Backend.Address.empty());
      Count += isIn(Backend, Domain) ? 1 : 0;
      Scheduler.withdraw(Work.Request);
    }
    return Count;
  }

  evacuation_list List;
};

TEST_F(evacuated_domains_fixture, GetNoWorkUntilTheRestore) {
  EXPECT_GT(placedIn(1, 1'000), 0);
  evacuate({"d1"});
  EXPECT_EQ(placedIn(1, 1'000), 0);
  EXPECT_EQ(placedIn(1, 1'000, true), 0) << "resumed streams";
  evacuate({});
  EXPECT_GT(placedIn(1, 1'000), 0);
}

// Guards against long work for the engines that were chosen for it before the evacuation.
TEST_F(evacuated_domains_fixture, GetNoLongWork) {
  evacuate({"d1", "d2"});
  const work_item Work = makeWork(200'000);
  EXPECT_TRUE(isIn(placeNow(Work), 0));
}

// Guards against retries, and attempts beside a silent one, that fall back on servers of the
// domain.
TEST_F(evacuated_domains_fixture, GetNoFurtherAttempts) {
  evacuate({"d1", "d2"});
  work_item Work = makeWork(1'000);
  Work.Avoid = {engineKey(3), engineKey(6)};
  EXPECT_TRUE(isIn(placeNow(Work), 0));
}

TEST_F(evacuated_domains_fixture, HaveWaitingWorkRefusedAtOnceIfNoServerIsLeft) {
  for (int EngineNumber = 1; EngineNumber <= 6; ++EngineNumber)
    Scheduler.pauseBackend(engineKey(EngineNumber), 10s, Now);
  const work_item Waiting = makeWork(1'000);
  work_item Stream = makeWork(1'000);
  Stream.Resumed = true;
  EXPECT_TRUE(placeNow(Waiting).Address.empty());
  EXPECT_TRUE(placeNow(Stream).Address.empty());
  evacuate({"d0", "d1", "d2"});
  const poll_outcome Outcome = Scheduler.poll(Now);
  ASSERT_EQ(Outcome.Expiries.size(), 1U);
  EXPECT_EQ(Outcome.Expiries[0].Request, Waiting.Request);
  EXPECT_EQ(Outcome.Expiries[0].Refusal.Reason, failure_reason::NoBackend);
  EXPECT_EQ(Outcome.Expiries[0].Refusal.RetryAfter, 100s);
  EXPECT_EQ(submit(makeWork(1'000)), failure_reason::NoBackend);
  EXPECT_EQ(Scheduler.queued(), 1U) << "the resumed stream waits";
}

TEST_F(evacuated_domains_fixture, AreWaitedForByResumedStreams) {
  evacuate({"d0", "d1", "d2"});
  work_item Stream = makeWork(1'000);
  Stream.Resumed = true;
  EXPECT_TRUE(placeNow(Stream).Address.empty());
  Now += 5s;
  evacuate({"d0"});
  const auto Placements = Scheduler.poll(Now).Placements;
  ASSERT_EQ(Placements.size(), 1U);
  EXPECT_FALSE(isIn(Placements[0].Backend, 0));
}

// Guards against a refusal while the servers elsewhere only seem lost.
TEST_F(evacuated_domains_fixture, DoNotCountLostServersElsewhere) {
  for (int EngineNumber = 1; EngineNumber <= 6; ++EngineNumber) {
    backend_view View = engine(EngineNumber);
    if (EngineNumber % 3 != 1)
      View.Status = backend_status::Lost;
    Scheduler.updateBackend(View, Now);
  }
  const work_item Waiting = makeWork(1'000);
  ASSERT_EQ(submit(Waiting), std::nullopt);
  evacuate({"d1"});
  const poll_outcome Outcome = Scheduler.poll(Now);
  EXPECT_TRUE(Outcome.Placements.empty());
  EXPECT_TRUE(Outcome.Expiries.empty());
}

TEST_F(evacuated_domains_fixture, IncludeServersThatAnnounceThemselvesLater) {
  evacuate({"d1"});
  Scheduler.updateBackend(engine(7), Now);
  for (int Request = 0; Request < 40; ++Request) {
    const work_item Work = makeWork(1'000);
    EXPECT_NE(placeNow(Work), engineKey(7));
    Scheduler.withdraw(Work.Request);
  }
}

} // namespace
} // namespace pollenstall

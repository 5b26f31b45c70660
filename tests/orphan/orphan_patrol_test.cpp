/** @file orphan_patrol_test.cpp Which attempts are over, and who looks. */
#include "orphan/orphan.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const process_key Self{host_name("e1"), incarnation(10)};

host_view host(const std::string &Name, std::uint64_t Incarnation, host_standing Standing) {
  host_view View;
  View.Key = {host_name(Name), incarnation(Incarnation)};
  View.Standing = Standing;
  return View;
}

attempt_id attemptOf(const std::string &Name, std::uint64_t Incarnation) {
  return {{host_name(Name), incarnation(Incarnation)}, request_number(1), 1};
}

backend_announcement engine(const std::string &Address) {
  backend_announcement Announcement;
  Announcement.Key = {backend_address(Address), incarnation(1)};
  return Announcement;
}

class OrphanPatrolTest : public ::testing::Test {
protected:
  orphan_patrol Patrol{Self, {}};
  mono_time Now{mono_time(1000s)};
};

TEST_F(OrphanPatrolTest, LeavesOwnAndLivingWorkAlone) {
  Patrol.noteHost(host("e2", 5, host_standing::Alive), Now);
  EXPECT_FALSE(Patrol.isOrphan(attemptOf("e1", 10), Now));
  EXPECT_FALSE(Patrol.isOrphan(attemptOf("e2", 5), Now));
  EXPECT_FALSE(Patrol.isOrphan(attemptOf("e2", 6), Now)) << "a newer life than is known";
}

TEST_F(OrphanPatrolTest, EndsWorkOfAnEarlierLife) {
  Patrol.noteHost(host("e2", 5, host_standing::Alive), Now);
  EXPECT_TRUE(Patrol.isOrphan(attemptOf("e1", 9), Now));
  EXPECT_TRUE(Patrol.isOrphan(attemptOf("e2", 4), Now));
}

TEST_F(OrphanPatrolTest, EndsWorkOfAHostThatSaidItStops) {
  Patrol.noteHost(host("e2", 5, host_standing::Left), Now);
  EXPECT_TRUE(Patrol.isOrphan(attemptOf("e2", 5), Now));
}

TEST_F(OrphanPatrolTest, WaitsBeforeItBelievesThatAHostIsDead) {
  // The host may be cut off from the other hosts only, and still be answering its callers.
  Patrol.noteHost(host("e2", 5, host_standing::Dead), Now);
  EXPECT_FALSE(Patrol.isOrphan(attemptOf("e2", 5), Now + 59s));
  Patrol.noteHost(host("e2", 5, host_standing::Dead), Now + 30s);
  EXPECT_TRUE(Patrol.isOrphan(attemptOf("e2", 5), Now + 60s)) << "a repeat starts no new grace";
  Patrol.noteHost(host("e2", 5, host_standing::Alive), Now + 61s);
  EXPECT_FALSE(Patrol.isOrphan(attemptOf("e2", 5), Now + 62s));
}

TEST_F(OrphanPatrolTest, EndsWorkOfAHostThatNobodyKnowsAfterAWhile) {
  EXPECT_FALSE(Patrol.isOrphan(attemptOf("e9", 1), Now));
  EXPECT_FALSE(Patrol.isOrphan(attemptOf("e9", 1), Now + 299s));
  EXPECT_TRUE(Patrol.isOrphan(attemptOf("e9", 1), Now + 300s));
}

TEST_F(OrphanPatrolTest, LooksAtEachEngineOnceInAnInterval) {
  Patrol.noteBackend(engine("127.0.0.1:1"));
  EXPECT_EQ(Patrol.due(Now).size(), 1U);
  EXPECT_TRUE(Patrol.due(Now + 1s).empty());
  EXPECT_EQ(Patrol.due(Now + 5s).size(), 1U);
}

TEST_F(OrphanPatrolTest, SharesTheEnginesAmongLivingHosts) {
  orphan_patrol Other({host_name("e2"), incarnation(5)}, {});
  Patrol.noteHost(host("e2", 5, host_standing::Alive), Now);
  Other.noteHost(host("e1", 10, host_standing::Alive), Now);
  constexpr std::size_t Engines = 40;
  for (std::size_t Port = 1; Port <= Engines; ++Port) {
    Patrol.noteBackend(engine("127.0.0.1:" + std::to_string(Port)));
    Other.noteBackend(engine("127.0.0.1:" + std::to_string(Port)));
  }
  const std::size_t Mine = Patrol.due(Now).size();
  EXPECT_EQ(Mine + Other.due(Now).size(), Engines);
  EXPECT_GT(Mine, 0U);
  EXPECT_LT(Mine, Engines);
  Patrol.noteHost(host("e2", 5, host_standing::Dead), Now);
  EXPECT_EQ(Patrol.due(Now + 5s).size(), Engines) << "the survivor looks at all of them";
}

} // namespace
} // namespace pollenstall

/** @file orphan_reaper_test.cpp Detection of orphaned attempts and assignment of engines to hosts.
 */
#include "orphan/orphan.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const process_key Self{host_name("e1"), incarnation(10)};

host_view makeHost(const std::string &Name, std::uint64_t Incarnation, host_status Standing) {
  host_view View;
  View.Key = {host_name(Name), incarnation(Incarnation)};
  View.Status = Standing;
  return View;
}

attempt_id makeAttempt(const std::string &Name, std::uint64_t Incarnation) {
  return {{host_name(Name), incarnation(Incarnation)}, request_number(1), 1};
}

backend_announcement makeEngine(const std::string &Address) {
  backend_announcement Announcement;
  Announcement.Key = {backend_address(Address), incarnation(1)};
  return Announcement;
}

class OrphanReaperTest : public ::testing::Test {
protected:
  orphan_reaper Reaper{Self, {}};
  mono_time Now{mono_time(1000s)};
};

TEST_F(OrphanReaperTest, KeepsAttemptsOfItselfAndOfLiveHosts) {
  Reaper.updateHost(makeHost("e2", 5, host_status::Alive), Now);
  EXPECT_FALSE(Reaper.isOrphan(makeAttempt("e1", 10), Now));
  EXPECT_FALSE(Reaper.isOrphan(makeAttempt("e2", 5), Now));
  EXPECT_FALSE(Reaper.isOrphan(makeAttempt("e2", 6), Now))
      << "a newer incarnation than the known one";
}

TEST_F(OrphanReaperTest, ReapsAttemptsOfAnEarlierIncarnation) {
  Reaper.updateHost(makeHost("e2", 5, host_status::Alive), Now);
  EXPECT_TRUE(Reaper.isOrphan(makeAttempt("e1", 9), Now));
  EXPECT_TRUE(Reaper.isOrphan(makeAttempt("e2", 4), Now));
}

TEST_F(OrphanReaperTest, ReapsAttemptsOfAHostThatLeft) {
  Reaper.updateHost(makeHost("e2", 5, host_status::Left), Now);
  EXPECT_TRUE(Reaper.isOrphan(makeAttempt("e2", 5), Now));
}

TEST_F(OrphanReaperTest, KeepsAttemptsOfADeadHostForAGracePeriod) {
  // The host may only be partitioned from the other hosts and still answer its callers.
  Reaper.updateHost(makeHost("e2", 5, host_status::Dead), Now);
  EXPECT_FALSE(Reaper.isOrphan(makeAttempt("e2", 5), Now + 59s));
  Reaper.updateHost(makeHost("e2", 5, host_status::Dead), Now + 30s);
  EXPECT_TRUE(Reaper.isOrphan(makeAttempt("e2", 5), Now + 60s))
      << "a repeated event does not restart the grace period";
  Reaper.updateHost(makeHost("e2", 5, host_status::Alive), Now + 61s);
  EXPECT_FALSE(Reaper.isOrphan(makeAttempt("e2", 5), Now + 62s));
}

TEST_F(OrphanReaperTest, ReapsAttemptsOfAnUnknownHostAfterAGracePeriod) {
  EXPECT_FALSE(Reaper.isOrphan(makeAttempt("e9", 1), Now));
  EXPECT_FALSE(Reaper.isOrphan(makeAttempt("e9", 1), Now + 299s));
  EXPECT_TRUE(Reaper.isOrphan(makeAttempt("e9", 1), Now + 300s));
}

TEST_F(OrphanReaperTest, ChecksEachEngineOncePerInterval) {
  Reaper.addEngine(makeEngine("127.0.0.1:1"));
  EXPECT_EQ(Reaper.takeDueEngines(Now).size(), 1U);
  EXPECT_TRUE(Reaper.takeDueEngines(Now + 1s).empty());
  EXPECT_EQ(Reaper.takeDueEngines(Now + 5s).size(), 1U);
}

TEST_F(OrphanReaperTest, DividesTheEnginesAmongLiveHosts) {
  orphan_reaper OtherReaper({host_name("e2"), incarnation(5)}, {});
  Reaper.updateHost(makeHost("e2", 5, host_status::Alive), Now);
  OtherReaper.updateHost(makeHost("e1", 10, host_status::Alive), Now);
  constexpr std::size_t Engines = 40;
  for (std::size_t Port = 1; Port <= Engines; ++Port) {
    Reaper.addEngine(makeEngine("127.0.0.1:" + std::to_string(Port)));
    OtherReaper.addEngine(makeEngine("127.0.0.1:" + std::to_string(Port)));
  }
  const std::size_t OwnEngines = Reaper.takeDueEngines(Now).size();
  EXPECT_EQ(OwnEngines + OtherReaper.takeDueEngines(Now).size(), Engines);
  EXPECT_GT(OwnEngines, 0U);
  EXPECT_LT(OwnEngines, Engines);
  Reaper.updateHost(makeHost("e2", 5, host_status::Dead), Now);
  EXPECT_EQ(Reaper.takeDueEngines(Now + 5s).size(), Engines)
      << "the remaining host checks all engines";
}

} // namespace
} // namespace pollenstall

/** @file fleet_test.cpp Hosts and backend servers over a virtual network, with one failure at a
 * time. */
#include "membership/fake_network.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Eight hosts in three failure domains that know each other.
class EightHostsTest : public testing::Test {
protected:
  void SetUp() override {
    Net.addHosts(8);
    ASSERT_TRUE(Net.runUntil([this] { return Net.allSeeAllHostsAlive(); }, 10s));
  }

  [[nodiscard]] bool fresh(std::size_t Host) const {
    return Net.Hosts[Host].Process->freshUntil() > Net.now();
  }

  fake_network Net{7};
};

TEST_F(EightHostsTest, AreFreshAfterComparingRecords) {
  Net.runFor(2s);
  for (std::size_t Host = 0; Host < Net.Hosts.size(); ++Host)
    EXPECT_TRUE(fresh(Host)) << Host;
}

TEST_F(EightHostsTest, DetectADeadHost) {
  Net.stop(5);
  EXPECT_TRUE(Net.runUntil([this] { return Net.allSeeHost(5, host_status::Dead); }, 15s));
}

TEST_F(EightHostsTest, SeeAStoppedHostAsLeftWithoutSuspicion) {
  Net.Hosts[5].Process->leave(Net.now());
  Net.runFor(300ms);
  EXPECT_TRUE(Net.allSeeHost(5, host_status::Left));
}

TEST_F(EightHostsTest, ReplaceAnOldIncarnation) {
  Net.stop(5);
  Net.runFor(1s);
  Net.start(5);
  EXPECT_TRUE(Net.runUntil([this] { return Net.allSeeHost(5, host_status::Alive); }, 5s));
}

// A host's clock was set back before its process restarted, so the new process has a lower
// incarnation than the previous one, and the fleet would ignore it permanently. The new process
// must learn that it is superseded, or it would serve from views that are never updated.
TEST_F(EightHostsTest, NotifyASupersededProcess) {
  membership_message Message;
  Message.Sender = Net.Hosts[0].Key;
  host_record Claim;
  Claim.Key = {Net.Hosts[1].Key.Host, incarnation(999)};
  Claim.Addresses = {fake_network::addressOf(1)};
  Message.Hosts.push_back(Claim);
  fleet_membership &Process = *Net.Hosts[1].Process;
  Process.receive(Message, fake_network::addressOf(0), Net.now());
  const auto Actions = Process.takeActions();
  const auto SupersededCount =
      std::count_if(Actions.begin(), Actions.end(),
                    [](const auto &Action) { return std::holds_alternative<superseded>(Action); });
  EXPECT_EQ(SupersededCount, 1);
}

// Host 2 cannot reach host 3 while all other paths work, so its direct pings get no answer. Other
// hosts ping host 3 on its behalf, so no host is suspected.
TEST_F(EightHostsTest, KeepAHostAliveDespiteAnAsymmetricCut) {
  int NotAliveCount = 0;
  Net.OnAction = [&NotAliveCount](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<host_changed>(&Action);
    NotAliveCount += Changed != nullptr && Changed->View.Status != host_status::Alive ? 1 : 0;
  };
  Net.Cuts.emplace(2, 3);
  Net.runFor(60s);
  EXPECT_EQ(NotAliveCount, 0);
}

// A host is paused for half a minute during a probe. When it resumes, its timers run first and find
// the answer overdue. The others have declared it dead; it must rejoin without a restart by a
// higher refutation number, and must not suspect the others because of its own pause.
TEST_F(EightHostsTest, APausedHostRejoinsAndSuspectsNoOtherHost) {
  bool Probing = false;
  Net.OnAction = [&Probing](std::size_t Host, const membership_action &Action) {
    const auto *Sent = std::get_if<send_message>(&Action);
    const bool Pings = Sent != nullptr && std::holds_alternative<ping>(Sent->Message.Body);
    Probing = Probing || (Host == 4 && Pings);
  };
  ASSERT_TRUE(Net.runUntil([&Probing] { return Probing; }, 5s, 100us));
  Net.freeze(4);
  ASSERT_TRUE(Net.runUntil([this] { return Net.allSeeHost(4, host_status::Dead); }, 30s));
  int NotAliveCount = 0;
  Net.OnAction = [&NotAliveCount](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<host_changed>(&Action);
    NotAliveCount += Changed != nullptr && Changed->View.Status != host_status::Alive ? 1 : 0;
  };
  Net.thaw(4, true);
  EXPECT_TRUE(Net.runUntil([this] { return Net.allSeeAllHostsAlive(); }, 10s));
  EXPECT_EQ(NotAliveCount, 0);
}

TEST_F(EightHostsTest, RejoinAfterBothHalvesDeclaredEachOtherDead) {
  for (std::size_t A = 0; A < 4; ++A)
    for (std::size_t B = 4; B < 8; ++B)
      Net.cutBoth(A, B);
  Net.runFor(60s);
  ASSERT_EQ(Net.hostStatus(0, 7), host_status::Dead);
  Net.Cuts.clear();
  EXPECT_TRUE(Net.runUntil([this] { return Net.allSeeAllHostsAlive(); }, 40s));
}

// A randomised run found this failure: only host 3 runs, which is no seed; then one of the three
// seeds starts and knows no peer. Host 3 contacted one random seed every five seconds, so for half
// a minute neither of the two knew the engines that announced themselves to the other.
TEST_F(EightHostsTest, FindTheOnlySeedThatRestarts) {
  for (std::size_t Host = 0; Host < 8; ++Host)
    Net.stop(Host);
  Net.start(3);
  Net.runFor(30s);
  Net.start(0);
  EXPECT_TRUE(Net.runUntil([this] { return Net.hostStatus(3, 0) == host_status::Alive; }, 2s));
}

/// Eight hosts with engines that announce themselves.
class BackendsTest : public EightHostsTest {
protected:
  void SetUp() override {
    EightHostsTest::SetUp();
    for (int Count = 0; Count < 6; ++Count)
      Net.addBackend(Count % 2 == 0);
    ASSERT_TRUE(Net.runUntil([this] { return allSeeBackend(backend_status::Active); }, 5s));
  }

  [[nodiscard]] bool allSeeBackend(backend_status Expected) const {
    for (std::size_t Backend = 0; Backend < Net.Backends.size(); ++Backend)
      if (!Net.allSeeBackend(Backend, Expected))
        return false;
    return true;
  }

  void leave(std::size_t Backend) {
    Net.Backends[Backend].Announcement.Leaving = true;
    Net.announceNow(Backend);
  }
};

TEST_F(BackendsTest, StayActiveWhileTheyAnnounce) {
  int LostCount = 0;
  Net.OnAction = [&LostCount](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<backend_changed>(&Action);
    LostCount += Changed != nullptr && Changed->View.Status == backend_status::Lost ? 1 : 0;
  };
  Net.Faults.Drop = 0.2;
  Net.runFor(120s);
  EXPECT_EQ(LostCount, 0);
}

TEST_F(BackendsTest, AreLostWithoutAnnouncementsAndReturnWithThem) {
  Net.Backends[0].Alive = false;
  ASSERT_TRUE(Net.runUntil([this] { return Net.allSeeBackend(0, backend_status::Lost); }, 10s));
  Net.Backends[0].Alive = true;
  EXPECT_TRUE(Net.runUntil([this] { return Net.allSeeBackend(0, backend_status::Active); }, 3s));
}

TEST_F(BackendsTest, LeavingReachesEveryoneWithinTwoSecondsThroughLoss) {
  Net.Faults.Drop = 0.2;
  leave(1);
  Net.runFor(2s);
  EXPECT_TRUE(Net.allSeeBackend(1, backend_status::Leaving));
}

// After an engine announced that it leaves, an announcement without Leaving arrives at another
// host, for example an earlier one that is late. If it made the engine active again, the engine
// would get new requests and cut them off when it ends. Leaving therefore sticks to the
// incarnation, whatever arrives later.
TEST_F(BackendsTest, LeavingSticksAgainstNewerAnnouncements) {
  leave(1);
  Net.runFor(2s);
  Net.Backends[1].Announcement.Leaving = false;
  Net.Backends[1].Announcement.Labels["version"] = "2";
  Net.runFor(3s);
  EXPECT_TRUE(Net.allSeeBackend(1, backend_status::Leaving));
}

TEST_F(BackendsTest, ANewIncarnationReplacesTheOldPermanently) {
  leave(1);
  Net.runFor(1s);
  const backend_announcement Old = Net.Backends[1].Announcement;
  Net.restartBackend(1);
  ASSERT_TRUE(Net.runUntil([this] { return Net.allSeeBackend(1, backend_status::Active); }, 4s));
  backend_load Late;
  Late.Sequence = 100000;
  const auto Result = Net.Hosts[3].Process->announce(Old, Late, Net.now());
  ASSERT_FALSE(succeeded(Result));
  EXPECT_EQ(errorOf(Result), announcement_error::OlderIncarnation);
  EXPECT_TRUE(Net.allSeeBackend(1, backend_status::Active));
}

// A host is paused while an engine starts to leave, and resumes a minute later. Its views still
// list the engine as Active. Between the resumption and the first exchange it would place work on
// the leaving engine, so its views are not fresh until another host has compared records with it.
TEST_F(BackendsTest, APausedHostIsNotFreshBeforeItHasSynced) {
  Net.freeze(4);
  Net.runFor(60s);
  leave(1);
  Net.runFor(60s);
  Net.Hosts[4].Unread.clear();
  bool UsedStaleView = false;
  Net.OnAction = [this, &UsedStaleView](std::size_t Host, const membership_action &Action) {
    if (Host == 4 && std::holds_alternative<views_fresh>(Action) && fresh(4))
      UsedStaleView = UsedStaleView || Net.backendStatus(4, 1) != backend_status::Leaving;
  };
  ASSERT_FALSE(fresh(4));
  Net.thaw(4, true);
  EXPECT_TRUE(Net.runUntil([this] { return fresh(4); }, 3s));
  EXPECT_FALSE(UsedStaleView);
}

// A host that was paused for a minute finds that no engine has reported within the expiry timeout.
// If it expired them all, every request would be rejected. Only the time in which it ran and could
// receive counts.
TEST_F(BackendsTest, APausedHostDoesNotExpireAllBackends) {
  int LostCount = 0;
  Net.OnAction = [&LostCount](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<backend_changed>(&Action);
    LostCount += Changed != nullptr && Changed->View.Status == backend_status::Lost ? 1 : 0;
  };
  Net.freeze(4);
  Net.runFor(60s);
  Net.thaw(4);
  Net.runFor(20s);
  EXPECT_EQ(LostCount, 0);
}

TEST_F(BackendsTest, AnIsolatedHostKeepsItsViewsButTheyAreNotFresh) {
  for (std::size_t Other = 0; Other < 8; ++Other)
    if (Other != 4)
      Net.cutBoth(4, Other);
  for (fake_backend &Backend : Net.Backends) {
    Backend.Sticky = true;
    Backend.Host = 0;
  }
  Net.runFor(30s);
  EXPECT_FALSE(fresh(4));
  for (std::size_t Backend = 0; Backend < Net.Backends.size(); ++Backend)
    EXPECT_EQ(Net.backendStatus(4, Backend), backend_status::Active) << Backend;
}

TEST_F(BackendsTest, AllHostsRecoverTheirViewsAfterASimultaneousRestart) {
  for (std::size_t Host = 0; Host < 8; ++Host)
    Net.start(Host);
  EXPECT_TRUE(Net.runUntil(
      [this] { return Net.allSeeAllHostsAlive() && allSeeBackend(backend_status::Active); }, 10s));
}

TEST_F(BackendsTest, AJoiningHostKnowsAllBackendsBeforeItIsFresh) {
  Net.Hosts.emplace_back();
  Net.start(8);
  ASSERT_TRUE(Net.runUntil([this] { return fresh(8); }, 5s, 1ms));
  for (std::size_t Backend = 0; Backend < Net.Backends.size(); ++Backend)
    EXPECT_TRUE(Net.backendStatus(8, Backend).has_value()) << Backend;
}

TEST_F(BackendsTest, ALabelChangeReachesEveryone) {
  Net.Backends[2].Announcement.Labels["version"] = "2";
  Net.announceNow(2);
  Net.runFor(2s);
  for (const fake_host &Host : Net.Hosts)
    for (const backend_view &View : Host.Process->views())
      if (View.Announcement.Key == Net.Backends[2].Announcement.Key) {
        EXPECT_EQ(View.Announcement.Labels.at("version"), "2");
      }
}

/// So many engines that the bandwidth budget permits one gossiped report of each in five seconds.
class ManyBackendsTest : public EightHostsTest {
protected:
  void SetUp() override {
    EightHostsTest::SetUp();
    for (int Count = 0; Count < 400; ++Count)
      Net.addBackend(Count % 2 == 0);
    Net.runFor(30s);
    Net.OnAction = [this](std::size_t, const membership_action &Action) {
      const auto *Changed = std::get_if<backend_changed>(&Action);
      LostCount += Changed != nullptr && Changed->View.Status == backend_status::Lost ? 1 : 0;
    };
  }

  int LostCount{0};
};

TEST_F(ManyBackendsTest, StayActiveWhenReportsAreGossipedRarely) {
  Net.runFor(60s);
  EXPECT_EQ(LostCount, 0);
}

TEST_F(ManyBackendsTest, LeavingDoesNotWaitForTheNextReport) {
  Net.Backends[7].Announcement.Leaving = true;
  Net.announceNow(7);
  Net.runFor(2s);
  EXPECT_TRUE(Net.allSeeBackend(7, backend_status::Leaving));
}

// A host that receives the reports of some engines directly is paused, and the engines report to
// other hosts. When it resumes, their new reports reach it only seconds later, through the gossip.
// As their former direct receiver, it would be the first to declare them lost. It must query its
// peers first.
TEST_F(ManyBackendsTest, APausedHostQueriesPeersBeforeExpiry) {
  Net.freeze(4);
  Net.runFor(30s);
  Net.thaw(4);
  Net.runFor(20s);
  EXPECT_EQ(LostCount, 0);
}

} // namespace
} // namespace pollenstall

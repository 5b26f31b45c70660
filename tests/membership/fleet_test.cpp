/** @file fleet_test.cpp Own hosts and backend servers over a virtual network, one failure at a
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
    ASSERT_TRUE(Net.runUntil([this] { return Net.allSeeAllAlive(); }, 10s));
  }

  [[nodiscard]] bool fresh(std::size_t Host) const {
    return Net.Hosts[Host].Process->freshUntil() > Net.now();
  }

  fake_network Net{7};
};

TEST_F(EightHostsTest, AreFreshOnceTheyHaveComparedTheirRecords) {
  Net.runFor(2s);
  for (std::size_t Host = 0; Host < Net.Hosts.size(); ++Host)
    EXPECT_TRUE(fresh(Host)) << Host;
}

TEST_F(EightHostsTest, LearnOfADeath) {
  Net.stop(5);
  EXPECT_TRUE(Net.runUntil([this] { return Net.everyoneSees(5, host_standing::Dead); }, 15s));
}

TEST_F(EightHostsTest, LearnOfAStopWithoutWaitingForASuspicion) {
  Net.Hosts[5].Process->leave(Net.now());
  Net.runFor(300ms);
  EXPECT_TRUE(Net.everyoneSees(5, host_standing::Left));
}

TEST_F(EightHostsTest, ReplaceAnOldIncarnationByTheNew) {
  Net.stop(5);
  Net.runFor(1s);
  Net.start(5);
  EXPECT_TRUE(Net.runUntil([this] { return Net.everyoneSees(5, host_standing::Alive); }, 5s));
}

// An operator sees two processes with one host name. The clock of the host was set back before its
// process restarted, so the restarted one has the lower incarnation and the fleet would ignore it
// for good. It must learn that, or it would serve from views that nobody updates.
TEST_F(EightHostsTest, TellAProcessThatANewerOneOfItsNameIsKnown) {
  membership_message Message;
  Message.Sender = Net.Hosts[0].Key;
  host_record Claim;
  Claim.Key = {Net.Hosts[1].Key.Host, incarnation(999)};
  Claim.Addresses = {fake_network::addressOf(1)};
  Message.Hosts.push_back(Claim);
  fleet_membership &Process = *Net.Hosts[1].Process;
  Process.receive(Message, fake_network::addressOf(0), Net.now());
  const auto Actions = Process.takeActions();
  const auto Told = std::count_if(Actions.begin(), Actions.end(), [](const auto &Action) {
    return std::holds_alternative<superseded>(Action);
  });
  EXPECT_EQ(Told, 1);
}

// Callers see nothing, and that is the point: host 2 cannot reach host 3 while all other ways are
// open. Its direct pings get no answer. Others ping host 3 for it, so nobody is ever given up.
TEST_F(EightHostsTest, DoNotGiveUpAHostOverAnAsymmetricCut) {
  int GivenUp = 0;
  Net.OnAction = [&GivenUp](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<host_changed>(&Action);
    GivenUp += Changed != nullptr && Changed->View.Standing != host_standing::Alive ? 1 : 0;
  };
  Net.Cuts.emplace(2, 3);
  Net.runFor(60s);
  EXPECT_EQ(GivenUp, 0);
}

// A host is stopped for half a minute in the midst of a probe and continued. Its timers run first
// and find that the answer is overdue. The others gave it up; it comes back without a restart by a
// higher refutation number, and must not accuse the others for its own absence.
TEST_F(EightHostsTest, AThawedHostIsTakenBackAndAccusesNobody) {
  bool Probing = false;
  Net.OnAction = [&Probing](std::size_t Host, const membership_action &Action) {
    const auto *Sent = std::get_if<send_message>(&Action);
    const bool Pings = Sent != nullptr && std::holds_alternative<ping>(Sent->Message.Body);
    Probing = Probing || (Host == 4 && Pings);
  };
  ASSERT_TRUE(Net.runUntil([&Probing] { return Probing; }, 5s, 100us));
  Net.freeze(4);
  ASSERT_TRUE(Net.runUntil([this] { return Net.everyoneSees(4, host_standing::Dead); }, 30s));
  int Accused = 0;
  Net.OnAction = [&Accused](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<host_changed>(&Action);
    Accused += Changed != nullptr && Changed->View.Standing != host_standing::Alive ? 1 : 0;
  };
  Net.thaw(4, true);
  EXPECT_TRUE(Net.runUntil([this] { return Net.allSeeAllAlive(); }, 10s));
  EXPECT_EQ(Accused, 0);
}

TEST_F(EightHostsTest, MeetAgainAfterBothHalvesGaveEachOtherUp) {
  for (std::size_t A = 0; A < 4; ++A)
    for (std::size_t B = 4; B < 8; ++B)
      Net.cutBoth(A, B);
  Net.runFor(60s);
  ASSERT_EQ(Net.hostStanding(0, 7), host_standing::Dead);
  Net.Cuts.clear();
  EXPECT_TRUE(Net.runUntil([this] { return Net.allSeeAllAlive(); }, 40s));
}

// Found by a randomised run: all hosts are down but one that is no seed, then one of the three
// seeds starts and knows nobody. The first asked one random seed every five seconds, so for half a
// minute each served without the engines that announced themselves to the other.
TEST_F(EightHostsTest, FindTheOneSeedThatComesBack) {
  for (std::size_t Host = 0; Host < 8; ++Host)
    Net.stop(Host);
  Net.start(3);
  Net.runFor(30s);
  Net.start(0);
  EXPECT_TRUE(Net.runUntil([this] { return Net.hostStanding(3, 0) == host_standing::Alive; }, 2s));
}

/// Eight hosts with engines that announce themselves.
class BackendsTest : public EightHostsTest {
protected:
  void SetUp() override {
    EightHostsTest::SetUp();
    for (int Count = 0; Count < 6; ++Count)
      Net.addBackend(Count % 2 == 0);
    ASSERT_TRUE(Net.runUntil([this] { return everyone(backend_standing::Active); }, 5s));
  }

  [[nodiscard]] bool everyone(backend_standing Wanted) const {
    for (std::size_t Backend = 0; Backend < Net.Backends.size(); ++Backend)
      if (!Net.everyone(Backend, Wanted))
        return false;
    return true;
  }

  void leave(std::size_t Backend) {
    Net.Backends[Backend].Announcement.Leaving = true;
    Net.announceNow(Backend);
  }
};

TEST_F(BackendsTest, StayActiveWhileTheyAnnounce) {
  int Lost = 0;
  Net.OnAction = [&Lost](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<backend_changed>(&Action);
    Lost += Changed != nullptr && Changed->View.Standing == backend_standing::Lost ? 1 : 0;
  };
  Net.Faults.Drop = 0.2;
  Net.runFor(120s);
  EXPECT_EQ(Lost, 0);
}

TEST_F(BackendsTest, AreLostWithoutAnnouncementsAndReturnWithThem) {
  Net.Backends[0].Alive = false;
  ASSERT_TRUE(Net.runUntil([this] { return Net.everyone(0, backend_standing::Lost); }, 10s));
  Net.Backends[0].Alive = true;
  EXPECT_TRUE(Net.runUntil([this] { return Net.everyone(0, backend_standing::Active); }, 3s));
}

TEST_F(BackendsTest, LeavingReachesEveryoneWithinTwoSecondsThroughLoss) {
  Net.Faults.Drop = 0.2;
  leave(1);
  Net.runFor(2s);
  EXPECT_TRUE(Net.everyone(1, backend_standing::Leaving));
}

// A caller would see its request cut off: an engine said that it leaves, then an announcement that
// was sent before arrives late at another host. If that took the engine back, it would be given new
// work and stop in the midst of it. Leaving therefore sticks to the incarnation, whatever comes
// after.
TEST_F(BackendsTest, LeavingIsNotUndoneByAnOlderAnnouncementNorByANewerOneWithout) {
  leave(1);
  Net.runFor(2s);
  Net.Backends[1].Announcement.Leaving = false;
  Net.Backends[1].Announcement.Labels["version"] = "2";
  Net.runFor(3s);
  EXPECT_TRUE(Net.everyone(1, backend_standing::Leaving));
}

TEST_F(BackendsTest, ANewIncarnationReplacesTheOldWhichStaysGone) {
  leave(1);
  Net.runFor(1s);
  const backend_announcement Old = Net.Backends[1].Announcement;
  Net.restartBackend(1);
  ASSERT_TRUE(Net.runUntil([this] { return Net.everyone(1, backend_standing::Active); }, 4s));
  backend_load Late;
  Late.Sequence = 100000;
  const auto Taken = Net.Hosts[3].Process->announce(Old, Late, Net.now());
  ASSERT_FALSE(succeeded(Taken));
  EXPECT_EQ(errorOf(Taken), announcement_error::OlderIncarnation);
  EXPECT_TRUE(Net.everyone(1, backend_standing::Active));
}

// An entry is stopped while an engine starts to leave, and continued a minute later. What it
// remembers says Active. Between going on and the first exchange it would place work on the leaving
// engine; so its views are not fresh until another host has compared records with it.
TEST_F(BackendsTest, AThawedHostIsNotFreshBeforeItKnowsWhatItMissed) {
  Net.freeze(4);
  Net.runFor(60s);
  leave(1);
  Net.runFor(60s);
  Net.Hosts[4].Unread.clear();
  bool UsedOldView = false;
  Net.OnAction = [this, &UsedOldView](std::size_t Host, const membership_action &Action) {
    if (Host == 4 && std::holds_alternative<views_fresh>(Action) && fresh(4))
      UsedOldView = UsedOldView || Net.standing(4, 1) != backend_standing::Leaving;
  };
  ASSERT_FALSE(fresh(4));
  Net.thaw(4, true);
  EXPECT_TRUE(Net.runUntil([this] { return fresh(4); }, 3s));
  EXPECT_FALSE(UsedOldView);
}

// Callers would see every request refused: a host that was stopped for a minute finds on its clock
// that no engine was heard for longer than the expiry. Only time in which it ran and could hear
// counts.
TEST_F(BackendsTest, AThawedHostDoesNotGiveUpAllBackends) {
  int Lost = 0;
  Net.OnAction = [&Lost](std::size_t, const membership_action &Action) {
    const auto *Changed = std::get_if<backend_changed>(&Action);
    Lost += Changed != nullptr && Changed->View.Standing == backend_standing::Lost ? 1 : 0;
  };
  Net.freeze(4);
  Net.runFor(60s);
  Net.thaw(4);
  Net.runFor(20s);
  EXPECT_EQ(Lost, 0);
}

TEST_F(BackendsTest, AHostThatHearsNobodyKeepsItsViewsButTheyAreNotFresh) {
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
    EXPECT_EQ(Net.standing(4, Backend), backend_standing::Active) << Backend;
}

TEST_F(BackendsTest, AllHostsRestartedAtOnceKnowAllAgain) {
  for (std::size_t Host = 0; Host < 8; ++Host)
    Net.start(Host);
  EXPECT_TRUE(Net.runUntil(
      [this] { return Net.allSeeAllAlive() && everyone(backend_standing::Active); }, 10s));
}

TEST_F(BackendsTest, AJoinerKnowsAllBeforeItIsFresh) {
  Net.Hosts.emplace_back();
  Net.start(8);
  ASSERT_TRUE(Net.runUntil([this] { return fresh(8); }, 5s, 1ms));
  for (std::size_t Backend = 0; Backend < Net.Backends.size(); ++Backend)
    EXPECT_TRUE(Net.standing(8, Backend).has_value()) << Backend;
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

/// So many engines that each one's report enters the gossip every five seconds only.
class ManyBackendsTest : public EightHostsTest {
protected:
  void SetUp() override {
    EightHostsTest::SetUp();
    for (int Count = 0; Count < 400; ++Count)
      Net.addBackend(Count % 2 == 0);
    Net.runFor(30s);
    Net.OnAction = [this](std::size_t, const membership_action &Action) {
      const auto *Changed = std::get_if<backend_changed>(&Action);
      Lost += Changed != nullptr && Changed->View.Standing == backend_standing::Lost ? 1 : 0;
    };
  }

  int Lost{0};
};

TEST_F(ManyBackendsTest, StayActiveThoughTheirReportsAreOld) {
  Net.runFor(60s);
  EXPECT_EQ(Lost, 0);
}

TEST_F(ManyBackendsTest, LeavingDoesNotWaitForTheNextReport) {
  Net.Backends[7].Announcement.Leaving = true;
  Net.announceNow(7);
  Net.runFor(2s);
  EXPECT_TRUE(Net.everyone(7, backend_standing::Leaving));
}

// A host heard its engines regularly, was stopped, and they went on elsewhere. Continued, it would
// count the seconds until their reports reach it through the gossip as their silence, and as their
// regular hearer be the first to give them up for everybody; so it asks others first.
TEST_F(ManyBackendsTest, AThawedHostAsksBeforeItGivesThemUp) {
  Net.freeze(4);
  Net.runFor(30s);
  Net.thaw(4);
  Net.runFor(20s);
  EXPECT_EQ(Lost, 0);
}

} // namespace
} // namespace pollenstall

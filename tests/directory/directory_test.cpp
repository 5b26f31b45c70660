/** @file directory_test.cpp Late notices, replaced incarnations and changes of the leader. */
#include "core/core.h"
#include "directory/directory.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

backend_notice makeNotice(const std::string &Instance, std::uint64_t Sequence,
                          bool Leaving = false) {
  return {instance_name(Instance),
          backend_address("127.0.0.1:9"),
          service_name("svc"),
          failure_domain_name("d"),
          4,
          Leaving,
          Sequence,
          {}};
}

/// Makes a notice of an engine that reports when its incarnation began.
backend_notice makeNoticeOf(std::uint64_t Started, std::uint64_t Sequence, bool Leaving = false) {
  backend_notice Notice = makeNotice("a", Sequence, Leaving);
  Notice.Started = incarnation_start(Started);
  return Notice;
}

struct BackendDirectoryTest : testing::Test {
  backend_directory Directory{directory_options{}};
  mono_time Now{1h};

  std::vector<backend_listing> handleNotice(const backend_notice &Notice) {
    return Directory.handleNotice(Notice, Now);
  }
  void advanceTime(mono_duration Span) { Now += Span; }
  [[nodiscard]] std::vector<std::string> active() const {
    std::vector<std::string> Names;
    for (const backend_listing &Listing : Directory.all(Now))
      if (Listing.State == listing_state::Active)
        Names.push_back(Listing.Instance.str());
    return Names;
  }
};

TEST_F(BackendDirectoryTest, ListsABackendServerOnceAndReportsOnlyChanges) {
  EXPECT_EQ(handleNotice(makeNotice("a", 1)).size(), 1U);
  EXPECT_TRUE(handleNotice(makeNotice("a", 2)).empty());
  const auto LeavingListings = handleNotice(makeNotice("a", 3, true));
  ASSERT_EQ(LeavingListings.size(), 1U);
  EXPECT_EQ(LeavingListings[0].State, listing_state::Leaving);
}

// A notice without Leaving was sent before the one with Leaving and arrives after it. If the
// backend server became active again, work placed on it would be cut off when it ends.
TEST_F(BackendDirectoryTest, LeavingSticksAgainstALateNotice) {
  handleNotice(makeNotice("a", 1));
  handleNotice(makeNotice("a", 3, true));
  EXPECT_TRUE(handleNotice(makeNotice("a", 2)).empty());
  EXPECT_TRUE(handleNotice(makeNotice("a", 4)).empty());
  EXPECT_TRUE(active().empty());
}

// An incarnation crashed behind a partition; a new one holds its address and sends notices. Then
// the partition ends and the last notice of the old incarnation arrives. If that notice counted
// as one of a new incarnation, the live incarnation would be removed.
TEST_F(BackendDirectoryTest, AFormerIncarnationDoesNotReplaceAnActiveOne) {
  handleNotice(makeNotice("new", 1));
  advanceTime(500ms);
  EXPECT_TRUE(handleNotice(makeNotice("old", 40)).empty());
  advanceTime(700ms);
  handleNotice(makeNotice("new", 2));
  EXPECT_EQ(active(), std::vector<std::string>{"new"});
  advanceTime(300ms);
  EXPECT_TRUE(handleNotice(makeNotice("old", 41)).empty()) << "the holder has sent a notice since";
}

// A backend server crashed and restarted immediately: the old incarnation sends no more notices,
// the new one does.
TEST_F(BackendDirectoryTest, AnIncarnationThatSendsNoticesReplacesASilentOne) {
  handleNotice(makeNotice("a", 9));
  advanceTime(300ms);
  EXPECT_TRUE(handleNotice(makeNotice("b", 1)).empty());
  advanceTime(1s);
  const auto Changes = handleNotice(makeNotice("b", 2));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].State, listing_state::Gone);
  EXPECT_EQ(active(), std::vector<std::string>{"b"});
  EXPECT_TRUE(handleNotice(makeNotice("a", 10)).empty()) << "an ended incarnation never returns";
}

TEST_F(BackendDirectoryTest, AWithdrawnIncarnationNeverBecomesActiveAgain) {
  handleNotice(makeNotice("a", 1));
  EXPECT_EQ(Directory.withdraw({instance_name("a"), {}}, Now).size(), 1U);
  EXPECT_TRUE(handleNotice(makeNotice("a", 2)).empty());
  EXPECT_TRUE(active().empty());
}

TEST_F(BackendDirectoryTest, ReportsUnresponsiveAndActiveAgain) {
  handleNotice(makeNotice("a", 1));
  advanceTime(5s);
  const auto Unresponsive = Directory.advance(Now);
  ASSERT_EQ(Unresponsive.size(), 1U);
  EXPECT_EQ(Unresponsive[0].State, listing_state::Unresponsive);
  EXPECT_EQ(handleNotice(makeNotice("a", 2))[0].State, listing_state::Active);
}

// Regions are partitioned for minutes. The engines of the other side become unresponsive and are
// removed, although they run all the time. They must be listed again after their next notice.
TEST_F(BackendDirectoryTest, AServerIsListedAgainAfterALongPartition) {
  handleNotice(makeNotice("a", 1));
  advanceTime(10min);
  const auto Ended = Directory.advance(Now);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].State, listing_state::Gone);
  ASSERT_EQ(handleNotice(makeNotice("a", 700)).size(), 1U);
  EXPECT_EQ(active(), std::vector<std::string>{"a"});
}

// The backend server was leaving before the partition. It must get no work, however long the
// partition lasts.
TEST_F(BackendDirectoryTest, ALeavingServerIsNotListedAgain) {
  handleNotice(makeNotice("a", 1));
  handleNotice(makeNotice("a", 2, true));
  advanceTime(10min);
  Directory.advance(Now);
  EXPECT_TRUE(handleNotice(makeNotice("a", 700)).empty());
  EXPECT_TRUE(active().empty());
}

/// A new leader that restored the former one's list from the log.
struct RestoredDirectoryTest : BackendDirectoryTest {
  void SetUp() override {
    backend_directory Former{directory_options{}};
    Former.handleNotice(makeNotice("a", 40), Now);
    Directory.restore(Former.all(Now), Now);
  }
};

// After the failure of all control hosts, requests already wait, but notices arrive only within the
// next notice interval. Until then the leader uses the restored list.
TEST_F(RestoredDirectoryTest, ListsTheFormerLeadersBackendServers) {
  EXPECT_EQ(active(), std::vector<std::string>{"a"});
}

// While there was no leader, for example because the control hosts lost power, the backend server
// may have ended and started again. The restored list contains no sequences, so the first notice is
// accepted with any sequence.
TEST_F(RestoredDirectoryTest, AcceptsTheFirstNoticeWithAnySequence) {
  const auto LeavingListings = handleNotice(makeNotice("a", 1, true));
  ASSERT_EQ(LeavingListings.size(), 1U);
  EXPECT_EQ(LeavingListings[0].State, listing_state::Leaving);
  EXPECT_TRUE(handleNotice(makeNotice("a", 1)).empty());
}

TEST_F(RestoredDirectoryTest, MarksServersWithoutNoticesUnresponsive) {
  advanceTime(5s);
  const auto Unresponsive = Directory.advance(Now);
  ASSERT_EQ(Unresponsive.size(), 1U);
  EXPECT_EQ(Unresponsive[0].State, listing_state::Unresponsive);
}

// The backend server ended meanwhile and another one holds its address. One notice of the new one
// suffices.
TEST_F(RestoredDirectoryTest, ReassignsAnAddressOnTheFirstNotice) {
  const auto Changes = handleNotice(makeNotice("b", 1));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(active(), std::vector<std::string>{"b"});
}

TEST_F(RestoredDirectoryTest, PrefersItsOwnNoticesOverARestoredList) {
  handleNotice(makeNotice("a", 41, true));
  backend_directory Former{directory_options{}};
  Former.handleNotice(makeNotice("a", 40), Now);
  Directory.restore(Former.all(Now), Now);
  EXPECT_TRUE(active().empty());
}

/// An engine that keeps its name over restarts; the start time distinguishes its incarnations.
struct ReusedInstanceNameTest : BackendDirectoryTest {
  [[nodiscard]] std::vector<std::uint64_t> activeStarts() const {
    std::vector<std::uint64_t> Starts;
    for (const backend_listing &Listing : Directory.all(Now))
      if (Listing.State == listing_state::Active)
        Starts.push_back(Listing.Started.value());
    return Starts;
  }
};

// The engine is killed after its 40th notice and restarts within the notice interval; its sequence
// begins at 1 again. If its notice counted as a late one of the previous incarnation, it would get
// no work until the old one is removed, and the old one's requests would count as its own.
TEST_F(ReusedInstanceNameTest, ReplacesThePreviousIncarnationImmediately) {
  handleNotice(makeNoticeOf(1'000, 40));
  advanceTime(100ms);
  const auto Changes = handleNotice(makeNoticeOf(2'000, 1));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].State, listing_state::Gone);
  EXPECT_EQ(Changes[0].Started, incarnation_start(1'000));
  EXPECT_EQ(Changes[1].State, listing_state::Active);
  EXPECT_NE(Changes[0].Key, Changes[1].Key);
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
}

// A partition delays notices of the former incarnation until the new one has sent its own.
TEST_F(ReusedInstanceNameTest, IgnoresLateNoticesOfThePreviousIncarnation) {
  handleNotice(makeNoticeOf(1'000, 40));
  handleNotice(makeNoticeOf(2'000, 1));
  EXPECT_TRUE(handleNotice(makeNoticeOf(1'000, 41, true)).empty());
  advanceTime(10s);
  EXPECT_TRUE(handleNotice(makeNoticeOf(1'000, 42)).empty());
  handleNotice(makeNoticeOf(2'000, 2));
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
}

// The engine left, ended and was started again with new weights, so it must be active. A late
// withdrawal of the former incarnation must not end the new one.
TEST_F(ReusedInstanceNameTest, IsActiveAgainAfterThePreviousIncarnationLeft) {
  handleNotice(makeNoticeOf(1'000, 1));
  handleNotice(makeNoticeOf(1'000, 2, true));
  Directory.withdraw({instance_name("a"), incarnation_start(1'000)}, Now);
  EXPECT_TRUE(handleNotice(makeNoticeOf(1'000, 3)).empty());
  EXPECT_EQ(handleNotice(makeNoticeOf(2'000, 1)).size(), 2U);
  EXPECT_TRUE(Directory.withdraw({instance_name("a"), incarnation_start(1'000)}, Now).empty());
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
  EXPECT_EQ(Directory.withdraw({instance_name("a"), incarnation_start(2'000)}, Now).size(), 1U);
  EXPECT_TRUE(activeStarts().empty());
}

// An address is used by one engine at a time. Its holder has sent no notice for a while when a
// notice arrives that a partition delayed. The sender of that notice started before the holder
// did, so that sender has ended.
TEST_F(ReusedInstanceNameTest, KeepsItsAddressAgainstAnEarlierIncarnationOfAnotherName) {
  handleNotice(makeNoticeOf(2'000, 1));
  advanceTime(10s);
  backend_notice Earlier = makeNotice("earlier", 7);
  Earlier.Started = incarnation_start(1'000);
  EXPECT_TRUE(handleNotice(Earlier).empty());
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
}

// Notices and withdrawals of several incarnations of one engine arrive in any order, some twice.
// The directory must list the newest incarnation that it has a notice of, in the state that its own
// notices give it.
TEST_F(ReusedInstanceNameTest, ListsOnlyTheNewestIncarnationInAnyOrder) {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    random_source Random(Seed);
    backend_directory Shuffled{directory_options{}};
    std::uint64_t Newest = 0;
    std::uint64_t Highest = 0; ///< Sequence of the newest incarnation.
    bool IsLeaving = false;    ///< The newest incarnation is leaving.
    for (int Step = 0; Step < 60; ++Step) {
      Now += std::chrono::milliseconds(Random.below(50));
      const std::uint64_t Started = 1'000 + Random.below(6);
      const std::uint64_t Sequence = 1 + Random.below(20);
      const bool Leaving = Random.below(10) == 0;
      const bool Withdraws = Random.below(12) == 0;
      if (Withdraws)
        Shuffled.withdraw({instance_name("a"), incarnation_start(Started)}, Now);
      else
        Shuffled.handleNotice(makeNoticeOf(Started, Sequence, Leaving), Now);
      if (Started > Newest) {
        IsLeaving = Withdraws || Leaving;
        Highest = Withdraws ? 0 : Sequence;
        Newest = Started;
      } else if (Started == Newest) {
        IsLeaving = IsLeaving || Withdraws || (Leaving && Sequence > Highest);
        Highest = std::max(Highest, Withdraws ? 0 : Sequence);
      }
      for (const backend_listing &Listing : Shuffled.all(Now)) {
        EXPECT_LE(Listing.Started.value(), Newest) << "seed " << Seed;
        EXPECT_EQ(Listing.State == listing_state::Active,
                  Listing.Started.value() == Newest && !IsLeaving)
            << "seed " << Seed << " step " << Step;
      }
      EXPECT_LE(Shuffled.all(Now).size(), 1U) << "seed " << Seed;
    }
  }
}

struct DirectoryFollowerTest : testing::Test {
  directory_follower Follower{mono_duration(3s)};
  mono_time Now{1h};

  static backend_listing makeListing(const std::string &Name, listing_state State,
                                     incarnation_start Started = {}) {
    backend_listing Listing;
    Listing.Key = keyOf(backend_address("127.0.0.1:9"), {instance_name(Name), Started});
    Listing.Instance = instance_name(Name);
    Listing.State = State;
    Listing.Started = Started;
    return Listing;
  }
};

// A backend server may have notified a leader that it leaves, and then that leader failed. The next
// leader has no notices yet. What it does not list must neither be dropped immediately nor used
// permanently.
TEST_F(DirectoryFollowerTest, KeepsUnconfirmedListingsForAGracePeriod) {
  Follower.applyFullList({makeListing("a", listing_state::Active)}, Now);
  EXPECT_TRUE(Follower.applyFullList({}, Now).empty());
  EXPECT_TRUE(Follower.advance(Now + 2s).empty());
  const auto Changes = Follower.advance(Now + 4s);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].State, listing_state::Unresponsive);
}

// Guards against a large list that arrives in parts over seconds: backend servers whose part is
// still to come would count as unresponsive.
TEST_F(DirectoryFollowerTest, KeepsListingsWhileFurtherPartsOfTheListArrive) {
  Follower.applyFullList({makeListing("a", listing_state::Active),
                          makeListing("b", listing_state::Active),
                          makeListing("c", listing_state::Active)},
                         Now);
  Follower.applyFullList({makeListing("a", listing_state::Active)}, Now);
  Now += 2s;
  EXPECT_TRUE(Follower.applyUpdates({makeListing("b", listing_state::Active)}, Now).empty());
  Now += 2s;
  EXPECT_TRUE(Follower.advance(Now).empty());
  EXPECT_TRUE(Follower.applyUpdates({makeListing("c", listing_state::Active)}, Now).empty());
  Now += 10s;
  EXPECT_TRUE(Follower.advance(Now).empty());
}

TEST_F(DirectoryFollowerTest, LeavingSticksAgainstANewLeader) {
  Follower.applyFullList({makeListing("a", listing_state::Active)}, Now);
  Follower.applyUpdates({makeListing("a", listing_state::Leaving)}, Now);
  EXPECT_TRUE(Follower.applyFullList({makeListing("a", listing_state::Active)}, Now).empty());
}

// The leader that listed the former incarnation is gone; its successor knows only the new one.
// Requests and failures of the former incarnation must not count for the new one.
// Guards against a server that says in an answer that it leaves, while the leader, or the next one,
// still lists it as active.
TEST_F(DirectoryFollowerTest, AServerThatSaysItselfThatItLeavesIsNotListedAsActiveAgain) {
  const backend_listing Active = makeListing("a", listing_state::Active);
  Follower.applyFullList({Active}, Now);
  const auto Changes = Follower.markLeaving(Active.Key);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].State, listing_state::Leaving);
  EXPECT_TRUE(Follower.markLeaving(Active.Key).empty());
  EXPECT_TRUE(Follower.applyUpdates({Active}, Now).empty());
  EXPECT_TRUE(Follower.applyFullList({Active}, Now).empty());
  EXPECT_TRUE(Follower.applyFullList({}, Now).empty());
  Follower.advance(Now + 4s);
  EXPECT_EQ(Follower.find(Active.Key)->State, listing_state::Leaving);
  // The next incarnation owes nothing.
  const backend_listing Next = makeListing("a", listing_state::Active, incarnation_start(1));
  Follower.applyUpdates({Next}, Now);
  EXPECT_EQ(Follower.find(Next.Key)->State, listing_state::Active);
}

TEST_F(DirectoryFollowerTest, DropsThePreviousIncarnationWhenALeaderListsTheNext) {
  const auto Old = makeListing("a", listing_state::Active, incarnation_start(1'000));
  const auto New = makeListing("a", listing_state::Active, incarnation_start(2'000));
  Follower.applyFullList({Old}, Now);
  const auto Changes = Follower.applyFullList({New}, Now);
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].Key, Old.Key);
  EXPECT_EQ(Changes[0].State, listing_state::Gone);
  EXPECT_EQ(Changes[1].Key, New.Key);
  EXPECT_TRUE(Follower.applyFullList({Old}, Now).empty())
      << "listed by a leader with older notices";
  EXPECT_EQ(Follower.find(Old.Key), nullptr);
}

TEST_F(DirectoryFollowerTest, AppliesAWithdrawalWithoutAnAddress) {
  Follower.applyFullList({makeListing("a", listing_state::Active)}, Now);
  backend_listing Withdrawal = makeListing("a", listing_state::Leaving);
  Withdrawal.Key.Address = backend_address();
  const auto Changes = Follower.applyUpdates({Withdrawal}, Now);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].Key.Address.str(), "127.0.0.1:9");
}

} // namespace
} // namespace pollenstall

/** @file directory_test.cpp Notices that come late, lives that replace each other, leaders that
 * change. */
#include "core/core.h"
#include "directory/directory.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

backend_notice notice(const std::string &Instance, std::uint64_t Sequence, bool Leaving = false) {
  return {instance_name(Instance),
          backend_address("127.0.0.1:9"),
          service_name("svc"),
          failure_domain_name("d"),
          4,
          Leaving,
          Sequence,
          {}};
}

/// The same, of an engine that says when its life began.
backend_notice noticeOf(std::uint64_t Started, std::uint64_t Sequence, bool Leaving = false) {
  backend_notice Notice = notice("a", Sequence, Leaving);
  Notice.Started = incarnation_start(Started);
  return Notice;
}

struct a_directory : testing::Test {
  backend_directory Directory{directory_options{}};
  mono_time Now{1h};

  std::vector<backend_listing> hear(const backend_notice &Notice) {
    return Directory.hear(Notice, Now);
  }
  void pass(mono_duration Span) { Now += Span; }
  [[nodiscard]] std::vector<std::string> active() const {
    std::vector<std::string> Names;
    for (const backend_listing &Listing : Directory.all())
      if (Listing.State == listing_state::Active)
        Names.push_back(Listing.Instance.str());
    return Names;
  }
};

TEST_F(a_directory, ListsABackendServerOnceAndTellsChangesOnly) {
  EXPECT_EQ(hear(notice("a", 1)).size(), 1U);
  EXPECT_TRUE(hear(notice("a", 2)).empty());
  const auto Leaves = hear(notice("a", 3, true));
  ASSERT_EQ(Leaves.size(), 1U);
  EXPECT_EQ(Leaves[0].State, listing_state::Leaving);
}

// The notice "ready" was sent before "leaving" and arrives after it. Work that is placed on it
// would be cut off when the server ends.
TEST_F(a_directory, LeavingSticksAgainstALateNotice) {
  hear(notice("a", 1));
  hear(notice("a", 3, true));
  EXPECT_TRUE(hear(notice("a", 2)).empty());
  EXPECT_TRUE(hear(notice("a", 4)).empty());
  EXPECT_TRUE(active().empty());
}

// A life crashed behind a partition; a new one has its address and speaks. Then the partition ends,
// and the last notice of the old life arrives. Taken for new, it would put the live one out of use.
TEST_F(a_directory, AFormerLifeDoesNotReplaceOneThatSpeaks) {
  hear(notice("new", 1));
  pass(500ms);
  EXPECT_TRUE(hear(notice("old", 40)).empty());
  pass(700ms);
  hear(notice("new", 2));
  EXPECT_EQ(active(), std::vector<std::string>{"new"});
  pass(300ms);
  EXPECT_TRUE(hear(notice("old", 41)).empty()) << "the live one has spoken since";
}

// A server crashed and is started again at once: the old life is silent, the new one goes on.
TEST_F(a_directory, ALifeThatGoesOnSpeakingReplacesASilentOne) {
  hear(notice("a", 9));
  pass(300ms);
  EXPECT_TRUE(hear(notice("b", 1)).empty());
  pass(1s);
  const auto Changes = hear(notice("b", 2));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].State, listing_state::Gone);
  EXPECT_EQ(active(), std::vector<std::string>{"b"});
  EXPECT_TRUE(hear(notice("a", 10)).empty()) << "an ended life never comes back";
}

TEST_F(a_directory, AWithdrawalEndsALifeForGood) {
  hear(notice("a", 1));
  EXPECT_EQ(Directory.withdraw({instance_name("a"), {}}, Now).size(), 1U);
  EXPECT_TRUE(hear(notice("a", 2)).empty());
  EXPECT_TRUE(active().empty());
}

TEST_F(a_directory, SilenceIsToldAndTakenBack) {
  hear(notice("a", 1));
  pass(5s);
  const auto Silent = Directory.advance(Now);
  ASSERT_EQ(Silent.size(), 1U);
  EXPECT_EQ(Silent[0].State, listing_state::Silent);
  EXPECT_EQ(hear(notice("a", 2))[0].State, listing_state::Active);
}

// Regions lose each other for minutes. The engines of the other side fall silent and are forgotten;
// they have run on all the while, and are wanted again once they are heard.
TEST_F(a_directory, AServerThatWasCutOffForLongIsListedAgain) {
  hear(notice("a", 1));
  pass(10min);
  const auto Ended = Directory.advance(Now);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].State, listing_state::Gone);
  ASSERT_EQ(hear(notice("a", 700)).size(), 1U);
  EXPECT_EQ(active(), std::vector<std::string>{"a"});
}

// It was to leave before it was cut off: no work is placed on it however long that is ago.
TEST_F(a_directory, AServerThatWasToLeaveIsNotListedAgain) {
  hear(notice("a", 1));
  hear(notice("a", 2, true));
  pass(10min);
  Directory.advance(Now);
  EXPECT_TRUE(hear(notice("a", 700)).empty());
  EXPECT_TRUE(active().empty());
}

/// A new leader that took the former one's list over from the log.
struct a_restored_directory : a_directory {
  void SetUp() override {
    backend_directory Former{directory_options{}};
    Former.hear(notice("a", 40), Now);
    Directory.restore(Former.all(), Now);
  }
};

// After a loss of everything requests wait; servers speak again only within their interval.
TEST_F(a_restored_directory, ListsWhatTheFormerLeaderHadHeardOf) {
  EXPECT_EQ(active(), std::vector<std::string>{"a"});
}

// It ended while nobody led, or its control hosts had no power: no sequence is known here.
TEST_F(a_restored_directory, TakesTheFirstNoticeWhateverItsSequence) {
  const auto Leaves = hear(notice("a", 1, true));
  ASSERT_EQ(Leaves.size(), 1U);
  EXPECT_EQ(Leaves[0].State, listing_state::Leaving);
  EXPECT_TRUE(hear(notice("a", 1)).empty());
}

TEST_F(a_restored_directory, CountsWhatIsNotHeardAsSilent) {
  pass(5s);
  const auto Silent = Directory.advance(Now);
  ASSERT_EQ(Silent.size(), 1U);
  EXPECT_EQ(Silent[0].State, listing_state::Silent);
}

// The server ended meanwhile and another one has its address: that one need not speak twice.
TEST_F(a_restored_directory, GivesAnAddressToWhoeverSpeaksFromIt) {
  const auto Changes = hear(notice("b", 1));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(active(), std::vector<std::string>{"b"});
}

TEST_F(a_restored_directory, KnowsBetterThanTheListWhatItHasHeardItself) {
  hear(notice("a", 41, true));
  backend_directory Former{directory_options{}};
  Former.hear(notice("a", 40), Now);
  Directory.restore(Former.all(), Now);
  EXPECT_TRUE(active().empty());
}

/// An engine that is started again keeps its name; it tells its lives apart by their start.
struct an_engine_that_keeps_its_name : a_directory {
  [[nodiscard]] std::vector<std::uint64_t> activeStarts() const {
    std::vector<std::uint64_t> Starts;
    for (const backend_listing &Listing : Directory.all())
      if (Listing.State == listing_state::Active)
        Starts.push_back(Listing.Started.value());
    return Starts;
  }
};

// It was killed at its 40th notice and is back within the notice interval; it counts from 1 again.
// Taken for a late notice of the life before, it would get no work until the old one is forgotten,
// and what the old one had under way would count as its own.
TEST_F(an_engine_that_keeps_its_name, ReplacesTheLifeBeforeAtOnce) {
  hear(noticeOf(1'000, 40));
  pass(100ms);
  const auto Changes = hear(noticeOf(2'000, 1));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].State, listing_state::Gone);
  EXPECT_EQ(Changes[0].Started, incarnation_start(1'000));
  EXPECT_EQ(Changes[1].State, listing_state::Active);
  EXPECT_NE(Changes[0].Key, Changes[1].Key);
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
}

// A cut held notices of the former life back: they come after the new one has spoken.
TEST_F(an_engine_that_keeps_its_name, IsNotTouchedByLateNoticesOfTheLifeBefore) {
  hear(noticeOf(1'000, 40));
  hear(noticeOf(2'000, 1));
  EXPECT_TRUE(hear(noticeOf(1'000, 41, true)).empty());
  pass(10s);
  EXPECT_TRUE(hear(noticeOf(1'000, 42)).empty());
  hear(noticeOf(2'000, 2));
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
}

// It said that it leaves, ended, and was started again with new weights: it is to be used. A
// withdrawal of the former life that arrives now must not end the new one.
TEST_F(an_engine_that_keeps_its_name, IsUsedAgainAfterTheLifeBeforeHasLeft) {
  hear(noticeOf(1'000, 1));
  hear(noticeOf(1'000, 2, true));
  Directory.withdraw({instance_name("a"), incarnation_start(1'000)}, Now);
  EXPECT_TRUE(hear(noticeOf(1'000, 3)).empty());
  EXPECT_EQ(hear(noticeOf(2'000, 1)).size(), 2U);
  EXPECT_TRUE(Directory.withdraw({instance_name("a"), incarnation_start(1'000)}, Now).empty());
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
  EXPECT_EQ(Directory.withdraw({instance_name("a"), incarnation_start(2'000)}, Now).size(), 1U);
  EXPECT_TRUE(activeStarts().empty());
}

// An address is used by one engine at a time. Its holder has been silent for a while when a notice
// arrives that a cut held back: its sender began before the holder did, so it is over.
TEST_F(an_engine_that_keeps_its_name, KeepsItsAddressAgainstAnEarlierLifeUnderAnotherName) {
  hear(noticeOf(2'000, 1));
  pass(10s);
  backend_notice Earlier = notice("earlier", 7);
  Earlier.Started = incarnation_start(1'000);
  EXPECT_TRUE(hear(Earlier).empty());
  EXPECT_EQ(activeStarts(), std::vector<std::uint64_t>{2'000});
}

// Notices and withdrawals of many lives of one engine in any order, some twice. What is listed is
// the newest life that was heard of, in the state that its own notices gave it.
TEST_F(an_engine_that_keeps_its_name, IsListedByItsNewestLifeAloneInAnyOrder) {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    random_source Random(Seed);
    backend_directory Fresh{directory_options{}};
    std::uint64_t Newest = 0;
    std::uint64_t Highest = 0; ///< Sequence of the newest life.
    bool Ends = false;         ///< The newest life has said that it leaves.
    for (int Step = 0; Step < 60; ++Step) {
      Now += std::chrono::milliseconds(Random.below(50));
      const std::uint64_t Started = 1'000 + Random.below(6);
      const std::uint64_t Sequence = 1 + Random.below(20);
      const bool Leaving = Random.below(10) == 0;
      const bool Withdraws = Random.below(12) == 0;
      if (Withdraws)
        Fresh.withdraw({instance_name("a"), incarnation_start(Started)}, Now);
      else
        Fresh.hear(noticeOf(Started, Sequence, Leaving), Now);
      if (Started > Newest) {
        Ends = Withdraws || Leaving;
        Highest = Withdraws ? 0 : Sequence;
        Newest = Started;
      } else if (Started == Newest) {
        Ends = Ends || Withdraws || (Leaving && Sequence > Highest);
        Highest = std::max(Highest, Withdraws ? 0 : Sequence);
      }
      for (const backend_listing &Listing : Fresh.all()) {
        EXPECT_LE(Listing.Started.value(), Newest) << "seed " << Seed;
        EXPECT_EQ(Listing.State == listing_state::Active,
                  Listing.Started.value() == Newest && !Ends)
            << "seed " << Seed << " step " << Step;
      }
      EXPECT_LE(Fresh.all().size(), 1U) << "seed " << Seed;
    }
  }
}

struct an_entry : testing::Test {
  directory_follower Follower{mono_duration(3s)};
  mono_time Now{1h};

  static backend_listing listing(const std::string &Name, listing_state State,
                                 incarnation_start Started = {}) {
    backend_listing Listing;
    Listing.Key = keyOf(backend_address("127.0.0.1:9"), {instance_name(Name), Started});
    Listing.Instance = instance_name(Name);
    Listing.State = State;
    Listing.Started = Started;
    return Listing;
  }
};

// The leader to which a server said that it leaves is gone. The next one has heard of nothing yet:
// what it does not list is neither dropped at once nor used for good.
TEST_F(an_entry, KeepsWhatANewLeaderHasNotHeardOfForAWhile) {
  Follower.takeAll({listing("a", listing_state::Active)}, Now);
  EXPECT_TRUE(Follower.takeAll({}, Now).empty());
  EXPECT_TRUE(Follower.advance(Now + 2s).empty());
  const auto Changes = Follower.advance(Now + 4s);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].State, listing_state::Silent);
}

TEST_F(an_entry, LeavingSticksAgainstANewLeader) {
  Follower.takeAll({listing("a", listing_state::Active)}, Now);
  Follower.take({listing("a", listing_state::Leaving)});
  EXPECT_TRUE(Follower.takeAll({listing("a", listing_state::Active)}, Now).empty());
}

// The leader that listed the former life is gone; its successor knows the new one alone. Work and
// failures of the former life must not count for the new one.
TEST_F(an_entry, DropsTheFormerLifeWhereALeaderListsTheNextOne) {
  const auto Old = listing("a", listing_state::Active, incarnation_start(1'000));
  const auto New = listing("a", listing_state::Active, incarnation_start(2'000));
  Follower.takeAll({Old}, Now);
  const auto Changes = Follower.takeAll({New}, Now);
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].Key, Old.Key);
  EXPECT_EQ(Changes[0].State, listing_state::Gone);
  EXPECT_EQ(Changes[1].Key, New.Key);
  EXPECT_TRUE(Follower.takeAll({Old}, Now).empty()) << "told by one that has heard less";
  EXPECT_EQ(Follower.find(Old.Key), nullptr);
}

TEST_F(an_entry, KnowsAWithdrawalOfALifeWithoutItsAddress) {
  Follower.takeAll({listing("a", listing_state::Active)}, Now);
  backend_listing Bare = listing("a", listing_state::Leaving);
  Bare.Key.Address = backend_address();
  const auto Changes = Follower.take({Bare});
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].Key.Address.str(), "127.0.0.1:9");
}

} // namespace
} // namespace pollenstall

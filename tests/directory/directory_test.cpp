/** @file directory_test.cpp Notices that come late, lives that replace each other, leaders that
 * change. */
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
          Sequence};
}

struct a_directory : testing::Test {
  backend_directory Directory{directory_options{}};
  mono_time Now{1h};

  std::vector<backend_listing> hear(const backend_notice &Notice) {
    return Directory.hear(Notice, Now);
  }
  void pass(mono_span Span) { Now += Span; }
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
  EXPECT_EQ(Directory.withdraw(instance_name("a"), Now).size(), 1U);
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

struct an_entry : testing::Test {
  directory_follower Follower{mono_span(3s)};
  mono_time Now{1h};

  static backend_listing listing(const std::string &Name, listing_state State) {
    backend_listing Listing;
    Listing.Key = keyOf(backend_address("127.0.0.1:9"), instance_name(Name));
    Listing.Instance = instance_name(Name);
    Listing.State = State;
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

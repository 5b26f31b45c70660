/** @file directory_cold_test.cpp What notices say about cold servers, on its way to entries. */
#include "control_link/control_link_codec_func.h"
#include "directory/directory.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;
using cold_time = std::optional<std::chrono::milliseconds>;

struct ColdNoticeTest : testing::Test {
  backend_directory Directory{directory_options{}};
  mono_time Now{1h};

  static backend_notice makeNotice(std::uint64_t Sequence, cold_time ColdFor,
                                   std::uint64_t Started = 1) {
    backend_notice Notice;
    Notice.Instance = instance_name("a");
    Notice.Address = backend_address("127.0.0.1:9");
    Notice.Service = service_name("svc");
    Notice.Domain = failure_domain_name("d");
    Notice.Sequence = Sequence;
    Notice.Started = incarnation_start(Started);
    Notice.ColdFor = ColdFor;
    return Notice;
  }
  std::vector<backend_listing> notice(std::uint64_t Sequence, cold_time ColdFor,
                                      std::uint64_t Started = 1) {
    return Directory.handleNotice(makeNotice(Sequence, ColdFor, Started), Now);
  }
  [[nodiscard]] cold_time listed() const { return Directory.all(Now).at(0).ColdFor; }
};

TEST_F(ColdNoticeTest, TimeLeftPassesInTheList) {
  const auto Changes = notice(1, 8s);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_GE(Changes[0].ColdFor, 8s);
  EXPECT_LE(Changes[0].ColdFor, 8'500ms);
  Now += 3s;
  EXPECT_GE(listed(), 5s);
  EXPECT_LE(listed(), 5'500ms);
  Now += 6s;
  EXPECT_EQ(listed(), 0ms);
}

// Guards against a message to every entry for each notice of each server.
TEST_F(ColdNoticeTest, NoticesThatStateTheSameEndAreNotPassedOn) {
  notice(1, 8s);
  for (std::uint64_t Second = 1; Second <= 12; ++Second) {
    Now += Second % 2 == 0 ? 1'100ms : 900ms;
    EXPECT_TRUE(
        notice(1 + Second, std::max(0ms, 8'000ms - static_cast<int>(Second) * 1'000ms)).empty())
        << Second;
  }
}

TEST_F(ColdNoticeTest, LaterAndEarlierEndsArePassedOn) {
  notice(1, 0ms);
  EXPECT_EQ(notice(2, 8s).size(), 1U);
  EXPECT_EQ(notice(3, 20s).size(), 1U);
  EXPECT_EQ(notice(4, 2s).size(), 1U);
  EXPECT_EQ(notice(5, 0ms).size(), 1U);
  EXPECT_EQ(listed(), 0ms);
  EXPECT_TRUE(notice(6, 0ms).empty());
}

TEST_F(ColdNoticeTest, LateNoticeChangesNothing) {
  notice(1, 0ms);
  notice(3, 8s);
  EXPECT_TRUE(notice(2, 0ms).empty());
  EXPECT_GE(listed(), 8s);
}

TEST_F(ColdNoticeTest, NoticeThatSaysNothingChangesNothing) {
  notice(1, 8s);
  EXPECT_TRUE(notice(2, std::nullopt).empty());
  EXPECT_GE(listed(), 8s);
}

TEST_F(ColdNoticeTest, AbsurdTimesAreBounded) {
  notice(1, std::chrono::milliseconds::max());
  EXPECT_LE(listed(), MaxColdTime + 1s);
  notice(2, std::chrono::milliseconds::min());
  EXPECT_EQ(listed(), 0ms);
}

// An incarnation that returns under its name starts anew: the end of its predecessor does not
// count.
TEST_F(ColdNoticeTest, NewIncarnationStatesItsOwnTime) {
  notice(9, 0ms, 1);
  const auto Changes = notice(1, 8s, 2);
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].State, listing_state::Gone);
  EXPECT_GE(Changes[1].ColdFor, 8s);
  EXPECT_TRUE(notice(10, 0ms, 1).empty());
  EXPECT_GE(listed(), 8s);
}

// The first notice at a new leader may have been sent before the server turned cold.
TEST_F(ColdNoticeTest, NewLeaderListsAServerAsWarmAfterTwoNotices) {
  backend_directory Former{directory_options{}};
  Former.handleNotice(makeNotice(5, 8s), Now);
  std::vector<backend_listing> Recorded = Former.all(Now);
  Recorded[0].ColdFor.reset(); // The log does not contain it.
  Directory.restore(Recorded, Now);
  EXPECT_EQ(listed(), std::nullopt);
  EXPECT_TRUE(notice(4, 0ms).empty());
  EXPECT_EQ(listed(), std::nullopt);
  EXPECT_EQ(notice(6, 7s).size(), 1U);
  EXPECT_GE(listed(), 7s);
}

TEST_F(ColdNoticeTest, NextStatementIsPassedOnAfterARestore) {
  notice(1, 0ms);
  Directory.expectColdStatements(failure_domain_name("d"));
  const auto Changes = notice(2, 0ms);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].ColdFor, 0ms);
  EXPECT_TRUE(notice(3, 0ms).empty());
}

struct ColdFollowerTest : ColdNoticeTest {
  directory_follower Follower{3s};
};

TEST_F(ColdFollowerTest, StatementPassesWithoutAChangeOfState) {
  Follower.applyFullList(notice(1, 0ms), Now);
  const auto Changes = Follower.applyUpdates(notice(2, 8s), Now);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_GE(Changes[0].ColdFor, 8s);
  backend_listing Silent = Changes[0];
  Silent.ColdFor.reset();
  EXPECT_TRUE(Follower.applyFullList({Silent}, Now).empty());
}

TEST_F(ColdFollowerTest, LeavingSticksWhenAListingStatesATime) {
  auto Listings = notice(1, 8s);
  Follower.applyFullList(Listings, Now);
  Follower.markLeaving(Listings[0].Key);
  const auto Changes = Follower.applyUpdates(Listings, Now);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].State, listing_state::Leaving);
}

/// A message as the earlier build reads and writes it.
struct earlier_backends {
  bool IsFullList{false};
  std::vector<backend_listing> Listings;
  template <typename Archive> void serialize(Archive &Into) { Into(IsFullList, Listings); }
};

struct ColdListingCodecTest : ColdFollowerTest {
  template <typename To, typename From> static To sentAs(const From &Message) {
    const std::string Bytes = encodePlain(Message);
    const auto Decoded = decodePlain<To>(Bytes);
    EXPECT_TRUE(succeeded(Decoded));
    return valueOf(Decoded);
  }
};

TEST_F(ColdListingCodecTest, TimeLeftArrivesAsItWasSent) {
  link_backends Message{true, notice(1, 8s)};
  Message.Listings.push_back(Message.Listings[0]);
  Message.Listings[1].Key.Incarnation = incarnation(5);
  Message.Listings[1].ColdFor.reset();
  const auto Received = sentAs<link_backends>(Message);
  EXPECT_TRUE(Received.IsFullList);
  EXPECT_EQ(Received.Listings, Message.Listings);
}

// Guards against entries of the earlier build, which would drop the message or list a server that
// does not exist, and against control hosts of the earlier build.
TEST_F(ColdListingCodecTest, EarlierBuildReadsTheListingsAndIgnoresTheTimes) {
  const link_backends Message{true, notice(1, 8s)};
  const auto Received = sentAs<earlier_backends>(Message);
  const auto Changes = Follower.applyFullList(Received.Listings, Now);
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].Key, Message.Listings[0].Key);
  EXPECT_EQ(Changes[0].State, listing_state::Active);
  earlier_backends Earlier{true, Message.Listings};
  const auto FromEarlier = sentAs<link_backends>(Earlier);
  ASSERT_EQ(FromEarlier.Listings.size(), 1U);
  EXPECT_EQ(FromEarlier.Listings[0].ColdFor, std::nullopt);
}

TEST_F(ColdListingCodecTest, AbsurdTimeOnTheWireIsBounded) {
  earlier_backends Message{true, notice(1, 8s)};
  backend_listing Note = coldNote(Message.Listings[0]);
  Note.Started = incarnation_start(~0ULL);
  Message.Listings.push_back(Note);
  EXPECT_EQ(sentAs<link_backends>(Message).Listings.at(0).ColdFor, MaxColdTime);
}

} // namespace
} // namespace pollenstall

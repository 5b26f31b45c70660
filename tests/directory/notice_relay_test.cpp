/** @file notice_relay_test.cpp Notices that control hosts accept on behalf of the leader. */
#include "core/core.h"
#include "directory/directory.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

backend_notice noticeOf(std::uint64_t Started, std::uint64_t Sequence) {
  backend_notice Notice;
  Notice.Instance = instance_name("a");
  Notice.Address = backend_address("127.0.0.1:9");
  Notice.Service = service_name("svc");
  Notice.Domain = failure_domain_name("d");
  Notice.Slots = 4;
  Notice.Sequence = Sequence;
  Notice.Started = incarnation_start(Started);
  return Notice;
}

relayed_notice relayedOf(const backend_notice &Notice) {
  return {{Notice.Instance, Notice.Started}, Notice.Sequence};
}

/// A control host that follows, and the leader's directory.
class NoticeRelayTest : public testing::Test {
protected:
  NoticeRelayTest() {
    Leader.handleNotice(noticeOf(Start, 1), Now);
    Recorded = *Leader.find(instance_name("a"));
  }

  /// Sends the batch that is due, if any, and handles the leader's receipt.
  void exchange() {
    if (const auto Batch = Relay.takeBatch(Now))
      Relay.handleReceipt(Batch->Number);
  }

  bool accept(const backend_notice &Notice) { return Relay.accept(Notice, &Recorded, Now); }

  static constexpr std::uint64_t Start = 100;
  mono_time Now{1h};
  backend_directory Leader{directory_options{}};
  backend_listing Recorded;
  notice_relay Relay;
};

TEST_F(NoticeRelayTest, AcceptsNoticesThatChangeNothing) {
  EXPECT_FALSE(accept(noticeOf(Start, 2))) << "the leader has not sent a receipt yet";
  exchange();
  EXPECT_TRUE(accept(noticeOf(Start, 3)));
  Now += 100ms;
  const auto Batch = Relay.takeBatch(Now);
  ASSERT_TRUE(Batch);
  EXPECT_EQ(Batch->Notices, std::vector{relayedOf(noticeOf(Start, 3))});
}

// Guards against a change that only a follower knows: it would be lost with that host, although the
// backend server got an acknowledgement.
TEST_F(NoticeRelayTest, LeavesEachChangeToTheLeader) {
  exchange();
  backend_notice Leaving = noticeOf(Start, 2);
  Leaving.Leaving = true;
  EXPECT_FALSE(accept(Leaving));
  EXPECT_FALSE(accept(noticeOf(Start + 1, 1))) << "a new incarnation";
  backend_notice Moved = noticeOf(Start, 2);
  Moved.Address = backend_address("127.0.0.1:10");
  EXPECT_FALSE(accept(Moved));
  EXPECT_FALSE(Relay.accept(noticeOf(Start, 2), nullptr, Now)) << "not listed";
  Recorded.State = listing_state::Unresponsive;
  EXPECT_FALSE(accept(noticeOf(Start, 2)));
}

// Guards against a control host behind a partition that keeps acknowledging notices which the
// leader never gets, so that all of its backend servers count as unresponsive.
TEST_F(NoticeRelayTest, RefusesNoticesOnceTheLeaderIsOutOfReach) {
  exchange();
  for (int Step = 0; Step < 20; ++Step) {
    Now += 100ms;
    (void)Relay.takeBatch(Now);
  }
  EXPECT_FALSE(accept(noticeOf(Start, 2)));
  exchange();
  Now += 400ms;
  exchange();
  EXPECT_TRUE(accept(noticeOf(Start, 3)));
}

TEST_F(NoticeRelayTest, WaitsForAReceiptOfEachNewLeader) {
  exchange();
  ASSERT_TRUE(accept(noticeOf(Start, 2)));
  Relay.leaderChanged();
  EXPECT_FALSE(accept(noticeOf(Start, 3)));
  const auto Batch = Relay.takeBatch(Now);
  ASSERT_TRUE(Batch);
  EXPECT_EQ(Batch->Notices.size(), 1U) << "the new leader gets what the former one did not";
  Relay.handleReceipt(Batch->Number);
  EXPECT_TRUE(accept(noticeOf(Start, 4)));
}

// Guards against a receipt that is delayed by a partition and makes an unreachable leader look
// reachable.
TEST_F(NoticeRelayTest, IgnoresALateReceipt) {
  const auto Batch = Relay.takeBatch(Now);
  ASSERT_TRUE(Batch);
  Now += 1500ms;
  (void)Relay.takeBatch(Now);
  Relay.handleReceipt(Batch->Number);
  EXPECT_FALSE(accept(noticeOf(Start, 2)));
}

TEST_F(NoticeRelayTest, KeepsABackendServerActiveAtTheLeader) {
  for (std::uint64_t Sequence = 2; Sequence < 20; ++Sequence) {
    Now += 1s;
    EXPECT_TRUE(Leader.handleRelayed(relayedOf(noticeOf(Start, Sequence)), Now).empty());
    EXPECT_TRUE(Leader.advance(Now).empty());
  }
}

// Guards against a batch that arrives after the backend server said that it leaves, and after its
// name went to a new incarnation.
TEST_F(NoticeRelayTest, LateBatchesRestoreNothingAtTheLeader) {
  backend_notice Leaving = noticeOf(Start, 5);
  Leaving.Leaving = true;
  Leader.handleNotice(Leaving, Now);
  EXPECT_TRUE(Leader.handleRelayed(relayedOf(noticeOf(Start, 4)), Now).empty());
  EXPECT_TRUE(Leader.handleRelayed(relayedOf(noticeOf(Start, 6)), Now).empty());
  EXPECT_EQ(Leader.find(instance_name("a"))->State, listing_state::Leaving);
  Leader.handleNotice(noticeOf(Start + 1, 1), Now);
  EXPECT_TRUE(Leader.handleRelayed(relayedOf(noticeOf(Start, 7)), Now).empty());
  EXPECT_EQ(Leader.find(instance_name("a"))->Started, incarnation_start(Start + 1));
}

} // namespace
} // namespace pollenstall

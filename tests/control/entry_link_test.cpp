/** @file entry_link_test.cpp Entries that follow real control hosts. */
#include "address/address.h"
#include "control/control_cluster.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr int Ok = 200;
const std::string QuickLeases = "[log]\nheartbeat_ms = 40\nelection_ms = 400\nsnapshot_every = 64\n"
                                "[entries]\nlease_ms = 2500\nconfirm_within_ms = 500\n";

class FollowingEntriesTest : public testing::Test {
protected:
  void SetUp() override { Cluster.waitForLeader(); }

  /// @return What the leader reports as in force everywhere; 0 where it does not know.
  std::uint64_t inForce(std::size_t Leader) const {
    const auto Status = Cluster.status(Leader);
    if (!Status.contains("in_force_revision") || Status.at("in_force_revision").is_null())
      return 0;
    return Status.at("in_force_revision").to_number<std::uint64_t>();
  }

  void changeTimes(std::uint64_t Count) {
    for (std::uint64_t Step = 0; Step < Count; ++Step, ++Base)
      ASSERT_EQ(Cluster.change("c" + std::to_string(Base), Base, declarationText(int(Base))).Status,
                Ok);
  }

  control_cluster Cluster{3, QuickLeases};
  std::uint64_t Base{0};
};

TEST_F(FollowingEntriesTest, GetAChangeAndALease) {
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  changeTimes(1);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && Entry.inUse() == revision(1); }));
  EXPECT_EQ(Entry.Text, declarationText(0));
}

TEST_F(FollowingEntriesTest, AreUnreadyOnceControlIsGone) {
  // All control hosts are frozen. The entry cannot know whether its declaration has been replaced,
  // so after the lease it must not take new requests.
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.freeze(Host);
  EXPECT_TRUE(Entry.pumpUntil([&] { return !Entry.ready(); }));
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.thaw(Host);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
}

TEST_F(FollowingEntriesTest, StayReadyWhileALeaderIsReplaced) {
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  Cluster.kill(Cluster.waitForLeader());
  changeTimes(1);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && Entry.inUse() == revision(1); }));
  EXPECT_EQ(Entry.StaleOffers, 0U);
}

TEST_F(FollowingEntriesTest, ThatNeverConfirmDoNotHoldAChangeUpForEver) {
  // One entry receives changes but never takes them into use. Until its lease has run out the
  // change is not in force everywhere; then it is, because that entry has turned unready.
  test_entry Good(Cluster.entryAddresses(), "entry-1");
  test_entry Bad(Cluster.entryAddresses(), "entry-2");
  const auto Pump = [&] { return Bad.pumpUntil([] { return true; }); };
  ASSERT_TRUE(Good.pumpUntil([&] { return Pump() && Good.ready() && Bad.ready(); }));
  Bad.Confirms = false;
  changeTimes(1);
  const std::size_t Leader = Cluster.waitForLeader();
  ASSERT_TRUE(Good.pumpUntil([&] { return Pump() && Good.inUse() == revision(1); }));
  EXPECT_TRUE(Good.pumpUntil([&] { return Pump() && inForce(Leader) == 1; }));
  EXPECT_FALSE(Bad.ready());
  EXPECT_TRUE(Good.ready());
}

TEST_F(FollowingEntriesTest, ThatRestartAfterManyChangesActOnTheNewestOnly) {
  // The entry was away for 1,000 changes. Its new life must not act on anything it used before, and
  // it must not be walked through the changes in between.
  {
    test_entry Before(Cluster.entryAddresses(), "entry-1", 1);
    changeTimes(1);
    ASSERT_TRUE(Before.pumpUntil([&] { return Before.inUse() == revision(1); }));
  }
  changeTimes(999);
  test_entry After(Cluster.entryAddresses(), "entry-1", 2);
  EXPECT_FALSE(After.ready());
  ASSERT_TRUE(After.pumpUntil([&] { return After.ready(); }));
  EXPECT_EQ(After.inUse(), revision(1000));
  EXPECT_EQ(After.Offers, 1U);
}

TEST_F(FollowingEntriesTest, LearnWhichBackendServersAreDrained) {
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  const std::string Drain = R"({"change_id":"d","backend":"127.0.0.1:9001","undo":false})";
  const std::size_t Leader = Cluster.waitForLeader();
  EXPECT_EQ(Cluster.post(Leader, "/v1/drains", Drain).Status, Ok);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.Drains.size() == 1; }));
}

TEST_F(FollowingEntriesTest, RunAClaimedKeyOnceAcrossAFailover) {
  // The first entry claims a key and dies with its work under way; so does the leader. The caller
  // resends through another entry, which must not be granted the key by the next leader.
  {
    test_entry First(Cluster.entryAddresses(), "entry-1");
    ASSERT_EQ(First.claim(7, "acme-1:letter-1"), claim_status::Granted);
  }
  Cluster.kill(Cluster.waitForLeader());
  test_entry Second(Cluster.entryAddresses(), "entry-2");
  EXPECT_EQ(Second.claim(1, "acme-1:letter-1"), claim_status::Running);
  EXPECT_EQ(Second.claim(2, "acme-1:letter-2"), claim_status::Granted);
}

TEST_F(FollowingEntriesTest, RecordTheEndOfClaimedWorkAcrossAFailover) {
  test_entry First(Cluster.entryAddresses(), "entry-1");
  test_entry Second(Cluster.entryAddresses(), "entry-2");
  ASSERT_EQ(First.claim(1, "key"), claim_status::Granted);
  Cluster.kill(Cluster.waitForLeader());
  First.settle(1, "key", claim_state::Complete);
  EXPECT_TRUE(eventually([&] { return Second.claim(2, "key") == claim_status::Complete; }));
}

TEST_F(FollowingEntriesTest, FreeAClaimThatTheyGaveUp) {
  // No leader answers in time, so the entry says "unavailable" and runs nothing. The claim may have
  // been granted all the same; if it were not given back, the caller's resend would be refused.
  test_entry First(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(First.pumpUntil([&] { return First.ready(); }));
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.freeze(Host);
  EXPECT_EQ(First.claim(1, "key", std::chrono::milliseconds(300)), claim_status::Unavailable);
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.thaw(Host);
  test_entry Second(Cluster.entryAddresses(), "entry-2");
  EXPECT_TRUE(eventually([&] { return Second.claim(2, "key") == claim_status::Granted; }));
}

/// Sends bytes and waits until the other side has closed.
bool closesAfter(const std::string &Address, const std::string &Bytes) {
  using boost::asio::ip::tcp;
  boost::asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.connect(*tcpEndpoint(Address));
  boost::system::error_code Error;
  boost::asio::write(Socket, boost::asio::buffer(Bytes), Error);
  char Byte = 0;
  Socket.read_some(boost::asio::buffer(&Byte, 1), Error);
  return static_cast<bool>(Error);
}

TEST_F(FollowingEntriesTest, AreServedWhileOthersSendGarbage) {
  // Something else connects to both ports: random bytes, a frame of 4 GB that is announced but
  // never sent, an envelope of another fleet. Each is cut off and counted; nothing is allocated for
  // it and nobody else notices.
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  const std::size_t Leader = Cluster.waitForLeader();
  const std::string Huge("\xFF\xFF\xFF\xFFxx", 6);
  const std::string Foreign =
      encodeFrame(encodeEnvelope("other-fleet", message_kind::ControlLink, std::uint64_t{1}));
  random_source Random(11);
  std::string Noise = encodeFrame(std::string(64, 'x'));
  for (std::size_t Index = 4; Index < Noise.size(); ++Index)
    Noise[Index] = static_cast<char>(Random());
  for (const std::string &Address : {Cluster.entryAddresses()[Leader], Cluster.peerAddress(Leader)})
    for (const std::string &Bytes : {Huge, Foreign, Noise})
      EXPECT_TRUE(closesAfter(Address, Bytes));
  changeTimes(1);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && Entry.inUse() == revision(1); }));
  const auto Dump = objectIn(Cluster.get(Leader, "/dump"));
  EXPECT_GE(Dump.at("peers").at("garbage").to_number<int>(), 2);
  EXPECT_GE(Dump.at("entry_link").at("garbage").to_number<int>(), 2);
}

} // namespace
} // namespace pollenstall

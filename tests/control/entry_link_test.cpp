/** @file entry_link_test.cpp Entries connected to control host processes. */
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

class EntryLinkTest : public testing::Test {
protected:
  void SetUp() override { Cluster.waitForLeader(); }

  /// @return The revision that the leader reports as in force everywhere; 0 if it is unknown.
  std::uint64_t inForce(std::size_t Leader) const {
    const auto Status = Cluster.status(Leader);
    if (!Status.contains("in_force_revision") || Status.at("in_force_revision").is_null())
      return 0;
    return Status.at("in_force_revision").to_number<std::uint64_t>();
  }

  void applyChanges(std::uint64_t Count) {
    for (std::uint64_t Step = 0; Step < Count; ++Step, ++Base)
      ASSERT_EQ(Cluster.change("c" + std::to_string(Base), Base, declarationText(int(Base))).Status,
                Ok);
  }

  control_cluster Cluster{3, QuickLeases};
  std::uint64_t Base{0};
};

TEST_F(EntryLinkTest, ReceivesAChangeAndALease) {
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  applyChanges(1);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && Entry.inUse() == revision(1); }));
  EXPECT_EQ(Entry.Text, declarationText(0));
}

TEST_F(EntryLinkTest, IsNotReadyOnceTheLeaseHasExpired) {
  // All control hosts are frozen. The entry cannot know whether its declaration has been replaced,
  // so it must not accept new requests after its lease has expired.
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.freeze(Host);
  EXPECT_TRUE(Entry.pumpUntil([&] { return !Entry.ready(); }));
  for (std::size_t Host = 0; Host < Cluster.size(); ++Host)
    Cluster.thaw(Host);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
}

TEST_F(EntryLinkTest, StaysReadyWhileALeaderIsReplaced) {
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  Cluster.kill(Cluster.waitForLeader());
  applyChanges(1);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && Entry.inUse() == revision(1); }));
  EXPECT_EQ(Entry.ReceivedStale, 0U);
}

TEST_F(EntryLinkTest, DoesNotBlockAChangeThatOneEntryNeverConfirms) {
  // One entry receives changes but never confirms them. Until its lease has expired, the change is
  // not in force everywhere; then it is, because that entry is no longer ready.
  test_entry Good(Cluster.entryAddresses(), "entry-1");
  test_entry Bad(Cluster.entryAddresses(), "entry-2");
  const auto Pump = [&] { return Bad.pumpUntil([] { return true; }); };
  ASSERT_TRUE(Good.pumpUntil([&] { return Pump() && Good.ready() && Bad.ready(); }));
  Bad.ConfirmsRevisions = false;
  applyChanges(1);
  const std::size_t Leader = Cluster.waitForLeader();
  ASSERT_TRUE(Good.pumpUntil([&] { return Pump() && Good.inUse() == revision(1); }));
  EXPECT_TRUE(Good.pumpUntil([&] { return Pump() && inForce(Leader) == 1; }));
  EXPECT_FALSE(Bad.ready());
  EXPECT_TRUE(Good.ready());
}

TEST_F(EntryLinkTest, UsesOnlyTheNewestDeclarationAfterARestart) {
  // The entry was down for 1,000 changes. Its new incarnation must not act on any earlier
  // declaration, and must not receive the intermediate ones.
  {
    test_entry Before(Cluster.entryAddresses(), "entry-1", 1);
    applyChanges(1);
    ASSERT_TRUE(Before.pumpUntil([&] { return Before.inUse() == revision(1); }));
  }
  applyChanges(999);
  test_entry After(Cluster.entryAddresses(), "entry-1", 2);
  EXPECT_FALSE(After.ready());
  ASSERT_TRUE(After.pumpUntil([&] { return After.ready(); }));
  EXPECT_EQ(After.inUse(), revision(1000));
  EXPECT_EQ(After.ReceivedDeclarations, 1U);
}

TEST_F(EntryLinkTest, ReceivesTheDrainedBackendServers) {
  test_entry Entry(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Entry.pumpUntil([&] { return Entry.ready(); }));
  const std::string Drain = R"({"change_id":"d","backend":"127.0.0.1:9001","undo":false})";
  const std::size_t Leader = Cluster.waitForLeader();
  EXPECT_EQ(Cluster.post(Leader, "/v1/drains", Drain).Status, Ok);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.Drains.size() == 1; }));
}

TEST_F(EntryLinkTest, RunsAClaimedKeyOnceAcrossAFailover) {
  // The first entry claims a key and is lost while its work runs, and the leader is killed. The
  // caller resends through another entry; the next leader must not grant the key to it.
  {
    test_entry First(Cluster.entryAddresses(), "entry-1");
    ASSERT_EQ(First.claim(7, "acme-1:letter-1"), claim_status::Granted);
  }
  Cluster.kill(Cluster.waitForLeader());
  test_entry Second(Cluster.entryAddresses(), "entry-2");
  EXPECT_EQ(Second.claim(1, "acme-1:letter-1"), claim_status::Running);
  EXPECT_EQ(Second.claim(2, "acme-1:letter-2"), claim_status::Granted);
}

TEST_F(EntryLinkTest, RecordsAClaimOutcomeAcrossAFailover) {
  test_entry First(Cluster.entryAddresses(), "entry-1");
  test_entry Second(Cluster.entryAddresses(), "entry-2");
  ASSERT_EQ(First.claim(1, "key"), claim_status::Granted);
  Cluster.kill(Cluster.waitForLeader());
  First.settle(1, "key", claim_state::Complete);
  EXPECT_TRUE(eventually([&] { return Second.claim(2, "key") == claim_status::Complete; }));
}

TEST_F(EntryLinkTest, ReleasesAClaimThatTimedOut) {
  // No leader answers in time, so the entry reports "unavailable" and runs nothing. The claim may
  // still have been granted. If it were not released, the caller's resend would be refused.
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

/// Sends bytes and waits for the end of the connection. @return Whether the server closed it.
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

TEST_F(EntryLinkTest, ServesEntriesWhileOthersSendInvalidMessages) {
  // A foreign client sends to both ports: random bytes, the header of a 4 GB frame without its
  // content, an envelope of another fleet. Each connection is closed and counted, nothing is
  // allocated for it, and entries are not affected.
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
  applyChanges(1);
  EXPECT_TRUE(Entry.pumpUntil([&] { return Entry.ready() && Entry.inUse() == revision(1); }));
  const auto Dump = objectIn(Cluster.get(Leader, "/dump"));
  EXPECT_GE(Dump.at("peers").at("garbage").to_number<int>(), 2);
  EXPECT_GE(Dump.at("entry_link").at("garbage").to_number<int>(), 2);
}

} // namespace
} // namespace pollenstall

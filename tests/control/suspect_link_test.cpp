/** @file suspect_link_test.cpp Crash reports from entries, and the suspects published to all
 * entries. */
#include "control/control_cluster.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

constexpr std::size_t Hosts = 3;

class SuspectLinkTest : public testing::Test {
protected:
  void SetUp() override { Cluster.waitForLeader(); }

  /// Reports crashes of different incarnations until this entry receives the request as blocked.
  bool reportUntilBlocked(test_entry &Entry) {
    return Entry.pumpUntil([&] {
      Entry.link().request(
          crash_report{{backend_address("127.0.0.1:1"), incarnation(++LastIncarnation)}, {Cause}});
      return isBlocked(Entry);
    });
  }
  [[nodiscard]] bool isBlocked(const test_entry &Entry) const {
    return Entry.Suspects.size() == 1 && Entry.Suspects[0].Fingerprint == Cause &&
           Entry.Suspects[0].BlockedFor.count() > 0;
  }

  control_cluster Cluster{Hosts};
  const request_fingerprint Cause{1, 2, 3, 4};
  std::uint64_t LastIncarnation{0};
};

// Guards against an entry that did not see the crashes, or starts later, and runs the request.
TEST_F(SuspectLinkTest, BlocksTheRequestAtAllEntries) {
  test_entry Reporter(Cluster.entryAddresses(), "entry-1");
  test_entry Other(Cluster.entryAddresses(), "entry-2");
  ASSERT_TRUE(reportUntilBlocked(Reporter));
  EXPECT_TRUE(Other.pumpUntil([&] { return isBlocked(Other); }));
  test_entry Later(Cluster.entryAddresses(), "entry-3");
  EXPECT_TRUE(Later.pumpUntil([&] { return isBlocked(Later); }));
}

// Guards against a block that is lost with the leader, or when all control hosts are killed.
TEST_F(SuspectLinkTest, KeepsTheBlockAfterTheLossOfAllControlHosts) {
  {
    test_entry Reporter(Cluster.entryAddresses(), "entry-1");
    ASSERT_TRUE(reportUntilBlocked(Reporter));
  }
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    Cluster.kill(Host);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    Cluster.start(Host);
  test_entry Later(Cluster.entryAddresses(), "entry-2");
  EXPECT_TRUE(Later.pumpUntil([&] { return isBlocked(Later); }));
}

// Guards against a request that stays blocked although it completed without a crash.
TEST_F(SuspectLinkTest, UnblocksTheRequestOnceItCompletes) {
  test_entry Reporter(Cluster.entryAddresses(), "entry-1");
  test_entry Other(Cluster.entryAddresses(), "entry-2");
  ASSERT_TRUE(reportUntilBlocked(Reporter));
  ASSERT_TRUE(Other.pumpUntil([&] { return isBlocked(Other); }));
  Reporter.link().request(suspect_cleared{Cause});
  EXPECT_TRUE(Other.pumpUntil([&] { return Other.Suspects.empty(); }));
}

// Guards against a crash report that is lost since no host leads at that time.
TEST_F(SuspectLinkTest, ReportsCrashesToTheNextLeader) {
  test_entry Reporter(Cluster.entryAddresses(), "entry-1");
  ASSERT_TRUE(Reporter.pumpUntil([&] { return Reporter.ready(); }));
  Cluster.kill(Cluster.waitForLeader());
  EXPECT_TRUE(reportUntilBlocked(Reporter));
}

} // namespace
} // namespace pollenstall

/** @file suspect_table_test.cpp Which requests are blocked after crashes of backend servers. */
#include "suspect/suspect.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

request_fingerprint fingerprintOf(std::uint64_t Account, std::uint64_t Id) {
  return {Account, Id, Id, Id};
}

struct suspect_table_test : testing::Test {
  suspect_tuning Tuning;
  suspect_table Table{Tuning};
  milliseconds Now{1'000'000};
  std::uint64_t LastIncarnation{0};
  const request_fingerprint CrashingRequest = fingerprintOf(1, 1);

  /// Crashes another backend server, with this delay after the previous crash.
  void crash(const std::vector<request_fingerprint> &Fingerprints, milliseconds Delay) {
    Now += Delay;
    Table.recordCrash(Fingerprints, incarnation(++LastIncarnation), Now);
  }
  void crashThreeTimes(const request_fingerprint &Fingerprint) {
    for (int Crash = 0; Crash < 3; ++Crash)
      crash({Fingerprint}, Tuning.MinCrashInterval);
  }
  [[nodiscard]] bool isBlocked(const request_fingerprint &Fingerprint) const {
    for (const published_suspect &Suspect : Table.published(Now))
      if (Suspect.Fingerprint == Fingerprint)
        return Suspect.BlockedFor.count() > 0;
    return false;
  }
};

TEST_F(suspect_table_test, BlocksAtTheThirdCrash) {
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  EXPECT_TRUE(Table.published(Now).empty());
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  EXPECT_EQ(Table.published(Now),
            (std::vector<published_suspect>{{CrashingRequest, milliseconds(0)}}));
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  EXPECT_EQ(Table.published(Now),
            (std::vector<published_suspect>{{CrashingRequest, Tuning.InitialBlock}}));
}

// Guards against refusing requests that merely ran next to the crashing one.
TEST_F(suspect_table_test, DoesNotPublishRequestsOfASingleCrash) {
  for (std::uint64_t Crash = 0; Crash < 3; ++Crash)
    crash({CrashingRequest, fingerprintOf(2, 10 + Crash)}, Tuning.MinCrashInterval);
  EXPECT_EQ(Table.published(Now).size(), 1U);
}

// Guards against counting one crash several times because several entries report it.
TEST_F(suspect_table_test, CountsEachServerIncarnationOnce) {
  for (int Entry = 0; Entry < 5; ++Entry) {
    Now += Tuning.MinCrashInterval;
    Table.recordCrash({CrashingRequest}, incarnation(7), Now);
  }
  EXPECT_TRUE(Table.published(Now).empty());
}

// Guards against refusing a frequently used request because a whole failure domain was lost.
TEST_F(suspect_table_test, CountsTheLossOfManyServersAtOnceAsOneCrash) {
  for (int Server = 0; Server < 20; ++Server)
    crash({CrashingRequest}, milliseconds(20));
  EXPECT_TRUE(Table.published(Now).empty());
}

TEST_F(suspect_table_test, ClearsARequestAfterASuccessfulRun) {
  crashThreeTimes(CrashingRequest);
  Table.clearByHigh(CrashingRequest.High);
  EXPECT_TRUE(Table.published(Now).empty());
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  EXPECT_TRUE(Table.published(Now).empty());
}

// After a block, one crash must be enough to block the request again. Otherwise, each end of a
// block would cost three more servers.
TEST_F(suspect_table_test, DoublesTheBlockAtTheFirstCrashAfterIt) {
  crashThreeTimes(CrashingRequest);
  Now += Tuning.InitialBlock;
  EXPECT_FALSE(isBlocked(CrashingRequest));
  crash({CrashingRequest}, milliseconds(1));
  EXPECT_EQ(Table.published(Now),
            (std::vector<published_suspect>{{CrashingRequest, 2 * Tuning.InitialBlock}}));
}

// Guards against extending a block because of runs that were in flight when it began.
TEST_F(suspect_table_test, DoesNotExtendABlockForRunsStartedBeforeIt) {
  crashThreeTimes(CrashingRequest);
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  EXPECT_EQ(Table.published(Now),
            (std::vector<published_suspect>{
                {CrashingRequest, Tuning.InitialBlock - Tuning.MinCrashInterval}}));
}

TEST_F(suspect_table_test, ExpiresOldRecords) {
  crashThreeTimes(CrashingRequest);
  Now += Tuning.InitialBlock + Tuning.ForgetAfter + minutes(1);
  crash({fingerprintOf(2, 2)}, Tuning.MinCrashInterval);
  EXPECT_EQ(Table.records().size(), 1U);
}

// Guards against one client account evicting the suspects of another.
TEST_F(suspect_table_test, KeepsSuspectsWhenAnotherAccountAddsMany) {
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  for (std::uint64_t Id = 0; Id < 2 * Tuning.MaxRecords; ++Id)
    crash({fingerprintOf(2, 100 + Id)}, milliseconds(1));
  EXPECT_EQ(Table.records().size(), 1 + Tuning.MaxRecordsPerAccount);
  crash({CrashingRequest}, Tuning.MinCrashInterval);
  EXPECT_TRUE(isBlocked(CrashingRequest));
}

TEST_F(suspect_table_test, NeverExceedsMaxRecords) {
  for (std::uint64_t Id = 0; Id < 2 * Tuning.MaxRecords; ++Id)
    crash({fingerprintOf(Id, Id)}, milliseconds(1));
  EXPECT_EQ(Table.records().size(), Tuning.MaxRecords);
}

// Guards against losing suspects when a new leader, or a host, restores a snapshot.
TEST_F(suspect_table_test, IsIdenticalAfterARestore) {
  crashThreeTimes(CrashingRequest);
  suspect_table Restored(Tuning);
  ASSERT_TRUE(Restored.restore(Table.records(), Table.version()));
  EXPECT_EQ(Restored.published(Now), Table.published(Now));
  EXPECT_EQ(Restored.version(), Table.version());
}

TEST(SuspectListTest, FindsRequestsByHeadHashAndFingerprint) {
  const mono_time Now{std::chrono::hours(1)};
  const request_fingerprint Blocked{1, 2, 3, 4};
  const request_fingerprint Watched{1, 2, 5, 6};
  const suspect_list List({{Blocked, milliseconds(50)}, {Watched, milliseconds(0)}}, Now);
  EXPECT_TRUE(List.hasHeadHash(2));
  EXPECT_FALSE(List.hasHeadHash(3));
  EXPECT_EQ(List.blockedUntil(Blocked, Now), Now + milliseconds(50));
  EXPECT_FALSE(List.blockedUntil(Blocked, Now + milliseconds(50)));
  EXPECT_FALSE(List.blockedUntil(Watched, Now));
  EXPECT_TRUE(List.contains(Watched));
  EXPECT_FALSE(List.contains({1, 2, 5, 7}));
}

} // namespace
} // namespace pollenstall

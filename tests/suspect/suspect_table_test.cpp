/** @file suspect_table_test.cpp Which requests are blocked for crashes of backend servers. */
#include "suspect/suspect.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

request_mark markOf(std::uint64_t Account, std::uint64_t Number) {
  return {Account, Number, Number, Number};
}

struct suspects : testing::Test {
  suspect_tuning Tuning;
  suspect_table Table{Tuning};
  milliseconds Now{1'000'000};
  std::uint64_t LastIncarnation{0};
  const request_mark Cause = markOf(1, 1);

  /// Another backend server crashes, this long after the one before.
  void crash(const std::vector<request_mark> &Marks, milliseconds After) {
    Now += After;
    Table.noteCrash(Marks, incarnation(++LastIncarnation), Now);
  }
  void crashThrice(const request_mark &Mark) {
    for (int Time = 0; Time < 3; ++Time)
      crash({Mark}, Tuning.Apart);
  }
  [[nodiscard]] bool isBlocked(const request_mark &Mark) const {
    for (const told_suspect &Told : Table.told(Now))
      if (Told.Mark == Mark)
        return Told.BlockedFor.count() > 0;
    return false;
  }
};

TEST_F(suspects, AreBlockedAtTheThirdCrash) {
  crash({Cause}, Tuning.Apart);
  EXPECT_TRUE(Table.told(Now).empty());
  crash({Cause}, Tuning.Apart);
  EXPECT_EQ(Table.told(Now), (std::vector<told_suspect>{{Cause, milliseconds(0)}}));
  crash({Cause}, Tuning.Apart);
  EXPECT_EQ(Table.told(Now), (std::vector<told_suspect>{{Cause, Tuning.BlockFor}}));
}

// Guards against others that only ran beside the cause being refused with it.
TEST_F(suspects, AreNotThoseThatRanBesideTheCauseOnce) {
  for (std::uint64_t Time = 0; Time < 3; ++Time)
    crash({Cause, markOf(2, 10 + Time)}, Tuning.Apart);
  EXPECT_EQ(Table.told(Now).size(), 1U);
}

// Guards against several entries' reports of one crash counting as several.
TEST_F(suspects, CountEachLifeOfAServerOnce) {
  for (int Entry = 0; Entry < 5; ++Entry) {
    Now += Tuning.Apart;
    Table.noteCrash({Cause}, incarnation(7), Now);
  }
  EXPECT_TRUE(Table.told(Now).empty());
}

// Guards against a request in steady use being refused since a whole failure domain was lost.
TEST_F(suspects, CountTheLossOfManyServersAtOnceAsOneCrash) {
  for (int Server = 0; Server < 20; ++Server)
    crash({Cause}, milliseconds(20));
  EXPECT_TRUE(Table.told(Now).empty());
}

TEST_F(suspects, AreClearedByARunThatEndsWell) {
  crashThrice(Cause);
  Table.clear(Cause.High);
  EXPECT_TRUE(Table.told(Now).empty());
  crash({Cause}, Tuning.Apart);
  EXPECT_TRUE(Table.told(Now).empty());
}

// Guards against three more servers lost each time that a block ends.
TEST_F(suspects, AreBlockedForLongerAtTheFirstCrashAfterABlock) {
  crashThrice(Cause);
  Now += Tuning.BlockFor;
  EXPECT_FALSE(isBlocked(Cause));
  crash({Cause}, milliseconds(1));
  EXPECT_EQ(Table.told(Now), (std::vector<told_suspect>{{Cause, 2 * Tuning.BlockFor}}));
}

// Guards against runs that were under way when the block began making it longer.
TEST_F(suspects, AreNotBlockedForLongerByRunsFromBeforeTheBlock) {
  crashThrice(Cause);
  crash({Cause}, Tuning.Apart);
  EXPECT_EQ(Table.told(Now), (std::vector<told_suspect>{{Cause, Tuning.BlockFor - Tuning.Apart}}));
}

TEST_F(suspects, AreForgottenInTheEnd) {
  crashThrice(Cause);
  Now += Tuning.BlockFor + Tuning.ForgetAfter + minutes(1);
  crash({markOf(2, 2)}, Tuning.Apart);
  EXPECT_EQ(Table.records().size(), 1U);
}

// Guards against one client account making the table forget another one's request.
TEST_F(suspects, AreNotPushedOutByAnotherAccount) {
  crash({Cause}, Tuning.Apart);
  crash({Cause}, Tuning.Apart);
  for (std::uint64_t Number = 0; Number < 2 * Tuning.MostRecords; ++Number)
    crash({markOf(2, 100 + Number)}, milliseconds(1));
  EXPECT_EQ(Table.records().size(), 1 + Tuning.MostOfAccount);
  crash({Cause}, Tuning.Apart);
  EXPECT_TRUE(isBlocked(Cause));
}

TEST_F(suspects, AreWithinTheirBoundWhateverComes) {
  for (std::uint64_t Number = 0; Number < 2 * Tuning.MostRecords; ++Number)
    crash({markOf(Number, Number)}, milliseconds(1));
  EXPECT_EQ(Table.records().size(), Tuning.MostRecords);
}

// Guards against a new leader, or a host with a snapshot, that has forgotten them.
TEST_F(suspects, AreTheSameAfterARestore) {
  crashThrice(Cause);
  suspect_table Restored(Tuning);
  ASSERT_TRUE(Restored.restore(Table.records(), Table.version()));
  EXPECT_EQ(Restored.told(Now), Table.told(Now));
  EXPECT_EQ(Restored.version(), Table.version());
}

TEST(SuspectListTest, KnowsARequestByItsShapeFirst) {
  const mono_time Now{std::chrono::hours(1)};
  const request_mark Blocked{1, 2, 3, 4};
  const request_mark Watched{1, 2, 5, 6};
  const suspect_list List({{Blocked, milliseconds(50)}, {Watched, milliseconds(0)}}, Now);
  EXPECT_TRUE(List.hasShape(2));
  EXPECT_FALSE(List.hasShape(3));
  EXPECT_EQ(List.blockedUntil(Blocked, Now), Now + milliseconds(50));
  EXPECT_FALSE(List.blockedUntil(Blocked, Now + milliseconds(50)));
  EXPECT_FALSE(List.blockedUntil(Watched, Now));
  EXPECT_TRUE(List.contains(Watched));
  EXPECT_FALSE(List.contains({1, 2, 5, 7}));
}

} // namespace
} // namespace pollenstall

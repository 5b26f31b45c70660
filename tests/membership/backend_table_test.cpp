/** @file backend_table_test.cpp Which record of a backend server prevails, and how loads are
 * packed. */
#include "membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const backend_address Address("10.1.0.1:8000");
constexpr table_time Start{mono_time(1h), 1h};

table_time after(mono_duration Span) { return {Start.Now + Span, Start.Listened + Span}; }

backend_record recordOf(std::uint64_t Incarnation, std::uint64_t Sequence, bool Leaving) {
  backend_record Record;
  Record.Announcement.Key = {Address, incarnation(Incarnation)};
  Record.Announcement.Labels["said-at"] = std::to_string(Sequence);
  Record.Announcement.Leaving = Leaving;
  Record.Sequence = Sequence;
  Record.LoadSequence = Sequence;
  backend_load Load;
  Load.Sequence = Sequence;
  Record.Load = packLoad(Record.Announcement.Key, Load, {0s, Leaving, false});
  return Record;
}

/// A table that knows one backend server at its tenth report.
class KnownBackendTest : public testing::Test {
protected:
  void SetUp() override { Table.merge(recordOf(1, 10, false), Start); }

  load_digest digest(std::uint64_t Sequence, digest_state State) {
    backend_load Load;
    Load.Sequence = Sequence;
    return packLoad({Address, incarnation(1)}, Load, State);
  }
  [[nodiscard]] backend_standing standing() const {
    return Table.view(subjectOf(Address)).Standing;
  }

  backend_table Table{membership_settings{}};
};

TEST_F(KnownBackendTest, IsNotLostOnAnothersWordWhileItsReportIsYoung) {
  Table.merge(digest(10, {0s, false, true}), after(1s));
  EXPECT_EQ(standing(), backend_standing::Active);
}

TEST_F(KnownBackendTest, IsLostOnAnothersWordWhenItsReportIsOld) {
  Table.merge(digest(10, {5s, false, true}), after(4s));
  EXPECT_EQ(standing(), backend_standing::Lost);
}

TEST_F(KnownBackendTest, ContradictsALossThatANewerReportEnded) {
  Table.merge(digest(11, {}), after(1s));
  EXPECT_TRUE(Table.merge(digest(10, {5s, false, true}), after(5s)).Contradicts);
  EXPECT_EQ(standing(), backend_standing::Active);
}

TEST_F(KnownBackendTest, TakesLeavingFromAnOlderReport) {
  Table.merge(digest(3, {0s, true, false}), after(1s));
  EXPECT_EQ(standing(), backend_standing::Leaving);
}

TEST_F(KnownBackendTest, KeepsItsIncarnationWhenItIsForgotten) {
  Table.expire(after(1min).Listened);
  ASSERT_EQ(Table.forget(after(1h).Listened).size(), 1U);
  EXPECT_TRUE(Table.merge(recordOf(0, 99, false), after(1h)).Older);
  EXPECT_TRUE(Table.merge(recordOf(1, 11, false), after(1h)).any());
  EXPECT_EQ(standing(), backend_standing::Active);
}

TEST_F(KnownBackendTest, IgnoresADigestOfAnotherIncarnation) {
  const load_digest Other = packLoad({Address, incarnation(2)}, {}, {0s, true, false});
  EXPECT_FALSE(Table.merge(Other, after(1s)).any());
}

// Hosts hear the same records in different order. If the order mattered, one would go on placing
// work on a server that the others know to leave.
RC_GTEST_PROP(BackendTable, HoldsTheSameWhateverTheOrderOfArrival, ()) {
  const auto Count = *rc::gen::inRange<std::size_t>(1, 12);
  std::vector<backend_record> Records;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto Incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
    const auto Sequence = *rc::gen::inRange<std::uint64_t>(1, 6);
    Records.push_back(
        recordOf(Incarnation, Sequence, *rc::gen::weightedElement<bool>({{4, false}, {1, true}})));
  }
  backend_table InOrder{membership_settings{}};
  backend_table Shuffled{membership_settings{}};
  for (const backend_record &Record : Records)
    InOrder.merge(Record, Start);
  random_source Random(*rc::gen::arbitrary<std::uint64_t>());
  for (std::size_t Left = Records.size(); Left > 1; --Left)
    std::swap(Records[Left - 1], Records[Random.below(Left)]);
  for (const backend_record &Record : Records)
    Shuffled.merge(Record, Start);
  const std::uint64_t Subject = subjectOf(Address);
  RC_ASSERT(InOrder.record(Subject, Start.Now) == Shuffled.record(Subject, Start.Now));
  RC_ASSERT(InOrder.buckets() == Shuffled.buckets());
}

RC_GTEST_PROP(LoadDigest, KeepsAmountsWithinATenthOfAPerCent, ()) {
  const auto Amount = *rc::gen::inRange<std::int64_t>(0, 1LL << 40);
  const std::int64_t Back = unpackAmount(packAmount(Amount));
  RC_ASSERT(Back <= Amount);
  RC_ASSERT(Amount - Back <= Amount / 1000);
}

TEST(LoadDigest, FindsTheSequenceNearestToTheKnownOne) {
  const std::uint64_t Wrap = 1ULL << 32U;
  backend_load Load;
  Load.Sequence = Wrap + 2;
  const load_digest Digest = packLoad({Address, incarnation(1)}, Load, {});
  EXPECT_EQ(unpackLoad(Digest, Wrap - 5).Sequence, Wrap + 2);
  EXPECT_EQ(unpackLoad(Digest, Wrap + 9).Sequence, Wrap + 2);
  Load.Sequence = Wrap - 1;
  EXPECT_EQ(unpackLoad(packLoad({Address, incarnation(1)}, Load, {}), 5).Sequence, 0U);
}

} // namespace
} // namespace pollenstall

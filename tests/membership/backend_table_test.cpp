/** @file backend_table_test.cpp Merging of backend server records, and packing of load reports. */
#include "membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const backend_address Address("10.1.0.1:8000");
constexpr event_time Start{mono_time(1h), 1h};

event_time after(mono_duration Span) { return {Start.Now + Span, Start.ConnectedTime + Span}; }

backend_record makeRecord(std::uint64_t Incarnation, std::uint64_t Sequence, bool Leaving) {
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

/// A table with one backend server at its tenth report.
class KnownBackendTest : public testing::Test {
protected:
  void SetUp() override { Table.merge(makeRecord(1, 10, false), Start); }

  load_digest digest(std::uint64_t Sequence, digest_state State) {
    backend_load Load;
    Load.Sequence = Sequence;
    return packLoad({Address, incarnation(1)}, Load, State);
  }
  [[nodiscard]] backend_status status() const { return Table.view(subjectOf(Address)).Status; }

  backend_table Table{membership_settings{}};
};

TEST_F(KnownBackendTest, IgnoresARemoteLossClaimWhileTheLocalReportIsRecent) {
  Table.merge(digest(10, {0s, false, true}), after(1s));
  EXPECT_EQ(status(), backend_status::Active);
}

TEST_F(KnownBackendTest, AcceptsARemoteLossClaimWhenTheLocalReportIsOld) {
  Table.merge(digest(10, {5s, false, true}), after(4s));
  EXPECT_EQ(status(), backend_status::Lost);
}

TEST_F(KnownBackendTest, DetectsAStaleLossClaimAfterANewerReport) {
  Table.merge(digest(11, {}), after(1s));
  EXPECT_TRUE(Table.merge(digest(10, {5s, false, true}), after(5s)).ReportedLossIsStale);
  EXPECT_EQ(status(), backend_status::Active);
}

TEST_F(KnownBackendTest, AcceptsLeavingFromAnOlderReport) {
  Table.merge(digest(3, {0s, true, false}), after(1s));
  EXPECT_EQ(status(), backend_status::Leaving);
}

TEST_F(KnownBackendTest, KeepsItsIncarnationAsATombstone) {
  Table.expire(after(1min).ConnectedTime);
  ASSERT_EQ(Table.createTombstones(after(1h).ConnectedTime).size(), 1U);
  EXPECT_TRUE(Table.merge(makeRecord(0, 99, false), after(1h)).Stale);
  EXPECT_TRUE(Table.merge(makeRecord(1, 11, false), after(1h)).viewChanged());
  EXPECT_EQ(status(), backend_status::Active);
}

TEST_F(KnownBackendTest, IgnoresADigestOfAnotherIncarnation) {
  const load_digest Other = packLoad({Address, incarnation(2)}, {}, {0s, true, false});
  EXPECT_FALSE(Table.merge(Other, after(1s)).viewChanged());
}

// Hosts receive the same records in different orders. If the order affected the result, one host
// could continue to place work on a backend server that the others know to be leaving.
RC_GTEST_PROP(BackendTable, MergeResultIsIndependentOfOrder, ()) {
  const auto Count = *rc::gen::inRange<std::size_t>(1, 12);
  std::vector<backend_record> Records;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto Incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
    const auto Sequence = *rc::gen::inRange<std::uint64_t>(1, 6);
    Records.push_back(makeRecord(Incarnation, Sequence,
                                 *rc::gen::weightedElement<bool>({{4, false}, {1, true}})));
  }
  backend_table InOrder{membership_settings{}};
  backend_table Shuffled{membership_settings{}};
  for (const backend_record &Record : Records)
    InOrder.merge(Record, Start);
  random_source Random(*rc::gen::arbitrary<std::uint64_t>());
  for (std::size_t Remaining = Records.size(); Remaining > 1; --Remaining)
    std::swap(Records[Remaining - 1], Records[Random.below(Remaining)]);
  for (const backend_record &Record : Records)
    Shuffled.merge(Record, Start);
  const std::uint64_t Subject = subjectOf(Address);
  RC_ASSERT(InOrder.record(Subject, Start.Now) == Shuffled.record(Subject, Start.Now));
  RC_ASSERT(InOrder.buckets() == Shuffled.buckets());
}

RC_GTEST_PROP(LoadDigest, KeepsAmountsWithinATenthOfAPerCent, ()) {
  const auto Amount = *rc::gen::inRange<std::int64_t>(0, 1LL << 40);
  const std::int64_t Unpacked = unpackAmount(packAmount(Amount));
  RC_ASSERT(Unpacked <= Amount);
  RC_ASSERT(Amount - Unpacked <= Amount / 1000);
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

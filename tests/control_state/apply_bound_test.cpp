/** @file apply_bound_test.cpp Nobody acts on an older declaration for long after a change was
 * acknowledged.
 *
 * Two entries answered "no such route" for a route that had been added: the change was acknowledged
 * at once, and a lease given a moment before it let them act on the old declaration for 3.5 s,
 * where 2.5 s are promised. "declaration_accepted" stood at 38.99 s, the last "lease" before it
 * at 38.71 s, "unready" at 42.21 s, the wrong answer at 41.52 s. Nothing tied the length of a
 * lease, or the time for which a laggard is still given one, to the promise.
 */
#include "control_state/control_state.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{10};

in_force_options shortPromise() {
  in_force_options Times;
  Times.Lease = milliseconds(3500);
  Times.ConfirmWithin = milliseconds(2000);
  Times.ApplyWithin = milliseconds(2500);
  return Times;
}

class ApplyBoundTest : public testing::Test {
protected:
  void SetUp() override {
    Tracker.takeOffice(revision(4), Now);
    Now += Times.Lease * 2; // past the leases of a predecessor
  }

  /// @return When the entry's lease ends by the entry's clock, which may be the slower one.
  mono_time renew(const process_key &Entry, std::uint64_t Confirmed) {
    const auto Lease = Tracker.renew(Entry, failure_domain_name("a"), revision(Confirmed), Now);
    return Lease ? Now + *Lease + *Lease * Times.ClockSkewPermille / 1000 : Now;
  }

  /// Lets time pass until the change may be acknowledged. @return When.
  mono_time acknowledged(std::uint64_t Revision) {
    const mono_time Limit = Now + std::chrono::seconds(20);
    while (!Tracker.mayAcknowledge(revision(Revision), Now) && Now < Limit)
      Now += Step;
    EXPECT_LT(Now, Limit) << "never acknowledged";
    return Now;
  }

  in_force_options Times{shortPromise()};
  in_force_tracker Tracker{Times};
  mono_time Now{std::chrono::seconds(100)};
  process_key One{host_name("one"), incarnation(1)};
  process_key Two{host_name("two"), incarnation(1)};
};

// The entry is cut off, or its text is still on the way: its lease is for the old declaration.
TEST_F(ApplyBoundTest, HoldsForALeaseGivenJustBeforeTheChange) {
  const mono_time LeaseEnd = renew(One, 4);
  Tracker.accepted(revision(5), Now);
  EXPECT_LE(LeaseEnd, acknowledged(5) + Times.ApplyWithin);
}

// It renews just before it would be too late for a lease, and is given a whole one.
TEST_F(ApplyBoundTest, HoldsForAnEntryThatLagsAndRenews) {
  Tracker.accepted(revision(5), Now);
  const mono_time Acknowledged = acknowledged(5);
  Now = Acknowledged + Times.ConfirmWithin - Step;
  EXPECT_LE(renew(One, 4), Acknowledged + Times.ApplyWithin);
}

// Changes follow each other: what counts is the first one that the entry has not taken.
TEST_F(ApplyBoundTest, HoldsForTheFirstOfSeveralChanges) {
  Tracker.accepted(revision(5), Now);
  const mono_time Acknowledged = acknowledged(5);
  Now += milliseconds(1500);
  Tracker.accepted(revision(6), Now);
  Now += milliseconds(400);
  EXPECT_LE(renew(One, 4), Acknowledged + Times.ApplyWithin);
}

// The leader that gave the lease is gone; the next one takes a change a moment after its election.
TEST_F(ApplyBoundTest, HoldsForLeasesOfAFormerLeader) {
  const mono_time LeaseEnd = renew(One, 4);
  Tracker.takeOffice(revision(4), Now);
  Tracker.accepted(revision(5), Now);
  EXPECT_LE(LeaseEnd, acknowledged(5) + Times.ApplyWithin);
}

// The wait is for laggards alone: operators' changes are acknowledged at once where all have them.
TEST_F(ApplyBoundTest, KeepsNobodyWaitingWhereAllHaveConfirmed) {
  renew(One, 4);
  renew(Two, 4);
  Tracker.accepted(revision(5), Now);
  renew(One, 5);
  renew(Two, 5);
  EXPECT_TRUE(Tracker.mayAcknowledge(revision(5), Now));
}

// An entry that never takes the change must not keep its operator waiting for longer than its
// lease.
TEST_F(ApplyBoundTest, KeepsNobodyWaitingForLongerThanALeaseOutlastsThePromise) {
  renew(One, 4);
  const mono_time Accepted = Now;
  Tracker.accepted(revision(5), Now);
  renew(One, 4);
  const mono_duration LongestLease = Times.Lease + Times.Lease * 2 * Times.ClockSkewPermille / 1000;
  EXPECT_LE(acknowledged(5), Accepted + LongestLease - Times.ApplyWithin + Step);
}

// A change that was not accepted here is not this leader's to acknowledge.
TEST_F(ApplyBoundTest, SaysNothingOfAChangeThatWasNotAccepted) {
  EXPECT_FALSE(Tracker.mayAcknowledge(revision(5), Now));
}

/// Entries that renew or not, lag or not, under leaders that come and go.
class random_office {
public:
  explicit random_office(std::uint64_t Seed) : Random(Seed) { Tracker.takeOffice(Newest, Now); }

  void step() {
    Now += milliseconds(Random.below(60));
    if (Random.chance(0.05))
      accept();
    if (Random.chance(0.01))
      Tracker.takeOffice(Newest, Now);
    renewOne();
    acknowledge();
    check();
  }

private:
  struct entry {
    revision Uses;
    mono_time LeaseEnd{}; ///< By true time, of which its clock may be the slower one.
  };

  void accept() {
    Newest = Newest.next();
    Tracker.accepted(Newest, Now);
    Open.push_back(Newest);
  }

  void renewOne() {
    entry &One = Entries[Random.below(Entries.size())];
    if (Random.chance(0.2))
      One.Uses = Newest;
    const std::size_t Number = static_cast<std::size_t>(&One - Entries.data());
    const auto Lease = Tracker.renew({host_name(std::to_string(Number)), incarnation(1)},
                                     failure_domain_name("a"), One.Uses, Now);
    if (Lease)
      One.LeaseEnd = std::max(One.LeaseEnd, Now + *Lease + *Lease * Times.ClockSkewPermille / 1000);
  }

  void acknowledge() {
    std::erase_if(Open, [this](revision Change) {
      if (!Tracker.mayAcknowledge(Change, Now))
        return false;
      Acknowledged.emplace_back(Change, Now);
      return true;
    });
  }

  void check() const {
    for (const auto &[Change, At] : Acknowledged)
      for (const entry &One : Entries)
        ASSERT_FALSE(One.Uses < Change && At + Times.ApplyWithin < One.LeaseEnd)
            << "an entry may act on " << One.Uses.value() << " for too long after "
            << Change.value();
  }

  random_source Random;
  in_force_options Times{shortPromise()};
  in_force_tracker Tracker{Times};
  mono_time Now{std::chrono::seconds(100)};
  revision Newest{4};
  std::vector<revision> Open;
  std::vector<std::pair<revision, mono_time>> Acknowledged;
  std::vector<entry> Entries{12, entry{revision(4), {}}};
};

TEST(ApplyBound, HoldsInRandomOffices) {
  constexpr std::uint64_t Seeds = 200;
  constexpr int Steps = 400;
  for (std::uint64_t Seed = 1; Seed <= Seeds && !testing::Test::HasFailure(); ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    random_office Office(Seed);
    for (int Count = 0; Count < Steps && !testing::Test::HasFailure(); ++Count)
      Office.step();
  }
}

} // namespace
} // namespace pollenstall

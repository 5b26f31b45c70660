/** @file apply_bound_test.cpp Bound on acting on an older declaration after an acknowledged change.
 *
 * Guards against leases that outlast ApplyWithin. In a past defect two entries answered "no such
 * route" for an added route: the change was acknowledged at once, but a lease granted just before
 * it let them act on the old declaration for 3.5 s, beyond the bound of 2.5 s. The log showed the
 * last "lease" at 38.71 s, "declaration_accepted" at 38.99 s, the wrong answer at 41.52 s and
 * "unready" at 42.21 s. Neither the length of a lease nor the time for which lagging entries still
 * got one was limited by ApplyWithin.
 */
#include "control_state/control_state.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{10};

in_force_options shortApplyBound() {
  in_force_options Options;
  Options.Lease = milliseconds(3500);
  Options.ConfirmWithin = milliseconds(2000);
  Options.ApplyWithin = milliseconds(2500);
  return Options;
}

class ApplyBoundTest : public testing::Test {
protected:
  void SetUp() override {
    Tracker.beginTerm(revision(4), Now);
    Now += Options.Lease * 2; // Past the leases of a previous leader.
  }

  /// Renews an entry's lease. @return The latest end of the lease by true time, assuming that the
  /// entry's clock is slow; Now if no lease was granted.
  mono_time renew(const process_key &Process, std::uint64_t Confirmed) {
    const auto Lease = Tracker.renew(Process, failure_domain_name("a"), revision(Confirmed), Now);
    return Lease ? Now + *Lease + *Lease * Options.ClockSkewPermille / 1000 : Now;
  }

  /// Advances the time until the change may be acknowledged. @return That time.
  mono_time waitForAcknowledgement(std::uint64_t Revision) {
    const mono_time Limit = Now + std::chrono::seconds(20);
    while (!Tracker.mayAcknowledge(revision(Revision), Now) && Now < Limit)
      Now += Step;
    EXPECT_LT(Now, Limit) << "the change was never acknowledged";
    return Now;
  }

  in_force_options Options{shortApplyBound()};
  in_force_tracker Tracker{Options};
  mono_time Now{std::chrono::seconds(100)};
  process_key EntryOne{host_name("one"), incarnation(1)};
  process_key EntryTwo{host_name("two"), incarnation(1)};
};

// The entry is partitioned or has not received the text yet; its lease is for the old declaration.
TEST_F(ApplyBoundTest, IsKeptForALeaseGrantedJustBeforeTheChange) {
  const mono_time LeaseEnd = renew(EntryOne, 4);
  Tracker.recordChange(revision(5), Now);
  EXPECT_LE(LeaseEnd, waitForAcknowledgement(5) + Options.ApplyWithin);
}

// The entry renews just before it would get no further lease, and must not get a full one.
TEST_F(ApplyBoundTest, IsKeptForALaggingEntryThatRenews) {
  Tracker.recordChange(revision(5), Now);
  const mono_time Acknowledged = waitForAcknowledgement(5);
  Now = Acknowledged + Options.ConfirmWithin - Step;
  EXPECT_LE(renew(EntryOne, 4), Acknowledged + Options.ApplyWithin);
}

// With several changes in a row, the first one that the entry has not applied counts.
TEST_F(ApplyBoundTest, IsKeptForTheFirstOfSeveralChanges) {
  Tracker.recordChange(revision(5), Now);
  const mono_time Acknowledged = waitForAcknowledgement(5);
  Now += milliseconds(1500);
  Tracker.recordChange(revision(6), Now);
  Now += milliseconds(400);
  EXPECT_LE(renew(EntryOne, 4), Acknowledged + Options.ApplyWithin);
}

// A new leader accepts a change just after its election, without knowing the earlier leases.
TEST_F(ApplyBoundTest, IsKeptForLeasesOfThePreviousLeader) {
  const mono_time LeaseEnd = renew(EntryOne, 4);
  Tracker.beginTerm(revision(4), Now);
  Tracker.recordChange(revision(5), Now);
  EXPECT_LE(LeaseEnd, waitForAcknowledgement(5) + Options.ApplyWithin);
}

// Only lagging entries delay an acknowledgement.
TEST_F(ApplyBoundTest, AcknowledgesAtOnceIfAllEntriesConfirmed) {
  renew(EntryOne, 4);
  renew(EntryTwo, 4);
  Tracker.recordChange(revision(5), Now);
  renew(EntryOne, 5);
  renew(EntryTwo, 5);
  EXPECT_TRUE(Tracker.mayAcknowledge(revision(5), Now));
}

// An entry that never applies a change delays the acknowledgement only until its lease has at most
// ApplyWithin left.
TEST_F(ApplyBoundTest, DelaysAcknowledgementOnlyUntilLeasesEndInTime) {
  renew(EntryOne, 4);
  const mono_time Accepted = Now;
  Tracker.recordChange(revision(5), Now);
  renew(EntryOne, 4);
  const mono_duration LongestLease =
      Options.Lease + Options.Lease * 2 * Options.ClockSkewPermille / 1000;
  EXPECT_LE(waitForAcknowledgement(5), Accepted + LongestLease - Options.ApplyWithin + Step);
}

// A leader must not acknowledge a change that it has not accepted.
TEST_F(ApplyBoundTest, DoesNotAcknowledgeAChangeThatWasNotAccepted) {
  EXPECT_FALSE(Tracker.mayAcknowledge(revision(5), Now));
}

/// Random run of entries that may lag or stop renewing, with changes of leaders.
class random_lease_run {
public:
  explicit random_lease_run(std::uint64_t Seed) : Random(Seed) { Tracker.beginTerm(Newest, Now); }

  void step() {
    Now += milliseconds(Random.below(60));
    if (Random.chance(0.05))
      acceptChange();
    if (Random.chance(0.01))
      Tracker.beginTerm(Newest, Now);
    renewRandomEntry();
    acknowledge();
    check();
  }

private:
  struct entry {
    revision InUse;
    mono_time LeaseEnd{}; ///< By true time, assuming that the entry's clock is slow.
  };

  void acceptChange() {
    Newest = Newest.next();
    Tracker.recordChange(Newest, Now);
    Pending.push_back(Newest);
  }

  void renewRandomEntry() {
    entry &Entry = Entries[Random.below(Entries.size())];
    if (Random.chance(0.2))
      Entry.InUse = Newest;
    const std::size_t Index = static_cast<std::size_t>(&Entry - Entries.data());
    const auto Lease = Tracker.renew({host_name(std::to_string(Index)), incarnation(1)},
                                     failure_domain_name("a"), Entry.InUse, Now);
    if (Lease)
      Entry.LeaseEnd =
          std::max(Entry.LeaseEnd, Now + *Lease + *Lease * Options.ClockSkewPermille / 1000);
  }

  void acknowledge() {
    std::erase_if(Pending, [this](revision Change) {
      if (!Tracker.mayAcknowledge(Change, Now))
        return false;
      Acknowledged.emplace_back(Change, Now);
      return true;
    });
  }

  void check() const {
    for (const auto &[Change, AcknowledgedAt] : Acknowledged)
      for (const entry &Entry : Entries)
        ASSERT_FALSE(Entry.InUse < Change && AcknowledgedAt + Options.ApplyWithin < Entry.LeaseEnd)
            << "an entry may act on " << Entry.InUse.value() << " for too long after "
            << Change.value();
  }

  random_source Random;
  in_force_options Options{shortApplyBound()};
  in_force_tracker Tracker{Options};
  mono_time Now{std::chrono::seconds(100)};
  revision Newest{4};
  std::vector<revision> Pending;
  std::vector<std::pair<revision, mono_time>> Acknowledged;
  std::vector<entry> Entries{12, entry{revision(4), {}}};
};

TEST(ApplyBound, HoldsInRandomRuns) {
  constexpr std::uint64_t Seeds = 200;
  constexpr int Steps = 400;
  for (std::uint64_t Seed = 1; Seed <= Seeds && !testing::Test::HasFailure(); ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    random_lease_run Run(Seed);
    for (int StepCount = 0; StepCount < Steps && !testing::Test::HasFailure(); ++StepCount)
      Run.step();
  }
}

} // namespace
} // namespace pollenstall

/** @file in_force_test.cpp When a change is in force, at the leader and at an entry. */
#include "control_link/entry_freshness_base.h"
#include "control_link/ready_span_base.h"
#include "control_state/control_state.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

class InForceTest : public testing::Test {
protected:
  void SetUp() override {
    Tracker.takeOffice(revision(4), Now);
    Now += Times.Lease * 2; // past the leases of a predecessor
  }

  std::optional<mono_duration> renew(const process_key &Entry,
                                     std::optional<std::uint64_t> Confirmed) {
    std::optional<revision> Number;
    if (Confirmed)
      Number = revision(*Confirmed);
    return Tracker.renew(Entry, failure_domain_name("a"), Number, Now);
  }

  in_force_options Times;
  in_force_tracker Tracker{Times};
  mono_time Now{std::chrono::seconds(100)};
  process_key One{host_name("one"), incarnation(1)};
  process_key Two{host_name("two"), incarnation(1)};
};

TEST_F(InForceTest, WaitsForEveryEntryWithALease) {
  EXPECT_EQ(renew(One, 4), Times.Lease);
  EXPECT_EQ(renew(Two, 4), Times.Lease);
  Tracker.accepted(revision(5), Now);
  EXPECT_EQ(Tracker.inForce(Now), revision(4));
  renew(One, 5);
  EXPECT_EQ(Tracker.inForce(Now), revision(4));
  renew(Two, 5);
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
}

TEST_F(InForceTest, WaitsOutTheLeaseOfASilentEntry) {
  // A frozen entry may come back and act on revision 4 until its lease ends; only then is the
  // change in force without its word.
  renew(One, 4);
  Tracker.accepted(revision(5), Now);
  Now += Times.Lease;
  EXPECT_EQ(Tracker.inForce(Now), revision(4));
  Now += Times.Lease / 10;
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
}

TEST_F(InForceTest, IsNotKnownToANewLeaderUntilItsPredecessorsLeasesEnded) {
  // The old leader gave a lease for revision 4 and died; the new one has never heard of that entry
  // and would call revision 5 in force while the entry still acts on 4.
  Tracker.takeOffice(revision(5), Now);
  Now += Times.Lease;
  EXPECT_EQ(Tracker.inForce(Now), std::nullopt);
  EXPECT_EQ(renew(One, 4), std::nullopt);
  EXPECT_EQ(renew(One, 5), Times.Lease);
  Now += Times.Lease / 10;
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
}

TEST_F(InForceTest, IsNotHeldUpByAnEntryThatNeverConfirms) {
  // The entry renews in time but does not take the change. Its lease is not extended for ever, so
  // it turns unready and the change comes in force without it.
  renew(One, 4);
  Tracker.accepted(revision(5), Now);
  EXPECT_EQ(renew(One, 4), Times.Lease);
  Now += Times.ConfirmWithin;
  EXPECT_EQ(renew(One, 4), std::nullopt);
  Now += Times.Lease;
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
  EXPECT_EQ(renew(One, 4), std::nullopt);
}

TEST_F(InForceTest, GivesNoLeaseToALifeThatConfirmedNothing) {
  EXPECT_EQ(renew(One, std::nullopt), std::nullopt);
  EXPECT_EQ(renew(One, 5), std::nullopt);
}

TEST(EntryFreshness, ActsOnNothingBeforeALease) {
  entry_freshness Freshness;
  const mono_time Now(std::chrono::seconds(10));
  EXPECT_FALSE(Freshness.ready(Now));
  EXPECT_EQ(Freshness.offer(revision(3)), offer_verdict::Take);
  Freshness.inUse(revision(3));
  EXPECT_FALSE(Freshness.ready(Now));
  Freshness.extend(revision(3), Now + milliseconds(5));
  EXPECT_TRUE(Freshness.ready(Now));
  EXPECT_FALSE(Freshness.ready(Now + milliseconds(5)));
}

TEST(EntryFreshness, TakesRisingRevisionsOnly) {
  entry_freshness Freshness;
  Freshness.inUse(revision(3));
  EXPECT_EQ(Freshness.offer(revision(2)), offer_verdict::Stale);
  EXPECT_EQ(Freshness.offer(revision(3)), offer_verdict::Repeat);
  EXPECT_EQ(Freshness.offer(revision(4)), offer_verdict::Take);
}

TEST(EntryFreshness, LagsUntilItUsesWhatWasAnnounced) {
  entry_freshness Freshness;
  EXPECT_FALSE(Freshness.lags());
  Freshness.inUse(revision(3));
  Freshness.announced(revision(3));
  EXPECT_FALSE(Freshness.lags());
  Freshness.announced(revision(5));
  Freshness.announced(revision(4));
  EXPECT_TRUE(Freshness.lags());
  Freshness.inUse(revision(4));
  EXPECT_TRUE(Freshness.lags());
  Freshness.inUse(revision(5));
  EXPECT_FALSE(Freshness.lags());
}

TEST(EntryFreshness, IgnoresALeaseForAnotherRevision) {
  entry_freshness Freshness;
  const mono_time Now(std::chrono::seconds(10));
  Freshness.inUse(revision(3));
  Freshness.extend(revision(2), Now + milliseconds(5));
  EXPECT_FALSE(Freshness.ready(Now));
}

TEST(ReadySpan, IsOverAtItsEndThoughNobodyHasSetItSince) {
  // An entry is frozen past its lease. The thread that answers readiness checks goes on first: what
  // the deciding thread set before the freeze must not be taken for true.
  ready_span Ready;
  const mono_time Now(std::chrono::seconds(10));
  EXPECT_FALSE(Ready.holds(Now));
  Ready.set(Now + milliseconds(5));
  EXPECT_TRUE(Ready.holds(Now));
  EXPECT_FALSE(Ready.holds(Now + milliseconds(5)));
  Ready.set(mono_time::min());
  EXPECT_FALSE(Ready.holds(Now));
}

TEST(EntryFreshnessDeathTest, AbortsRatherThanReverts) {
  entry_freshness Freshness;
  Freshness.inUse(revision(3));
  EXPECT_DEATH(Freshness.inUse(revision(2)), "never reverts");
}

} // namespace
} // namespace pollenstall

/** @file in_force_test.cpp Revisions in force, tracked by the leader and by an entry. */
#include "control_link/declaration_lease_base.h"
#include "control_link/readiness_deadline_base.h"
#include "control_state/control_state.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

class InForceTest : public testing::Test {
protected:
  void SetUp() override {
    Tracker.beginTerm(revision(4), Now);
    Now += Options.Lease * 2; // Past the leases of a previous leader.
  }

  std::optional<mono_duration> renew(const process_key &Entry,
                                     std::optional<std::uint64_t> Confirmed) {
    std::optional<revision> ConfirmedRevision;
    if (Confirmed)
      ConfirmedRevision = revision(*Confirmed);
    return Tracker.renew(Entry, failure_domain_name("a"), ConfirmedRevision, Now);
  }

  in_force_options Options;
  in_force_tracker Tracker{Options};
  mono_time Now{std::chrono::seconds(100)};
  process_key EntryOne{host_name("one"), incarnation(1)};
  process_key EntryTwo{host_name("two"), incarnation(1)};
};

TEST_F(InForceTest, WaitsForEveryEntryWithALease) {
  EXPECT_EQ(renew(EntryOne, 4), Options.Lease);
  EXPECT_EQ(renew(EntryTwo, 4), Options.Lease);
  Tracker.recordChange(revision(5), Now);
  EXPECT_EQ(Tracker.inForce(Now), revision(4));
  renew(EntryOne, 5);
  EXPECT_EQ(Tracker.inForce(Now), revision(4));
  renew(EntryTwo, 5);
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
}

TEST_F(InForceTest, WaitsForTheLeaseOfAnUnresponsiveEntryToExpire) {
  // A frozen entry may resume and act on revision 4 until its lease ends. Only then is the change
  // in force without its confirmation.
  renew(EntryOne, 4);
  Tracker.recordChange(revision(5), Now);
  Now += Options.Lease;
  EXPECT_EQ(Tracker.inForce(Now), revision(4));
  Now += Options.Lease / 10;
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
}

TEST_F(InForceTest, IsUnknownToANewLeaderUntilEarlierLeasesExpire) {
  // The previous leader granted a lease for revision 4 and died. The new leader does not know that
  // entry and could report revision 5 as in force while the entry still acts on revision 4.
  Tracker.beginTerm(revision(5), Now);
  Now += Options.Lease;
  EXPECT_EQ(Tracker.inForce(Now), std::nullopt);
  EXPECT_EQ(renew(EntryOne, 4), std::nullopt);
  EXPECT_EQ(renew(EntryOne, 5), Options.Lease);
  Now += Options.Lease / 10;
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
}

TEST_F(InForceTest, IsNotBlockedByAnEntryThatNeverConfirms) {
  // The entry renews its lease but does not apply the change. Its lease must not be renewed for
  // ever, so that the entry becomes unready and the change is in force without it.
  renew(EntryOne, 4);
  Tracker.recordChange(revision(5), Now);
  EXPECT_EQ(renew(EntryOne, 4), Options.Lease);
  Now += Options.ConfirmWithin;
  EXPECT_EQ(renew(EntryOne, 4), std::nullopt);
  Now += Options.Lease;
  EXPECT_EQ(Tracker.inForce(Now), revision(5));
  EXPECT_EQ(renew(EntryOne, 4), std::nullopt);
}

TEST_F(InForceTest, RefusesALeaseToAnEntryThatConfirmedNoValidRevision) {
  EXPECT_EQ(renew(EntryOne, std::nullopt), std::nullopt);
  EXPECT_EQ(renew(EntryOne, 5), std::nullopt);
}

TEST(EntryFreshness, IsNotReadyWithoutALease) {
  declaration_lease Freshness;
  const mono_time Now(std::chrono::seconds(10));
  EXPECT_FALSE(Freshness.ready(Now));
  EXPECT_EQ(Freshness.actionFor(revision(3)), declaration_action::Take);
  Freshness.markInUse(revision(3));
  EXPECT_FALSE(Freshness.ready(Now));
  Freshness.extend(revision(3), Now + milliseconds(5));
  EXPECT_TRUE(Freshness.ready(Now));
  EXPECT_FALSE(Freshness.ready(Now + milliseconds(5)));
}

TEST(EntryFreshness, AppliesOnlyNewerRevisions) {
  declaration_lease Freshness;
  Freshness.markInUse(revision(3));
  EXPECT_EQ(Freshness.actionFor(revision(2)), declaration_action::Stale);
  EXPECT_EQ(Freshness.actionFor(revision(3)), declaration_action::Repeat);
  EXPECT_EQ(Freshness.actionFor(revision(4)), declaration_action::Take);
}

TEST(EntryFreshness, LagsUntilTheAnnouncedRevisionIsInUse) {
  declaration_lease Freshness;
  EXPECT_FALSE(Freshness.isBehind());
  Freshness.markInUse(revision(3));
  Freshness.recordAnnounced(revision(3));
  EXPECT_FALSE(Freshness.isBehind());
  Freshness.recordAnnounced(revision(5));
  Freshness.recordAnnounced(revision(4));
  EXPECT_TRUE(Freshness.isBehind());
  Freshness.markInUse(revision(4));
  EXPECT_TRUE(Freshness.isBehind());
  Freshness.markInUse(revision(5));
  EXPECT_FALSE(Freshness.isBehind());
}

TEST(EntryFreshness, IgnoresALeaseForAnotherRevision) {
  declaration_lease Freshness;
  const mono_time Now(std::chrono::seconds(10));
  Freshness.markInUse(revision(3));
  Freshness.extend(revision(2), Now + milliseconds(5));
  EXPECT_FALSE(Freshness.ready(Now));
}

TEST(ReadySpan, ExpiresWithoutAFurtherUpdate) {
  // An entry is frozen beyond its lease, and the thread that answers readiness checks resumes
  // first. The readiness that the decision thread set before the freeze must have expired.
  readiness_deadline Ready;
  const mono_time Now(std::chrono::seconds(10));
  EXPECT_FALSE(Ready.isReady(Now));
  Ready.set(Now + milliseconds(5));
  EXPECT_TRUE(Ready.isReady(Now));
  EXPECT_FALSE(Ready.isReady(Now + milliseconds(5)));
  Ready.set(mono_time::min());
  EXPECT_FALSE(Ready.isReady(Now));
}

TEST(EntryFreshnessDeathTest, AbortsIfTheRevisionReverts) {
  declaration_lease Freshness;
  Freshness.markInUse(revision(3));
  EXPECT_DEATH(Freshness.markInUse(revision(2)), "never reverts");
}

} // namespace
} // namespace pollenstall

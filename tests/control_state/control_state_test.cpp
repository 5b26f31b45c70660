/** @file control_state_test.cpp Changes, change ids and answers of the control state, also across
 * snapshots. */
#include "control_state/control_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

apply_change change(const std::string &Id, std::uint64_t Base, const std::string &Text,
                    std::int64_t Time = 0) {
  return {change_id(Id), revision(Base), Text, "summary of " + Id, "", unix_millis(Time)};
}

control_answer accepted(std::uint64_t Number, bool Repeated = false) {
  return change_answer{change_accepted{revision(Number)}, Repeated};
}

control_answer conflict(std::uint64_t Current, bool Repeated = false) {
  return change_answer{change_conflict{revision(Current)}, Repeated};
}

control_state restored(const control_state &State, const control_limits &Limits = {}) {
  return valueOf(control_state::restore(State.snapshot(), Limits));
}

class ChangesTest : public testing::Test {
protected:
  control_state State{control_limits{}};
};

class ConcurrentChangesTest : public ChangesTest {};

TEST_F(ConcurrentChangesTest, WithTheSameBaseAreAcceptedOnce) {
  // Two operators send changes based on revision 0. If the second one were accepted too, it would
  // silently drop the first operator's accepted change.
  EXPECT_EQ(State.execute(change("a", 0, "A")), accepted(1));
  EXPECT_EQ(State.execute(change("b", 0, "B")), conflict(1));
  EXPECT_EQ(State.declared(), (declaration_record{revision(1), "A"}));
}

TEST_F(ConcurrentChangesTest, MayContinueFromTheCurrentRevision) {
  State.execute(change("a", 0, "A"));
  EXPECT_EQ(State.execute(change("b2", 1, "B")), accepted(2));
}

class ResentChangesTest : public ChangesTest {};

TEST_F(ResentChangesTest, GetTheFirstAnswerAgain) {
  State.execute(change("a", 0, "A"));
  State.execute(change("b", 1, "B"));
  EXPECT_EQ(State.execute(change("a", 0, "A")), accepted(1, true));
  EXPECT_EQ(State.declared().Revision, revision(2));
}

TEST_F(ResentChangesTest, GetTheFirstConflictAgain) {
  State.execute(change("a", 0, "A"));
  State.execute(change("b", 0, "B"));
  State.execute(change("c", 1, "C"));
  EXPECT_EQ(State.execute(change("b", 0, "B")), conflict(1, true));
}

TEST_F(ResentChangesTest, GetTheFirstAnswerAfterASnapshot) {
  // The answer was lost. Before the operator retries, the leader is replaced by a member that has
  // the state from a snapshot only.
  State.execute(change("a", 0, "A"));
  State.execute(change("b", 1, "B"));
  control_state Other = restored(State);
  EXPECT_EQ(Other.execute(change("a", 0, "A")), accepted(1, true));
  EXPECT_EQ(Other.snapshot(), State.snapshot());
}

TEST_F(ResentChangesTest, WithOtherContentAreRefused) {
  State.execute(change("a", 0, "A"));
  EXPECT_EQ(State.execute(change("a", 0, "other")), control_answer(change_id_reused{}));
  EXPECT_EQ(State.execute(change("a", 1, "A")), control_answer(change_id_reused{}));
  EXPECT_EQ(State.declared().Text, "A");
}

TEST_F(ResentChangesTest, WithAnEvictedIdCannotBeAcceptedTwice) {
  control_limits Small;
  Small.MaxAnswers = 2;
  control_state Bounded(Small);
  Bounded.execute(change("a", 0, "A"));
  Bounded.execute(change("b", 1, "B"));
  Bounded.execute(change("c", 2, "C"));
  EXPECT_EQ(Bounded.findAnswer(change_id("a")), nullptr);
  EXPECT_EQ(Bounded.execute(change("a", 0, "A")), conflict(3));
}

TEST_F(ResentChangesTest, AreEvictedByAgeEvenIfTheClockStepsBack) {
  const auto Lifetime = control_limits{}.AnswerLifetime.count();
  State.execute(change("a", 0, "A", 1000));
  State.execute(change("b", 1, "B", 1000 + Lifetime));
  EXPECT_NE(State.findAnswer(change_id("a")), nullptr);
  State.execute(change("c", 2, "C", 1001 + Lifetime));
  EXPECT_EQ(State.findAnswer(change_id("a")), nullptr);
  State.execute(change("d", 3, "D", 0));
  EXPECT_NE(State.findAnswer(change_id("d")), nullptr);
}

TEST_F(ChangesTest, ThatAreInvalidHaveNoEffectAndKeepTheirAnswer) {
  apply_change Invalid = change("a", 0, "A");
  Invalid.ValidationErrors = "[line 3]";
  const change_answer First{change_invalid{"[line 3]"}, false};
  EXPECT_EQ(State.check(Invalid), control_answer(First));
  EXPECT_EQ(State.execute(Invalid), control_answer(First));
  Invalid.ValidationErrors.clear();
  EXPECT_EQ(State.execute(Invalid), control_answer(change_answer{First.Verdict, true}));
  EXPECT_EQ(State.declared().Revision, revision(0));
}

TEST_F(ChangesTest, AreKeptInABoundedHistory) {
  control_limits Small;
  Small.MaxHistory = 2;
  control_state Bounded(Small);
  for (std::uint64_t Base = 0; Base < 3; ++Base)
    Bounded.execute(change(std::to_string(Base), Base, "text"));
  ASSERT_EQ(Bounded.history().size(), 2U);
  EXPECT_EQ(Bounded.history().back().Revision, revision(3));
}

TEST_F(ChangesTest, ToDrainsRaiseTheVersionOnlyIfTheyHaveAnEffect) {
  const backend_address Server("127.0.0.1:9");
  EXPECT_EQ(State.execute(set_drain{change_id("d1"), Server, false, {}}),
            control_answer(change_answer{drain_recorded{1}, false}));
  EXPECT_EQ(State.execute(set_drain{change_id("d2"), Server, false, {}}),
            control_answer(change_answer{drain_recorded{1}, false}));
  EXPECT_EQ(State.execute(set_drain{change_id("d3"), Server, true, {}}),
            control_answer(change_answer{drain_recorded{2}, false}));
  EXPECT_TRUE(State.drains().empty());
}

TEST_F(ChangesTest, NeverLowerTheFencingToken) {
  EXPECT_EQ(State.execute(take_fencing_token{}),
            control_answer(fencing_token_granted{fencing_token(1)}));
  control_state Other = restored(State);
  EXPECT_EQ(Other.execute(take_fencing_token{}),
            control_answer(fencing_token_granted{fencing_token(2)}));
}

TEST_F(ChangesTest, CarryClaimsAcrossASnapshot) {
  const claim_holder First{{host_name("e1"), incarnation(1)}, request_number(7)};
  const claim_holder Second{{host_name("e2"), incarnation(1)}, request_number(9)};
  const claim_key_hash Key{1, 2};
  EXPECT_EQ(State.execute(claim_acquire{Key, First, unix_millis(9000)}),
            control_answer(claim_acquire_answer(claim_status::Granted)));
  control_state Other = restored(State);
  EXPECT_EQ(Other.execute(claim_acquire{Key, Second, unix_millis(9000)}),
            control_answer(claim_acquire_answer(claim_status::Running)));
}

TEST_F(ChangesTest, RefuseAnInvalidSnapshot) {
  State.execute(change("a", 0, "A"));
  control_snapshot Broken = State.snapshot();
  Broken.Answers.push_back(Broken.Answers.front());
  EXPECT_FALSE(succeeded(control_state::restore(Broken, {})));
  Broken = State.snapshot();
  Broken.Declared.Revision = revision(7);
  EXPECT_FALSE(succeeded(control_state::restore(Broken, {})));
}

backend_listing makeListing(const std::string &Name, std::uint64_t Started, listing_state State) {
  backend_listing Listing;
  Listing.Instance = instance_name(Name);
  Listing.Started = incarnation_start(Started);
  Listing.Key = keyOf(backend_address("127.0.0.1:9"), {Listing.Instance, Listing.Started});
  Listing.State = State;
  return Listing;
}

// After a restart of all processes the next leader lists the servers from the log before any server
// has announced itself. Servers that are gone or were replaced must not be listed.
TEST(BackendListings, KeepTheNewestIncarnationsThatAreNotGone) {
  control_state State{control_limits{}};
  State.execute(update_backends{
      {makeListing("a", 1, listing_state::Active), makeListing("b", 1, listing_state::Active)}});
  State.execute(update_backends{{makeListing("b", 1, listing_state::Leaving)}});
  EXPECT_EQ(State.backend(instance_name("b"))->State, listing_state::Leaving);
  State.execute(update_backends{
      {makeListing("a", 1, listing_state::Gone), makeListing("a", 2, listing_state::Active)}});
  State.execute(update_backends{{makeListing("a", 1, listing_state::Leaving)}});
  EXPECT_EQ(*State.backend(instance_name("a")), makeListing("a", 2, listing_state::Active));
  State.execute(update_backends{{makeListing("b", 1, listing_state::Gone)}});
  EXPECT_EQ(State.backends().size(), 1U);
  EXPECT_EQ(restored(State).backends(), State.backends());
}

// A leader that does not know a server forwards the server's withdrawal without an address.
TEST(BackendListings, ChangeStateOnAWithdrawalWithoutAnAddress) {
  control_state State{control_limits{}};
  State.execute(update_backends{{makeListing("a", 1, listing_state::Active)}});
  backend_listing Withdrawal = makeListing("a", 5, listing_state::Leaving);
  Withdrawal.Key.Address = backend_address();
  State.execute(update_backends{{Withdrawal}});
  EXPECT_EQ(State.backend(instance_name("a"))->State, listing_state::Leaving);
  EXPECT_EQ(State.backend(instance_name("a"))->Key.Address.str(), "127.0.0.1:9");
  Withdrawal.Instance = instance_name("unknown");
  State.execute(update_backends{{Withdrawal}});
  EXPECT_EQ(State.backends().size(), 1U);
}

TEST(BackendListings, AreBounded) {
  control_limits Limits;
  Limits.MaxBackends = 2;
  control_state State{Limits};
  for (const char *Name : {"a", "b", "c"})
    State.execute(update_backends{{makeListing(Name, 1, listing_state::Active)}});
  EXPECT_EQ(State.backends().size(), 2U);
}

RC_GTEST_PROP(ControlStateProperty, EveryIdHasOneAnswerAndRevisionsRiseByOne, ()) {
  const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 6)));
  control_state State{control_limits{}};
  std::map<int, change_verdict> First;
  for (const auto &[Id, Base] : Steps) {
    const auto Command = change(std::to_string(Id), Base, "text");
    const control_answer Expected = State.check(Command);
    const revision Before = State.declared().Revision;
    const control_answer Answer = State.execute(Command);
    RC_ASSERT(Answer == Expected);
    RC_ASSERT(State.declared().Revision <= Before.next());
    if (const auto *Checked = std::get_if<change_answer>(&Answer)) {
      const auto Inserted = First.emplace(Id, Checked->Verdict);
      RC_ASSERT(Inserted.first->second == Checked->Verdict);
      RC_ASSERT(Checked->Repeated != Inserted.second);
    }
    if (Id % 3 == 0)
      State = restored(State);
  }
}

class CrashCountingTest : public ChangesTest {
protected:
  static record_crash crash(std::uint64_t Incarnation, std::int64_t Time) {
    return {{{1, 2, 3, 4}}, incarnation(Incarnation), unix_millis(Time)};
  }
  [[nodiscard]] std::size_t countSuspects(const control_state &Source) const {
    return Source.suspects().published(unix_millis(100'000)).size();
  }
};

// Guards against crashes that are counted too early or never after the wall clock was set back:
// they must still be counted within their time window.
TEST_F(CrashCountingTest, ContinuesIfTheClockIsSetBack) {
  State.execute(crash(1, 10'000));
  State.execute(crash(2, 9'000));
  EXPECT_EQ(countSuspects(State), 0U);
  State.execute(crash(3, 10'600));
  EXPECT_EQ(countSuspects(State), 1U);
}

// Guards against counts that differ between hosts because one of them was restored from a snapshot.
TEST_F(CrashCountingTest, IsTheSameAfterASnapshot) {
  State.execute(crash(1, 10'000));
  State.execute(crash(1, 20'000)); // Same incarnation: not counted, but advances the latest time.
  control_state Restored = restored(State);
  for (control_state *Each : {&State, &Restored})
    Each->execute(crash(2, 10'700));
  EXPECT_EQ(Restored.snapshot(), State.snapshot());
}

} // namespace
} // namespace pollenstall

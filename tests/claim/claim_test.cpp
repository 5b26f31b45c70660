/** @file claim_test.cpp One request runs per key despite retried, duplicate, late and lost
 * commands. */
#include "claim/claim.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace pollenstall {
namespace {

constexpr unix_millis Day{86'400'000};
const claim_key_hash DefaultKey{1, 1};

claim_holder makeHolder(const char *Host, std::uint64_t Request) {
  return {{host_name(Host), incarnation(7)}, request_number(Request)};
}

struct ClaimTableTest : ::testing::Test {
  claim_table Table{3};
  const claim_holder Original = makeHolder("accra-a-1", 1);
  const claim_holder Retry = makeHolder("accra-b-1", 9);

  result<claim_status, claim_error> acquire(const claim_holder &Holder,
                                            claim_key_hash Key = DefaultKey) {
    return Table.execute(claim_acquire{Key, Holder, Day});
  }
  result<done, claim_error> settle(const claim_holder &Holder, claim_state State,
                                   claim_key_hash Key = DefaultKey) {
    return Table.execute(claim_settle{Key, Holder, State, Day});
  }
  void expectVerdict(const claim_holder &Holder, claim_status Verdict) {
    EXPECT_EQ(acquire(Holder), (result<claim_status, claim_error>(Verdict)));
  }
  template <typename Result> void expectRefused(const Result &Outcome, claim_error Error) {
    ASSERT_FALSE(succeeded(Outcome));
    EXPECT_EQ(errorOf(Outcome), Error);
  }
};

TEST_F(ClaimTableTest, GrantsAKeyOnceAndRepeatsTheVerdictForItsHolder) {
  expectVerdict(Original, claim_status::Granted);
  expectVerdict(Original, claim_status::Granted);
  expectVerdict(Retry, claim_status::Running);
}

struct DeadClaimOwnerTest : ClaimTableTest {
  void SetUp() override { acquire(Original); }
};

// The entry dies after its claim was granted, so nobody knows whether the work ran. A retry through
// another entry must not be granted before the claim expires, however late it comes.
TEST_F(DeadClaimOwnerTest, KeepsTheKeyRunningUntilItExpires) {
  expectVerdict(Retry, claim_status::Running);
  Table.execute(claim_expire{Day - unix_millis(1)});
  expectVerdict(Retry, claim_status::Running);
  EXPECT_EQ(Table.nextExpiry(), Day);
  Table.execute(claim_expire{Day});
  EXPECT_EQ(Table.size(), 0U);
  expectRefused(acquire(Retry), claim_error::AlreadyExpired);
}

struct SettledClaimTest : ClaimTableTest {
  void SetUp() override { acquire(Original); }
};

TEST_F(SettledClaimTest, ReportsACompleteRunToEveryRetry) {
  settle(Original, claim_state::Complete);
  expectVerdict(Retry, claim_status::Complete);
  expectVerdict(Original, claim_status::Complete);
  expectRefused(settle(Original, claim_state::Released), claim_error::AlreadySettled);
}

TEST_F(SettledClaimTest, NeverGrantsAKeyWithUnknownOutcomeButRecordsItsCompletion) {
  settle(Original, claim_state::Unknown);
  expectVerdict(Original, claim_status::Running);
  expectVerdict(Retry, claim_status::Running);
  expectRefused(settle(Original, claim_state::Released), claim_error::AlreadySettled);
  EXPECT_TRUE(succeeded(settle(Original, claim_state::Complete)));
  expectVerdict(Retry, claim_status::Complete);
}

// The first request releases its key, and the key is granted to a retry. If a late duplicate of the
// first release were applied, it would free the key of running work and a third request would run
// too.
TEST_F(SettledClaimTest, RefusesALateReleaseOfAnEarlierHolder) {
  settle(Original, claim_state::Released);
  expectVerdict(Retry, claim_status::Granted);
  expectRefused(settle(Original, claim_state::Released), claim_error::NotHolder);
  expectVerdict(makeHolder("accra-c-1", 3), claim_status::Running);
}

// The entry stops waiting for its claim and releases it, and the release arrives before the
// acquire. If the acquire were granted, the key would be blocked without a holder for a day.
TEST_F(ClaimTableTest, RefusesAnAcquireThatArrivesAfterItsRelease) {
  EXPECT_TRUE(succeeded(settle(Original, claim_state::Released)));
  expectRefused(acquire(Original), claim_error::AlreadyReleased);
  expectVerdict(Retry, claim_status::Granted);
}

TEST_F(ClaimTableTest, RefusesWhenFullUnlessAReleasedClaimCanBeEvicted) {
  for (std::uint64_t Key = 1; Key <= 3; ++Key)
    acquire(Original, {Key, 0});
  expectRefused(acquire(Original, {4, 0}), claim_error::TableFull);
  EXPECT_TRUE(succeeded(settle(Original, claim_state::Released, {2, 0})));
  EXPECT_TRUE(succeeded(acquire(Original, {4, 0})));
  EXPECT_FALSE(Table.find({2, 0}).has_value());
  EXPECT_EQ(Table.size(), 3U);
}

TEST_F(ClaimTableTest, RefusesInvalidSettlesAndAnEarlierExpireTime) {
  acquire(Original);
  expectRefused(settle(Original, claim_state::Running), claim_error::InvalidState);
  expectRefused(settle(Retry, claim_state::Complete), claim_error::NotHolder);
  Table.execute(claim_expire{unix_millis(5)});
  expectRefused(Table.execute(claim_expire{unix_millis(4)}), claim_error::TimeWentBackwards);
}

TEST(ClaimExpiry, RemovesABoundedNumberOfClaimsPerCommand) {
  claim_table Table(25'000);
  for (std::uint64_t Key = 0; Key < 25'000; ++Key)
    Table.execute(claim_acquire{{Key, 0}, makeHolder("accra-a-1", 1), Day});
  std::vector<std::size_t> Sizes;
  for (int Command = 0; Command < 3; ++Command) {
    Table.execute(claim_expire{Day});
    Sizes.push_back(Table.size());
  }
  EXPECT_EQ(Sizes, (std::vector<std::size_t>{15'000, 5'000, 0}));
}

TEST_F(ClaimTableTest, RefusesAnInvalidSnapshot) {
  const claim_record Record{DefaultKey, Original, claim_state::Running, Day};
  expectRefused(claim_table::restore({unix_millis(0), {Record, Record}}, 3),
                claim_error::InvalidSnapshot);
  expectRefused(claim_table::restore({unix_millis(0), {Record}}, 0), claim_error::InvalidSnapshot);
}

claim_command arbitraryCommand() {
  const claim_key_hash Key{*rc::gen::inRange<std::uint64_t>(0, 3), 0};
  const claim_holder Holder = makeHolder("h", *rc::gen::inRange<std::uint64_t>(0, 3));
  const unix_millis ExpiresAt{*rc::gen::inRange(1, 40)};
  switch (*rc::gen::inRange(0, 5)) {
  case 0:
    return claim_expire{unix_millis(*rc::gen::inRange(0, 40))};
  case 1:
  case 2: {
    const auto State = static_cast<claim_state>(*rc::gen::inRange(0, 4));
    return claim_settle{Key, Holder, State, ExpiresAt};
  }
  default:
    return claim_acquire{Key, Holder, ExpiresAt};
  }
}

// A replica that is restored from a snapshot must give the same answers as the other replicas.
TEST(ClaimProperty, CheckPredictsExecuteAndARestoredReplicaAgrees) {
  EXPECT_TRUE(rc::check([] {
    claim_table Table(2);
    claim_table Replica(2);
    for (int Step = 0; Step < 40; ++Step) {
      const claim_command Command = arbitraryCommand();
      std::visit(
          [&](const auto &TypedCommand) {
            const claim_snapshot Before = Table.snapshot();
            const auto Checked = Table.check(TypedCommand);
            RC_ASSERT(Table.snapshot() == Before);
            RC_ASSERT(Table.execute(TypedCommand) == Checked);
            RC_ASSERT(Replica.execute(TypedCommand) == Checked);
            RC_ASSERT(succeeded(Checked) || Table.snapshot() == Before);
          },
          Command);
      Replica = valueOf(claim_table::restore(Table.snapshot(), 2));
    }
  }));
}

// A key gets another holder only after it was released or has expired.
TEST(ClaimProperty, NeverGrantsAKeyThatAnotherHolderHasNotSettled) {
  EXPECT_TRUE(rc::check([] {
    claim_table Table(3);
    for (int Step = 0; Step < 60; ++Step) {
      const claim_command Command = arbitraryCommand();
      const auto *Acquire = std::get_if<claim_acquire>(&Command);
      const auto Before = Acquire == nullptr ? std::nullopt : Table.find(Acquire->Key);
      const auto Verdict = std::visit(
          [&Table](const auto &TypedCommand) -> bool {
            const auto Outcome = Table.execute(TypedCommand);
            return succeeded(Outcome);
          },
          Command);
      if (Acquire == nullptr || !Verdict)
        continue;
      const auto After = Table.find(Acquire->Key);
      RC_ASSERT(After.has_value());
      if (Before && Before->State != claim_state::Released)
        RC_ASSERT(After->Holder == Before->Holder);
    }
  }));
}

} // namespace
} // namespace pollenstall

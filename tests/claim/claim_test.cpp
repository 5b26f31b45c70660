/** @file claim_test.cpp One send per key, whatever is resent, doubled, overtaken or forgotten. */
#include "claim/claim.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace pollenstall {
namespace {

constexpr unix_millis Day{86'400'000};
const claim_key_hash Letter{1, 1};

claim_holder send(const char *Host, std::uint64_t Request) {
  return {{host_name(Host), incarnation(7)}, request_number(Request)};
}

struct a_table : ::testing::Test {
  claim_table Table{3};
  const claim_holder First = send("accra-a-1", 1);
  const claim_holder Resend = send("accra-b-1", 9);

  result<claim_status, claim_error> acquire(const claim_holder &Holder,
                                            claim_key_hash Key = Letter) {
    return Table.execute(claim_acquire{Key, Holder, Day});
  }
  result<done, claim_error> settle(const claim_holder &Holder, claim_state Standing,
                                   claim_key_hash Key = Letter) {
    return Table.execute(claim_settle{Key, Holder, Standing, Day});
  }
  void expectVerdict(const claim_holder &Holder, claim_status Verdict) {
    EXPECT_EQ(acquire(Holder), (result<claim_status, claim_error>(Verdict)));
  }
  template <typename Result> void expectRefused(const Result &Outcome, claim_error Why) {
    ASSERT_FALSE(succeeded(Outcome));
    EXPECT_EQ(errorOf(Outcome), Why);
  }
};

TEST_F(a_table, GrantsAKeyOnceAndTellsTheSameSendTheSameAgain) {
  expectVerdict(First, claim_status::Granted);
  expectVerdict(First, claim_status::Granted);
  expectVerdict(Resend, claim_status::Running);
}

struct after_the_owner_died : a_table {
  void SetUp() override { acquire(First); }
};

// The entry dies after its claim was granted; whether the work ran is not known to anyone.
// The caller resends through another entry, also much later: it is never granted again until the
// claim's own time is over.
TEST_F(after_the_owner_died, TheKeyStaysRunningUntilItExpires) {
  expectVerdict(Resend, claim_status::Running);
  Table.execute(claim_expire{Day - unix_millis(1)});
  expectVerdict(Resend, claim_status::Running);
  EXPECT_EQ(Table.nextExpiry(), Day);
  Table.execute(claim_expire{Day});
  EXPECT_EQ(Table.size(), 0U);
  expectRefused(acquire(Resend), claim_error::AlreadyExpired);
}

struct after_the_end : a_table {
  void SetUp() override { acquire(First); }
};

TEST_F(after_the_end, ACompleteRunIsToldToEveryResend) {
  settle(First, claim_state::Complete);
  expectVerdict(Resend, claim_status::Complete);
  expectVerdict(First, claim_status::Complete);
  expectRefused(settle(First, claim_state::Released), claim_error::AlreadySettled);
}

TEST_F(after_the_end, AnUnknownRunIsNeverGrantedButMayTurnOutComplete) {
  settle(First, claim_state::Unknown);
  expectVerdict(First, claim_status::Running);
  expectVerdict(Resend, claim_status::Running);
  expectRefused(settle(First, claim_state::Released), claim_error::AlreadySettled);
  EXPECT_TRUE(succeeded(settle(First, claim_state::Complete)));
  expectVerdict(Resend, claim_status::Complete);
}

// The first send is refused and releases its key; the resend gets it and runs.
// A doubled release of the first send arrives late: taken, it would free the key of running work,
// and a third send would run beside it.
TEST_F(after_the_end, ALateReleaseOfAnEarlierSendDoesNotFreeTheKey) {
  settle(First, claim_state::Released);
  expectVerdict(Resend, claim_status::Granted);
  expectRefused(settle(First, claim_state::Released), claim_error::NotHolder);
  expectVerdict(send("accra-c-1", 3), claim_status::Running);
}

// The entry gives up waiting for its claim and releases it, and the release overtakes the acquire.
// Granted afterwards, the key would be held by nobody for a day.
TEST_F(a_table, AnAcquireOvertakenByItsReleaseIsRefused) {
  EXPECT_TRUE(succeeded(settle(First, claim_state::Released)));
  expectRefused(acquire(First), claim_error::Withdrawn);
  expectVerdict(Resend, claim_status::Granted);
}

TEST_F(a_table, RefusesWhenFullButNotForTheSakeOfReleasedKeys) {
  for (std::uint64_t Key = 1; Key <= 3; ++Key)
    acquire(First, {Key, 0});
  expectRefused(acquire(First, {4, 0}), claim_error::TableFull);
  EXPECT_TRUE(succeeded(settle(First, claim_state::Released, {2, 0})));
  EXPECT_TRUE(succeeded(acquire(First, {4, 0})));
  EXPECT_FALSE(Table.find({2, 0}).has_value());
  EXPECT_EQ(Table.size(), 3U);
}

TEST_F(a_table, RefusesRunningAsAnEndStrangersAndTimeThatGoesBack) {
  acquire(First);
  expectRefused(settle(First, claim_state::Running), claim_error::InvalidStanding);
  expectRefused(settle(Resend, claim_state::Complete), claim_error::NotHolder);
  Table.execute(claim_expire{unix_millis(5)});
  expectRefused(Table.execute(claim_expire{unix_millis(4)}), claim_error::TimeWentBack);
}

TEST(ClaimExpiry, TakesManyInSeveralCommands) {
  claim_table Table(25'000);
  for (std::uint64_t Key = 0; Key < 25'000; ++Key)
    Table.execute(claim_acquire{{Key, 0}, send("accra-a-1", 1), Day});
  std::vector<std::size_t> Sizes;
  for (int Command = 0; Command < 3; ++Command) {
    Table.execute(claim_expire{Day});
    Sizes.push_back(Table.size());
  }
  EXPECT_EQ(Sizes, (std::vector<std::size_t>{15'000, 5'000, 0}));
}

TEST_F(a_table, RefusesABrokenSnapshot) {
  const claim_record Record{Letter, First, claim_state::Running, Day};
  expectRefused(claim_table::restore({unix_millis(0), {Record, Record}}, 3),
                claim_error::InvalidSnapshot);
  expectRefused(claim_table::restore({unix_millis(0), {Record}}, 0), claim_error::InvalidSnapshot);
}

claim_command anyCommand() {
  const claim_key_hash Key{*rc::gen::inRange<std::uint64_t>(0, 3), 0};
  const claim_holder Holder = send("h", *rc::gen::inRange<std::uint64_t>(0, 3));
  const unix_millis ExpiresAt{*rc::gen::inRange(1, 40)};
  switch (*rc::gen::inRange(0, 5)) {
  case 0:
    return claim_expire{unix_millis(*rc::gen::inRange(0, 40))};
  case 1:
  case 2: {
    const auto Standing = static_cast<claim_state>(*rc::gen::inRange(0, 4));
    return claim_settle{Key, Holder, Standing, ExpiresAt};
  }
  default:
    return claim_acquire{Key, Holder, ExpiresAt};
  }
}

// A replica that restarts from a snapshot in the midst of the log must say what the others say.
TEST(ClaimProperty, CheckForetellsExecuteAndARestoredReplicaAgrees) {
  EXPECT_TRUE(rc::check([] {
    claim_table Table(2);
    claim_table Replica(2);
    for (int Step = 0; Step < 40; ++Step) {
      const claim_command Command = anyCommand();
      std::visit(
          [&](const auto &Known) {
            const claim_snapshot Before = Table.snapshot();
            const auto Foretold = Table.check(Known);
            RC_ASSERT(Table.snapshot() == Before);
            RC_ASSERT(Table.execute(Known) == Foretold);
            RC_ASSERT(Replica.execute(Known) == Foretold);
            RC_ASSERT(succeeded(Foretold) || Table.snapshot() == Before);
          },
          Command);
      Replica = valueOf(claim_table::restore(Table.snapshot(), 2));
    }
  }));
}

// Whatever is sent, a key passes to another holder only from Released or after it expired.
TEST(ClaimProperty, AKeyIsNeverGrantedBesideAnUnsettledHolder) {
  EXPECT_TRUE(rc::check([] {
    claim_table Table(3);
    for (int Step = 0; Step < 60; ++Step) {
      const claim_command Command = anyCommand();
      const auto *Acquire = std::get_if<claim_acquire>(&Command);
      const auto Before = Acquire == nullptr ? std::nullopt : Table.find(Acquire->Key);
      const auto Verdict = std::visit(
          [&Table](const auto &Known) -> bool {
            const auto Outcome = Table.execute(Known);
            return succeeded(Outcome);
          },
          Command);
      if (Acquire == nullptr || !Verdict)
        continue;
      const auto After = Table.find(Acquire->Key);
      RC_ASSERT(After.has_value());
      if (Before && Before->Standing != claim_state::Released)
        RC_ASSERT(After->Holder == Before->Holder);
    }
  }));
}

} // namespace
} // namespace pollenstall

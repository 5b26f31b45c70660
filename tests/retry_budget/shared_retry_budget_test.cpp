/** @file shared_retry_budget_test.cpp What one entry may use of the budget of all entries. */
#include "retry_budget/retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds Window{10};
const service_name Failing("failing");
const service_name Sound("sound");

class shared_retry_budget_test : public testing::Test {
protected:
  /// @return The budget of an entry that has run for longer than the window.
  shared_retry_budget budget(double Reserve, double Share, std::size_t Entries) {
    shared_retry_budget Budget({Reserve, Window}, {}, 1, Now);
    Budget.setShare(Share);
    Budget.setEntries({Entries, 0, {}}, Now);
    Budget.confirmContact(Now + std::chrono::hours(10), Now);
    Now += std::chrono::hours(1);
    return Budget;
  }
  int withdrawAll(shared_retry_budget &Budget, const service_name &Service) const {
    int Withdrawn = 0;
    while (Budget.tryWithdraw(Service, Now))
      ++Withdrawn;
    return Withdrawn;
  }

  mono_time Now{std::chrono::hours(1)};
};

TEST_F(shared_retry_budget_test, LimitsTheRetriesOfAnyWindow) {
  constexpr double Share = 0.2;
  shared_retry_budget Budget = budget(4, Share, 1);
  std::vector<mono_time> Retries;
  std::vector<mono_time> Requests;
  random_source Random(7);
  for (int Step = 0; Step < 20'000; ++Step) {
    Now += milliseconds(Random.below(60));
    if (Random.chance(0.5)) {
      Budget.deposit(Failing, Now);
      Requests.push_back(Now);
    } else if (Budget.tryWithdraw(Failing, Now)) {
      Retries.push_back(Now);
    }
  }
  ASSERT_GT(Retries.size(), 1'000U);
  const auto Count = [](const std::vector<mono_time> &Times, mono_time From, mono_time To) {
    return static_cast<double>(std::upper_bound(Times.begin(), Times.end(), To) -
                               std::lower_bound(Times.begin(), Times.end(), From));
  };
  for (const mono_time End : Retries)
    EXPECT_LE(Count(Retries, End - Window, End), 4 + Share * Count(Requests, End - Window, End));
}

// Guards against requests for a sound service that pay for retries at a failing one.
TEST_F(shared_retry_budget_test, KeepsAnAllowanceForEachService) {
  shared_retry_budget Budget = budget(20, 0.2, 2);
  withdrawAll(Budget, Failing);
  for (int Request = 0; Request < 1'000; ++Request)
    Budget.deposit(Sound, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 0);
  EXPECT_EQ(withdrawAll(Budget, Sound), 10);
}

// Guards against amounts that are saved up and then used beside those of the same window.
TEST_F(shared_retry_budget_test, RequestsPayBackOnlyWhatWasUsed) {
  shared_retry_budget Budget = budget(10, 0.2, 1);
  for (int Request = 0; Request < 1'000; ++Request)
    Budget.deposit(Failing, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 10);
  for (int Request = 0; Request < 50; ++Request)
    Budget.deposit(Failing, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 10);
}

TEST_F(shared_retry_budget_test, ReturnsWhatIsOlderThanTheWindow) {
  shared_retry_budget Budget = budget(10, 0, 1);
  EXPECT_EQ(withdrawAll(Budget, Failing), 10);
  Now += Window;
  EXPECT_EQ(withdrawAll(Budget, Failing), 0) << "retries arrive a little later than they start";
  Now += seconds(1);
  EXPECT_EQ(withdrawAll(Budget, Failing), 10);
}

// Guards against parts that grow at once when entries leave, whose retries still count.
TEST_F(shared_retry_budget_test, PartsGrowOnlyOnceTheRetriesOfLostEntriesNoLongerCount) {
  shared_retry_budget Budget = budget(40, 0, 4);
  EXPECT_EQ(withdrawAll(Budget, Failing), 9);
  Budget.setEntries({1, 0, {}}, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 0);
  Now += Window + seconds(2);
  EXPECT_EQ(withdrawAll(Budget, Failing), 9) << "a lost entry may still use its part";
  Now += Window;
  EXPECT_EQ(withdrawAll(Budget, Failing), 30) << "39, of which 9 were used in this window";
}

// Guards against an entry out of contact, whose part the others have taken over.
TEST_F(shared_retry_budget_test, UsesNothingLongAfterTheEndOfItsLease) {
  shared_retry_budget Budget({40, Window}, {}, 1, Now);
  Budget.setEntries({2, 0, {}}, Now);
  Budget.confirmContact(Now + std::chrono::minutes(1), Now);
  Now += std::chrono::minutes(1) + seconds(4);
  EXPECT_GT(withdrawAll(Budget, Failing), 0);
  Now += seconds(2);
  EXPECT_EQ(Budget.part(Now), 0);
  EXPECT_EQ(withdrawAll(Budget, Sound), 0);
}

// Guards against an entry that learns of the others one after the other from a new leader.
TEST_F(shared_retry_budget_test, IgnoresSmallListsOfANewLeader) {
  shared_retry_budget Budget = budget(80, 0, 8);
  for (const std::size_t Count : {1U, 3U, 8U})
    Budget.setEntries({Count, 0, {}}, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 9);
}

// Guards against a started entry with a full part, although its earlier incarnation has used it.
TEST_F(shared_retry_budget_test, StartsWithWhatRequestsPayForUntilAWindowHasPassed) {
  shared_retry_budget Budget({40, Window}, {}, 1, Now);
  Budget.setShare(0.2);
  Budget.setEntries({1, 0, {}}, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 0);
  for (int Request = 0; Request < 20; ++Request)
    Budget.deposit(Failing, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 4) << "of 3.92, rounded";
  Budget.confirmContact(Now + std::chrono::minutes(1), Now);
  Now += Window;
  EXPECT_EQ(withdrawAll(Budget, Failing), 0);
  Now += seconds(1);
  EXPECT_EQ(withdrawAll(Budget, Failing), 39);
}

// Guards against an entry that is back in contact, while the others have used its part.
TEST_F(shared_retry_budget_test, RegardsItsPartAsUsedAfterATimeOutOfContact) {
  shared_retry_budget Budget = budget(40, 0, 1);
  Now += std::chrono::hours(20);
  Budget.setEntries({1, 0, {}}, Now);
  Budget.confirmContact(Now + std::chrono::minutes(1), Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 0);
  Now += Window + seconds(1);
  EXPECT_EQ(withdrawAll(Budget, Failing), 39);
}

// Guards against a thawed entry in which the requests of a whole window pay at once.
TEST_F(shared_retry_budget_test, RequestsThatWaitedDuringASuspensionPayForNothing) {
  shared_retry_budget Budget = budget(10, 0.2, 1);
  Budget.takeDatagrams(Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 10);
  Now += seconds(5);
  for (int Request = 0; Request < 50; ++Request)
    Budget.deposit(Failing, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 0);
  Now += milliseconds(300);
  for (int Request = 0; Request < 50; ++Request)
    Budget.deposit(Failing, Now);
  EXPECT_EQ(withdrawAll(Budget, Failing), 10);
}

} // namespace
} // namespace pollenstall

/** @file account_queue_test.cpp Tests of fair queueing between client accounts. */
#include "scheduling/scheduling.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

const mono_time Now{1000s};

waiting_work makeWork(std::uint64_t Number, const std::string &Account, double Cost) {
  waiting_work Work;
  Work.Item.Request = request_number(Number);
  Work.Item.Account = client_account_name(Account);
  Work.Item.Arrived = Now + std::chrono::microseconds(Number);
  Work.Cost = Cost;
  Work.LatestStart = Now + 60s + std::chrono::microseconds(Number);
  return Work;
}

/// Places the first candidate and returns its account.
std::string placeFirst(account_queue &Queue) {
  const waiting_work *First = Queue.candidates(length_class::Short, 1, 1).front();
  return Queue.place(First->Item.Request, Now)->Item.Account.str();
}

TEST(AccountQueue, SharesByCostNotByRequestCount) {
  account_queue Queue;
  Queue.setAccount(client_account_name("large"), 1, 1'000);
  Queue.setAccount(client_account_name("small"), 2, 1'000);
  for (std::uint64_t Number = 1; Number <= 600; ++Number)
    Queue.push(makeWork(Number, Number <= 300 ? "large" : "small", Number <= 300 ? 4.0 : 1.0));
  std::map<std::string, double> Served;
  for (int Round = 0; Round < 200; ++Round) {
    const std::string Account = placeFirst(Queue);
    Served[Account] += Account == "large" ? 4.0 : 1.0;
  }
  EXPECT_NEAR(Served["small"] / Served["large"], 2.0, 0.2);
}

TEST(AccountQueue, DoesNotChargeUsageOfAnIdleFleetLater) {
  account_queue Queue;
  Queue.push(makeWork(1, "first", 100.0));
  EXPECT_EQ(placeFirst(Queue), "first");
  Queue.push(makeWork(2, "first", 1.0));
  Queue.push(makeWork(3, "second", 1.0));
  EXPECT_EQ(placeFirst(Queue), "first")
      << "both accounts start at the same virtual time, so the older request is first";
}

TEST(AccountQueue, ReportsAccountsThatExceedTheirShare) {
  account_queue Queue;
  for (std::uint64_t Number = 1; Number <= 11; ++Number)
    Queue.push(makeWork(Number, Number <= 9 ? "large" : "small" + std::to_string(Number), 1.0));
  while (!Queue.empty())
    placeFirst(Queue);
  EXPECT_NEAR(Queue.relativeUsage(client_account_name("large"), Now), 9.0 / 11 * 3, 1e-6);
  EXPECT_LT(Queue.relativeUsage(client_account_name("small10"), Now), 1.0);
}

TEST(AccountQueue, RemovesRequestsThatCanNoLongerStartInTime) {
  account_queue Queue;
  Queue.push(makeWork(1, "a", 1.0));
  Queue.push(makeWork(2, "a", 1.0));
  EXPECT_EQ(Queue.removeExpired(*Queue.nextExpiry() + 1ns).size(), 1U);
  EXPECT_EQ(Queue.size(), 1U);
}

RC_GTEST_PROP(AccountQueueProperty, StaysWithinItsLimitsAndLosesNoRequest, ()) {
  account_queue Queue;
  Queue.setQueueLimit(12);
  std::set<std::uint64_t> Waiting;
  std::map<std::string, std::uint32_t> Queued;
  std::uint64_t Next = 1;
  for (const int Action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12))) {
    const std::string Account(1, static_cast<char>('a' + Action % 4));
    Queue.setAccount(client_account_name(Account), 1, 5);
    if (Action < 9) {
      const enqueue_status Status = Queue.push(makeWork(Next, Account, Action));
      const bool HasRoom = Waiting.size() < 12 && Queued[Account] < 5;
      RC_ASSERT((Status == enqueue_status::Accepted) == HasRoom);
      if (HasRoom) {
        Waiting.insert(Next);
        ++Queued[Account];
      }
      ++Next;
    } else if (!Waiting.empty()) {
      const std::uint64_t First = *Waiting.begin();
      const auto Withdrawn = Queue.withdraw(request_number(First));
      RC_ASSERT(Withdrawn.has_value());
      --Queued[Withdrawn->Item.Account.str()];
      Waiting.erase(First);
    }
    RC_ASSERT(Queue.size() == Waiting.size());
  }
}

} // namespace
} // namespace pollenstall

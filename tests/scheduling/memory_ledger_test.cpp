/** @file memory_ledger_test.cpp No memory of an engine is lost, overfilled or counted twice. */
#include "scheduling/scheduling.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace pollenstall {
namespace {

constexpr memory_blocks blocks(std::int64_t Count) { return memory_blocks(Count); }

TEST(MemoryLedger, RefusesWhatCouldNeverFitAndWhatDoesNotFitNow) {
  memory_ledger Ledger;
  Ledger.setCapacity(blocks(100));
  EXPECT_FALSE(Ledger.couldHold(blocks(101)));
  Ledger.reserve(1, blocks(60));
  EXPECT_TRUE(Ledger.couldHold(blocks(41)));
  EXPECT_FALSE(Ledger.fits(blocks(41)));
  EXPECT_TRUE(Ledger.fits(blocks(40)));
}

TEST(MemoryLedger, CountsOwnWorkOnceWhereTheReportHoldsItAsWell) {
  memory_ledger Ledger;
  Ledger.setCapacity(blocks(100));
  Ledger.reserve(1, blocks(40));
  Ledger.setHeld(1, blocks(30));
  Ledger.report(blocks(50), blocks(0));
  EXPECT_EQ(Ledger.taken(), blocks(60)) << "40 of its own and 20 of other hosts";
}

TEST(MemoryLedger, AddsWhatOtherHostsWillTakeForPromptsThatWait) {
  memory_ledger Ledger;
  Ledger.setCapacity(blocks(100));
  Ledger.report(blocks(10), blocks(70));
  EXPECT_FALSE(Ledger.fits(blocks(21)));
}

RC_GTEST_PROP(MemoryLedgerProperty, ReservesExactlyWhatHasNotBeenReleased, ()) {
  memory_ledger Ledger;
  std::map<ticket_number, std::int64_t> Open;
  ticket_number Next = 1;
  for (const auto Step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50))) {
    if (Step % 3 != 0 || Open.empty()) {
      Ledger.reserve(Next, blocks(Step));
      Open[Next++] = Step;
    } else {
      const ticket_number Ticket = Open.begin()->first;
      Ledger.release(Ticket);
      Ledger.release(Ticket); // A second confirmation frees nothing twice.
      Open.erase(Ticket);
    }
  }
  std::int64_t Sum = 0;
  for (const auto &[Ticket, Count] : Open)
    Sum += Count;
  RC_ASSERT(Ledger.reserved() == blocks(Sum));
}

} // namespace
} // namespace pollenstall

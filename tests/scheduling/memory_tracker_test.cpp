/** @file memory_tracker_test.cpp Engine memory is not leaked, overcommitted or counted twice. */
#include "scheduling/scheduling.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace pollenstall {
namespace {

constexpr memory_blocks blocks(std::int64_t Count) { return memory_blocks(Count); }

TEST(MemoryTracker, DistinguishesTotalCapacityFromFreeMemory) {
  memory_tracker Tracker;
  Tracker.setCapacity(blocks(100));
  EXPECT_FALSE(Tracker.canEverFit(blocks(101)));
  Tracker.reserve(1, blocks(60));
  EXPECT_TRUE(Tracker.canEverFit(blocks(41)));
  EXPECT_FALSE(Tracker.fits(blocks(41)));
  EXPECT_TRUE(Tracker.fits(blocks(40)));
}

TEST(MemoryTracker, CountsOwnWorkInAReportOnce) {
  memory_tracker Tracker;
  Tracker.setCapacity(blocks(100));
  Tracker.reserve(1, blocks(40));
  Tracker.setHeldBlocks(1, blocks(30));
  Tracker.applyReport(blocks(50), blocks(0));
  EXPECT_EQ(Tracker.allocated(), blocks(60)) << "40 own blocks and 20 of other hosts";
}

TEST(MemoryTracker, AddsMemoryForPendingPromptsOfOtherHosts) {
  memory_tracker Tracker;
  Tracker.setCapacity(blocks(100));
  Tracker.applyReport(blocks(10), blocks(70));
  EXPECT_FALSE(Tracker.fits(blocks(21)));
}

RC_GTEST_PROP(MemoryTrackerProperty, ReservedIsTheSumOfUnreleasedReservations, ()) {
  memory_tracker Tracker;
  std::map<placement_id, std::int64_t> OpenReservations;
  placement_id NextPlacement = 1;
  for (const auto Action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50))) {
    if (Action % 3 != 0 || OpenReservations.empty()) {
      Tracker.reserve(NextPlacement, blocks(Action));
      OpenReservations[NextPlacement++] = Action;
    } else {
      const placement_id Placement = OpenReservations.begin()->first;
      Tracker.release(Placement);
      Tracker.release(Placement); // A repeated release has no effect.
      OpenReservations.erase(Placement);
    }
  }
  std::int64_t ExpectedTotal = 0;
  for (const auto &[Placement, Count] : OpenReservations)
    ExpectedTotal += Count;
  RC_ASSERT(Tracker.reserved() == blocks(ExpectedTotal));
}

} // namespace
} // namespace pollenstall

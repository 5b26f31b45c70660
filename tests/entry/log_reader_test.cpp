/** @file log_reader_test.cpp An entry whose log nobody reads. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Each request logs more than 300 bytes; a pipe holds 64 KB.
constexpr int RequestsThatFillThePipe = 400;

// The collector of the logs stands still. The pipe to it is full after some two hundred requests;
// an entry that waited for it would answer nobody any more. All are answered, and when the
// collector reads on it finds a line for each.
TEST(ALogThatNobodyReads, DelaysNoRequest) {
  entry_fleet Fleet;
  Fleet.entry().pauseErrorReader();
  for (int Count = 0; Count < RequestsThatFillThePipe; ++Count)
    ASSERT_TRUE(Fleet.chat("a question", 1).ok()) << Count;
  Fleet.entry().resumeErrorReader();
  EXPECT_TRUE(eventually([&Fleet] {
    return Fleet.entry().events("request_ended").size() >= RequestsThatFillThePipe;
  }));
}

} // namespace
} // namespace pollenstall

/** @file log_reader_test.cpp An entry whose log pipe is not read. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Each request logs more than 300 bytes; a pipe holds 64 KB.
constexpr int RequestsThatFillThePipe = 400;

// Guards against an entry that blocks on its log. The log collector stops reading, and the pipe is
// full after about two hundred requests. All requests are answered, and the collector gets a line
// for each once it reads on.
TEST(UnreadLog, DelaysNoRequest) {
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

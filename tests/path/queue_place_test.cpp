/** @file queue_place_test.cpp Which carried requests go ahead at their backend server. */
#include "path/path.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds VisibleAfter{56};

// Behind a cut, a request reached its server after those of all entries that chose the same slot.
TEST(CarriedRequest, GoesAheadHalfOfTheTimeIfOthersCannotKnowOfIt) {
  int Ahead = 0;
  for (std::uint64_t Number = 1; Number <= 100; ++Number)
    Ahead += carriedQueuePlace(milliseconds(12), VisibleAfter, request_number(Number)) ==
                     queue_place::Ahead
                 ? 1
                 : 0;
  EXPECT_EQ(Ahead, 50);
}

TEST(CarriedRequest, WaitsInTurnIfOthersKnowOfItBeforeItIsSent) {
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    for (const milliseconds Delay : {milliseconds(0), milliseconds(12)})
      EXPECT_EQ(carriedQueuePlace(milliseconds(12), Delay, request_number(Number)),
                queue_place::InTurn);
}

} // namespace
} // namespace pollenstall

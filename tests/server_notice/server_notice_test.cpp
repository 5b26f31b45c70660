/** @file server_notice_test.cpp Pauses that backend servers ask for. */
#include "server_notice/server_notice.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(PauseStatement, IsANumberOfSeconds) {
  EXPECT_EQ(parsePause("3"), pause_statement(milliseconds(3'000)));
  EXPECT_EQ(parsePause(" 0.25\t"), pause_statement(milliseconds(250)));
}

// Guards against values that would become a pause without end, or none at all by mistake.
TEST(PauseStatement, IsBounded) {
  EXPECT_EQ(parsePause("999999999999999999999"), pause_statement(milliseconds(MaxPause)));
  EXPECT_EQ(parsePause("0"), pause_statement(no_pause{}));
  for (const char *Unreadable :
       {"", " ", "-3", "3s", "1e9", "nan", "1.2.3", "3, 4", "Fri, 04 Dec 2026 10:00:00 GMT"})
    EXPECT_EQ(parsePause(Unreadable), pause_statement(unreadable_pause{})) << Unreadable;
}

struct pause_table_test : testing::Test {
  const backend_key Server{backend_address("127.0.0.1:1"), incarnation(1)};
  const backend_key Successor{backend_address("127.0.0.1:1"), incarnation(2)};
  mono_time Now{std::chrono::hours(1)};
  pause_table Pauses;
};

TEST_F(pause_table_test, EndsByItself) {
  EXPECT_EQ(Pauses.record(Server, seconds(3), Now), Now + seconds(3));
  EXPECT_TRUE(Pauses.isPaused(Server, Now + milliseconds(2'999)));
  EXPECT_FALSE(Pauses.isPaused(Server, Now + seconds(3)));
}

TEST_F(pause_table_test, IsNotShortenedByALaterAnswer) {
  Pauses.record(Server, seconds(3), Now);
  EXPECT_EQ(Pauses.record(Server, seconds(1), Now + seconds(1)), Now + seconds(3));
}

TEST_F(pause_table_test, BelongsToAnIncarnation) {
  Pauses.record(Server, seconds(3), Now);
  EXPECT_FALSE(Pauses.isPaused(Successor, Now));
  EXPECT_EQ(Pauses.count(Now), 1U);
}

} // namespace
} // namespace pollenstall

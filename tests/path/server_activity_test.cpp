/** @file server_activity_test.cpp A silence of one backend server, and one of all. */
#include "path/path.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

struct server_activity_test : testing::Test {
  static backend_key key(int Number) {
    return {backend_address("10.0.0." + std::to_string(Number) + ":80"),
            incarnation(static_cast<std::uint64_t>(Number))};
  }
  mono_time at(int Millis) const { return Start + milliseconds(Millis); }
  /// Servers 1 to Count are in the middle of an answer and were heard of at time 0.
  void beginAnswers(int Count) {
    for (int Number = 1; Number <= Count; ++Number)
      Activity.beginAnswer(key(Number), at(0));
  }

  /// Whether a silence of 750 ms, which is a reason if one server is silent, is shared.
  bool isShared(const backend_key &Server, mono_time Now) const {
    return Activity.isShared(Server, Limit, Limit, Now);
  }

  static constexpr milliseconds Limit{750};
  const mono_time Start{std::chrono::hours(1)};
  server_activity Activity;
};

TEST_F(server_activity_test, OneSilentServerStandsOut) {
  beginAnswers(4);
  for (int Millis = 100; Millis <= 700; Millis += 100)
    Activity.recordBytes(key(2), at(Millis));
  EXPECT_FALSE(isShared(key(1), at(750)));
}

// All engines stand still for a second: each stream is sent again, and the retry budget is gone.
TEST_F(server_activity_test, ASilenceOfAllServersIsNotThatOfOne) {
  beginAnswers(4);
  EXPECT_TRUE(isShared(key(1), at(750)));
  EXPECT_TRUE(isShared(key(4), at(750))) << "the one that was heard of last";
}

TEST_F(server_activity_test, EndsAsSoonAsAnotherServerIsHeard) {
  beginAnswers(4);
  Activity.recordBytes(key(3), at(800));
  EXPECT_FALSE(isShared(key(1), at(810)));
  EXPECT_TRUE(isShared(key(3), at(1'400)));
}

// A single stream at night, and its engine loses power: nobody else could be heard.
TEST_F(server_activity_test, NothingIsKnownWithoutOtherAnswers) {
  beginAnswers(1);
  EXPECT_FALSE(isShared(key(1), at(750)));
  Activity.beginAnswer(key(2), at(0));
  EXPECT_FALSE(isShared(key(1), at(750))) << "one may be in a long pass";
}

TEST_F(server_activity_test, AnEndedAnswerIsNoWitness) {
  beginAnswers(4);
  Activity.endAnswer(key(2));
  EXPECT_TRUE(isShared(key(1), at(750)));
  Activity.endAnswer(key(3));
  EXPECT_FALSE(isShared(key(1), at(750)));
}

TEST_F(server_activity_test, AServerWithSeveralAnswersCountsOnce) {
  beginAnswers(2);
  Activity.beginAnswer(key(2), at(0));
  EXPECT_FALSE(isShared(key(1), at(750)));
  Activity.endAnswer(key(2));
  Activity.beginAnswer(key(3), at(0));
  EXPECT_TRUE(isShared(key(1), at(750)));
}

// The servers of a rack lose power together, and nobody else answers this entry: each of them would
// be a witness for the others until their callers leave.
TEST_F(server_activity_test, ASharedSilenceIsWaitedForOnlyTwiceAsLong) {
  beginAnswers(4);
  EXPECT_TRUE(Activity.isShared(key(1), milliseconds(1'499), Limit, at(1'499)));
  EXPECT_FALSE(Activity.isShared(key(1), milliseconds(1'500), Limit, at(1'500)));
}

} // namespace
} // namespace pollenstall

/** @file log_writer_test.cpp A log whose reader is slow, stands still, and reads on. */
#include "program/log_writer_base.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds Limit{10};
constexpr std::size_t MaxTextBytesInFlight = 1'000;

/// Takes lines only while its gate is open. Shared with the writer's thread, which may outlive it.
struct gated_reader {
  std::mutex Guard;
  std::condition_variable Changed;
  bool Open{true};
  bool Entered{false};
  std::vector<std::string> Lines;

  void take(const std::string &Line) {
    std::unique_lock<std::mutex> Lock(Guard);
    Entered = true;
    Changed.notify_all();
    Changed.wait(Lock, [this] { return Open; });
    Lines.push_back(Line);
  }
  void setOpen(bool Value) {
    const std::lock_guard<std::mutex> Lock(Guard);
    Open = Value;
    Changed.notify_all();
  }
  void waitUntilEntered() {
    std::unique_lock<std::mutex> Lock(Guard);
    ASSERT_TRUE(Changed.wait_for(Lock, Limit, [this] { return Entered; }));
  }
};

struct a_log : testing::Test {
  std::shared_ptr<gated_reader> Reader = std::make_shared<gated_reader>();
  log_writer Log{MaxTextBytesInFlight,
                 [Kept = Reader](const std::string &Line) { Kept->take(Line); },
                 [](std::uint64_t Count) { return "dropped " + std::to_string(Count); }};

  /// The reader holds the first line and takes no other one.
  void stopReading() {
    Reader->setOpen(false);
    ASSERT_TRUE(Log.push("first", line_weight::Ordinary));
    Reader->waitUntilEntered();
  }
};

TEST_F(a_log, WritesItsLinesInOrder) {
  for (const char *Line : {"a", "b", "c"})
    EXPECT_TRUE(Log.push(Line, line_weight::Ordinary));
  ASSERT_TRUE(Log.flush(Limit));
  EXPECT_EQ(Reader->Lines, (std::vector<std::string>{"a", "b", "c"}));
}

// The reader of the log stands still. Whoever logs goes on at once; what finds no room is dropped,
// and the log says how much when it is read again.
TEST_F(a_log, DelaysNobodyWhileItsReaderStandsStill) {
  stopReading();
  int Taken = 0;
  for (int Count = 0; Count < 100; ++Count)
    Taken += Log.push(std::string(50, 'x'), line_weight::Ordinary) ? 1 : 0;
  EXPECT_EQ(Taken, 15) << "three quarters of 1,000 bytes";
  Reader->setOpen(true);
  ASSERT_TRUE(Log.flush(Limit));
  ASSERT_EQ(Reader->Lines.size(), 1U + 15U + 1U);
  EXPECT_EQ(Reader->Lines.back(), "dropped 85");
}

// Ordinary lines have filled what they may. A failure's line still finds room.
TEST_F(a_log, KeepsRoomForSevereLines) {
  stopReading();
  while (Log.push(std::string(50, 'x'), line_weight::Ordinary)) {
  }
  EXPECT_TRUE(Log.push("failure", line_weight::Severe));
  Reader->setOpen(true);
  ASSERT_TRUE(Log.flush(Limit));
  EXPECT_EQ(Reader->Lines[Reader->Lines.size() - 2], "failure");
}

// A process ends while its log's reader stands still: it ends all the same.
TEST_F(a_log, LetsItsProcessEndWhileItsReaderStandsStill) {
  stopReading();
  EXPECT_FALSE(Log.flush(1ms));
}

} // namespace
} // namespace pollenstall

/** @file log_writer_test.cpp Tests a log whose reader stalls and continues. */
#include "program/log_writer_base.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace pollenstall {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds Limit{10};
constexpr std::size_t MaxBytes = 1'000;

/// A sink that blocks until it is open. Shared with the writer's thread, which may outlive the
/// test.
struct blockable_reader {
  std::mutex Guard;
  std::condition_variable Changed;
  bool Open{true};
  bool Consuming{false};
  std::vector<std::string> Lines;

  void consume(const std::string &Line) {
    std::unique_lock<std::mutex> Lock(Guard);
    Consuming = true;
    Changed.notify_all();
    Changed.wait(Lock, [this] { return Open; });
    Lines.push_back(Line);
  }
  void setOpen(bool Value) {
    const std::lock_guard<std::mutex> Lock(Guard);
    Open = Value;
    Changed.notify_all();
  }
  void waitUntilConsuming() {
    std::unique_lock<std::mutex> Lock(Guard);
    ASSERT_TRUE(Changed.wait_for(Lock, Limit, [this] { return Consuming; }));
  }
};

struct log_writer_test : testing::Test {
  std::shared_ptr<blockable_reader> Reader = std::make_shared<blockable_reader>();
  log_writer Log{MaxBytes,
                 [SharedReader = Reader](const std::string &Line) { SharedReader->consume(Line); },
                 [](std::uint64_t Count) { return "dropped " + std::to_string(Count); }};

  /// Blocks the reader on the first line.
  void stallReader() {
    Reader->setOpen(false);
    ASSERT_TRUE(Log.push("first", line_severity::Ordinary));
    Reader->waitUntilConsuming();
  }
};

TEST_F(log_writer_test, WritesItsLinesInOrder) {
  for (const char *Line : {"a", "b", "c"})
    EXPECT_TRUE(Log.push(Line, line_severity::Ordinary));
  ASSERT_TRUE(Log.flush(Limit));
  EXPECT_EQ(Reader->Lines, (std::vector<std::string>{"a", "b", "c"}));
}

// While the reader stalls, push() does not block. Lines that do not fit are dropped, and their
// number is logged when the reader continues.
TEST_F(log_writer_test, DropsLinesWithoutBlockingWhileTheReaderStalls) {
  stallReader();
  int Accepted = 0;
  for (int Count = 0; Count < 100; ++Count)
    Accepted += Log.push(std::string(50, 'x'), line_severity::Ordinary) ? 1 : 0;
  EXPECT_EQ(Accepted, 15) << "three quarters of 1,000 bytes";
  Reader->setOpen(true);
  ASSERT_TRUE(Log.flush(Limit));
  ASSERT_EQ(Reader->Lines.size(), 1U + 15U + 1U);
  EXPECT_EQ(Reader->Lines.back(), "dropped 85");
}

// A severe line still fits after ordinary lines have filled their part of the memory.
TEST_F(log_writer_test, ReservesMemoryForSevereLines) {
  stallReader();
  while (Log.push(std::string(50, 'x'), line_severity::Ordinary)) {
  }
  EXPECT_TRUE(Log.push("failure", line_severity::Severe));
  Reader->setOpen(true);
  ASSERT_TRUE(Log.flush(Limit));
  EXPECT_EQ(Reader->Lines[Reader->Lines.size() - 2], "failure");
}

// A process must be able to end while the reader of its log stalls.
TEST_F(log_writer_test, FlushTimesOutWhileTheReaderStalls) {
  stallReader();
  EXPECT_FALSE(Log.flush(1ms));
}

} // namespace
} // namespace pollenstall

/** @file event_scanner_test.cpp Server-sent events, split at any byte. */
#include "relay/relay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

std::string event(std::uint64_t Id, const std::string &Data) {
  return "id: " + std::to_string(Id) + "\ndata: " + Data + "\n\n";
}

/// Feeds a stream in pieces, as socket reads would deliver it.
class piecewise_scan {
public:
  explicit piecewise_scan(std::uint64_t LastId = 0) : Scanner(LastId) {}

  void feed(std::string_view Piece) {
    Unconsumed.append(Piece);
    const auto Scan = Scanner.scan(Unconsumed);
    if (!succeeded(Scan)) {
      Error = errorOf(Scan);
      return;
    }
    Relayed += Unconsumed.substr(0, valueOf(Scan).WholeBytes);
    Events += valueOf(Scan).Events;
    Unconsumed.erase(0, valueOf(Scan).WholeBytes);
  }

  event_scanner Scanner;
  std::string Unconsumed;
  std::string Relayed;
  std::uint64_t Events{0};
  std::optional<event_stream_error> Error;
};

TEST(EventScanner, RelaysOnlyCompleteEvents) {
  piecewise_scan Scan;
  Scan.feed(event(1, "a") + "id: 2\ndata: b");
  EXPECT_EQ(Scan.Relayed, event(1, "a"));
  Scan.feed("\n\n");
  EXPECT_EQ(Scan.Relayed, event(1, "a") + event(2, "b"));
  EXPECT_EQ(Scan.Scanner.lastId(), 2U);
}

TEST(EventScanner, DetectsTheEndMarker) {
  piecewise_scan Scan;
  Scan.feed(event(1, "a") + event(2, "[DONE]"));
  EXPECT_TRUE(Scan.Scanner.ended());
  EXPECT_EQ(Scan.Events, 1U);
}

TEST(EventScanner, RefusesAGapBecauseAnEventWasLost) {
  piecewise_scan Scan;
  Scan.feed(event(1, "a") + event(3, "c"));
  EXPECT_EQ(Scan.Error, event_stream_error::IdGap);
}

TEST(EventScanner, RefusesARepeatBecauseTheCallerWouldReadItTwice) {
  piecewise_scan Scan(4);
  Scan.feed(event(4, "again"));
  EXPECT_EQ(Scan.Error, event_stream_error::IdGap);
}

TEST(EventScanner, RefusesAnEventWithoutId) {
  piecewise_scan Scan;
  Scan.feed("data: a\n\n");
  EXPECT_EQ(Scan.Error, event_stream_error::IdMissing);
}

TEST(EventScanner, RefusesBytesAfterTheEndMarker) {
  piecewise_scan Scan;
  Scan.feed(event(1, "[DONE]") + event(2, "more"));
  EXPECT_EQ(Scan.Error, event_stream_error::AfterEnd);
}

TEST(EventScanner, AcceptsCommentsAndBothLineEnds) {
  piecewise_scan Scan;
  Scan.feed(": keep-alive\n\nid: 1\r\ndata: a\r\n\r\n" + event(2, "b"));
  EXPECT_FALSE(Scan.Error);
  EXPECT_EQ(Scan.Events, 2U);
}

TEST(EventScanner, KeepsTheEventWithTheTokenCounts) {
  piecewise_scan Scan;
  Scan.feed(event(1, R"({"choices":[],"usage":{"prompt_tokens":12,"completion_tokens":3,)"
                     R"("prompt_tokens_details":{"cached_tokens":8}}})"));
  const engine_usage Usage = parseUsage(Scan.Scanner.usageData());
  EXPECT_EQ(Usage.PromptTokens, tokens(12));
  EXPECT_EQ(Usage.AnswerTokens, tokens(3));
  EXPECT_EQ(Usage.CachedTokens, tokens(8));
}

TEST(EventScanner, IgnoresTokenCountsInTheAnswersText) {
  EXPECT_FALSE(parseUsage(R"({"content":"\"usage\":{\"prompt_tokens\":1}"})").PromptTokens);
}

RC_GTEST_PROP(EventScanner, RelaysTheSameBytesHoweverTheyArrive, ()) {
  const auto Count = *rc::gen::inRange<std::uint64_t>(1, 8);
  std::string Stream;
  for (std::uint64_t Id = 1; Id <= Count; ++Id)
    Stream += event(Id, std::string(*rc::gen::inRange<std::size_t>(0, 9), 'x'));
  Stream += event(Count + 1, "[DONE]");
  piecewise_scan Scan;
  for (std::size_t At = 0; At < Stream.size();) {
    const auto Size = *rc::gen::inRange<std::size_t>(1, 12);
    Scan.feed(std::string_view(Stream).substr(At, Size));
    At += Size;
  }
  RC_ASSERT(!Scan.Error);
  RC_ASSERT(Scan.Relayed == Stream);
  RC_ASSERT(Scan.Events == Count);
  RC_ASSERT(Scan.Scanner.ended());
}

RC_GTEST_PROP(EventScanner, NeverRelaysHalfAnEvent, ()) {
  const std::string Stream = event(1, "abc") + event(2, "defg") + event(3, "h");
  const auto Cut = *rc::gen::inRange<std::size_t>(0, Stream.size());
  piecewise_scan Scan;
  Scan.feed(std::string_view(Stream).substr(0, Cut));
  RC_ASSERT(Scan.Relayed.empty() || Scan.Relayed.ends_with("\n\n"));
}

} // namespace
} // namespace pollenstall

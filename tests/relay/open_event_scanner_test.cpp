/** @file open_event_scanner_test.cpp Events of a stream without an end marker, split at any byte.
 */
#include "relay/open_event_scanner_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// Returns what is relayed of a stream that arrives in pieces of the given size.
std::string relayInPieces(const std::string &Stream, std::size_t Piece) {
  open_event_scanner Scanner(0);
  std::string Unconsumed;
  std::string Relayed;
  for (std::size_t At = 0; At < Stream.size(); At += Piece) {
    Unconsumed += Stream.substr(At, Piece);
    const auto Scan = Scanner.scan(Unconsumed);
    EXPECT_TRUE(succeeded(Scan));
    Relayed += valueOf(Scan).Ready;
    Unconsumed.erase(0, valueOf(Scan).Consumed);
  }
  return Relayed;
}

// The blank line that ends an event may be split anywhere, even between its two line ends.
TEST(OpenStream, IsRelayedUnchangedHoweverItIsSplit) {
  const std::string Stream =
      "id: 1\ndata: a\n\n: alive\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: " + std::string(300, 'c') +
      "\n\n";
  for (std::size_t Piece = 1; Piece <= Stream.size(); ++Piece)
    EXPECT_EQ(relayInPieces(Stream, Piece), Stream) << Piece;
}

TEST(OpenStream, HoldsBackAnIncompleteEvent) {
  open_event_scanner Scanner(0);
  const auto Scan = Scanner.scan("id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(succeeded(Scan));
  EXPECT_EQ(valueOf(Scan).Ready, "id: 1\ndata: a\n\n");
  EXPECT_EQ(Scanner.lastId(), 1U);
  EXPECT_EQ(Scanner.unfinishedBytes(), std::string("id: 2\nda").size());
}

// A blank line too many begins no event, so that a stream may end with it.
TEST(OpenStream, IsFinishedIfOnlyLineEndsFollow) {
  open_event_scanner Scanner(0);
  const auto Scan = Scanner.scan("id: 1\ndata: a\n\n\r\n");
  ASSERT_TRUE(succeeded(Scan));
  EXPECT_EQ(Scanner.unfinishedBytes(), 0U);
}

TEST(OpenStream, CountsNoEventInAComment) {
  open_event_scanner Scanner(0);
  const auto Scan = Scanner.scan(": alive\n\n");
  ASSERT_TRUE(succeeded(Scan));
  EXPECT_EQ(valueOf(Scan).Ready, ": alive\n\n");
  EXPECT_EQ(valueOf(Scan).Events, 0U);
}

} // namespace
} // namespace pollenstall

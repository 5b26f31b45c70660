/** @file open_event_scanner_test.cpp Events of a stream without an end mark, cut at any byte. */
#include "relay/open_event_scanner_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// @return What is passed on of a stream that comes in pieces of so many bytes.
std::string passedOn(const std::string &Stream, std::size_t Piece) {
  open_event_scanner Scanner(0);
  std::string Held;
  std::string Passed;
  for (std::size_t At = 0; At < Stream.size(); At += Piece) {
    Held += Stream.substr(At, Piece);
    const auto Scan = Scanner.scan(Held, At + Piece >= Stream.size());
    EXPECT_TRUE(succeeded(Scan));
    Passed += valueOf(Scan).Ready;
    Held.erase(0, valueOf(Scan).Taken);
  }
  return Passed;
}

// The blank line that ends an event may be cut anywhere, also between its two line ends.
TEST(AnOpenStream, IsTheSameHoweverItIsCut) {
  const std::string Stream =
      "id: 1\ndata: a\n\n: alive\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: " + std::string(300, 'c') +
      "\n\n";
  for (std::size_t Piece = 1; Piece <= Stream.size(); ++Piece)
    EXPECT_EQ(passedOn(Stream, Piece), Stream) << Piece;
}

TEST(AnOpenStream, KeepsAnEventThatIsNotWhole) {
  open_event_scanner Scanner(0);
  const auto Scan = Scanner.scan("id: 1\ndata: a\n\nid: 2\nda", false);
  ASSERT_TRUE(succeeded(Scan));
  EXPECT_EQ(valueOf(Scan).Ready, "id: 1\ndata: a\n\n");
  EXPECT_EQ(Scanner.lastId(), 1U);
}

} // namespace
} // namespace pollenstall

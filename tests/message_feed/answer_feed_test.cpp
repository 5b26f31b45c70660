/** @file answer_feed_test.cpp Final answers behind interim ones, and answers that are none. */
#include "message_feed/message_feed.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

namespace pollenstall {
namespace {

constexpr std::size_t HeadLimit = 16U << 10U;
const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string answerWithBody(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Feeds an answer in pieces of this size. @return Whether all of it is valid.
bool feedInPieces(answer_feed &Feed, const std::string &Bytes, std::size_t PieceBytes) {
  for (std::size_t At = 0; At < Bytes.size(); At += PieceBytes)
    if (!Feed.feed(std::string_view(Bytes).substr(At, PieceBytes)))
      return false;
  return true;
}

void expectWhole(const std::string &Bytes, std::size_t PieceBytes, const std::string &Body) {
  answer_feed Feed(HeadLimit);
  EXPECT_TRUE(feedInPieces(Feed, Bytes, PieceBytes)) << PieceBytes;
  EXPECT_TRUE(Feed.done());
  EXPECT_EQ(Feed.message().get().result_int(), 200U);
  EXPECT_EQ(Feed.body(), Body);
}

// A large answer arrived together with the interim one before it, and was refused as too long a
// head.
TEST(AnswerBehindInterimOnes, IsReadInAnyPieces) {
  for (const std::size_t BodyBytes : {0U, 1U, 100U, 60'000U}) {
    const std::string Body(BodyBytes, 'x');
    for (const std::string &Before :
         {std::string(), Interim, std::string(Continue).append(Interim).append(Continue)})
      for (const std::size_t PieceBytes : {1U, 2U, 7U, 1'000U, 1'000'000U})
        expectWhole(Before + answerWithBody(Body), PieceBytes, Body);
  }
}

// An interim answer to HEAD ended the process once: the parser of the final one was set up too
// late.
TEST(AnswerBehindInterimOnes, HasNoBodyIfItAnswersHead) {
  answer_feed Feed(HeadLimit, answer_body::None);
  EXPECT_TRUE(Feed.feed(Interim + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"));
  EXPECT_TRUE(Feed.done());
}

TEST(InterimAnswer, IsNoFinalOne) {
  answer_feed Feed(HeadLimit);
  EXPECT_TRUE(Feed.feed(Interim));
  EXPECT_FALSE(Feed.headDone());
  EXPECT_FALSE(Feed.done());
  EXPECT_FALSE(Feed.finish());
}

// A server sends interim answers without end, and the request waits until its deadline.
TEST(InterimAnswer, IsNotSkippedWithoutEnd) {
  answer_feed Feed(HeadLimit);
  std::size_t Accepted = 0;
  while (Accepted < HeadLimit && Feed.feed(Continue))
    ++Accepted;
  EXPECT_GE(Accepted, 10U);
  EXPECT_LT(Accepted, 1'000U);
}

TEST(ChangeOfProtocols, IsNoAnswer) {
  answer_feed Feed(HeadLimit);
  EXPECT_FALSE(Feed.feed("HTTP/1.1 101 Switching Protocols\r\n\r\n" +
                         answerWithBody("of another protocol")));
}

// A status outside 100 to 599 does not exist; 000 was skipped like an interim answer.
TEST(StatusOutsideTheRange, IsNoAnswer) {
  for (const std::string Status : {"000", "001", "099", "600", "601", "999"})
    for (const std::string Rest : {"\r\n", "Content-Length: 0\r\n\r\n"})
      EXPECT_FALSE(answer_feed(HeadLimit).feed("HTTP/1.1 " + (Status + " -\r\n").append(Rest)))
          << Status;
  for (const std::string Status : {"200", "204", "299", "418", "499", "599"})
    EXPECT_TRUE(answer_feed(HeadLimit).feed("HTTP/1.1 " + Status + " -\r\n\r\n")) << Status;
}

// A line that begins with a blank was joined to the value of the field before it.
TEST(FoldedLine, IsNoAnswer) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Other: 1\r\n";
  for (const std::string Line : {" X-Bad: v", "\tX-Bad: v", " ", "\t", " \t "})
    for (const std::string &Before : {std::string(), Interim}) {
      const std::string Bytes = (Before + Head).append(Line).append("\r\n\r\n");
      for (const std::size_t PieceBytes : {1U, 3U, 1'000U}) {
        answer_feed Feed(HeadLimit);
        EXPECT_FALSE(feedInPieces(Feed, Bytes, PieceBytes)) << Bytes;
      }
    }
}

TEST(BodyWithBlanks, IsNoFoldedLine) {
  for (const std::size_t PieceBytes : {1U, 3U, 1'000U})
    expectWhole(Interim + answerWithBody("\r\n a\r\n\tb\n c"), PieceBytes, "\r\n a\r\n\tb\n c");
}

// A body in a coding that the relay does not undo was passed on as the server's body.
TEST(UnknownTransferCoding, IsNoAnswer) {
  const std::string Head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
  for (const std::string Coding : {"xchunked", "gzip", "chunked, gzip", "gzip, chunked",
                                   "chunked, chunked", "identity", "chunked;q=1", ""})
    EXPECT_FALSE(answer_feed(HeadLimit).feed(Head + Coding + "\r\n\r\n")) << Coding;
  for (const std::string Coding : {"chunked", "Chunked", " CHUNKED "})
    EXPECT_TRUE(answer_feed(HeadLimit).feed(Head + Coding + "\r\n\r\n")) << Coding;
  EXPECT_FALSE(
      answer_feed(HeadLimit).feed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
}

// Trailers became fields of the head, and a blank-led one a part of another field.
TEST(Trailers, AreNoPartOfTheHead) {
  const std::string Bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Other: 1\r\n\r\n"
                            "4\r\nall!\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n";
  for (const std::size_t PieceBytes : {1U, 2U, 7U, 1'000U}) {
    answer_feed Feed(HeadLimit);
    EXPECT_TRUE(feedInPieces(Feed, Bytes, PieceBytes)) << PieceBytes;
    EXPECT_TRUE(Feed.done());
    EXPECT_EQ(Feed.body(), "all!");
    EXPECT_EQ(Feed.message().get().count("X-Sum"), 0U);
    EXPECT_EQ(Feed.message().get().count("X-Other"), 1U);
    EXPECT_EQ(Feed.message().get()["X-Other"], "1");
  }
}

TEST(Trailers, MustBeFields) {
  const std::string Before = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "4\r\nall!\r\n0\r\nX-Sum: 1\r\n";
  for (const std::string Line : {" X-Bad: v", "\tX-Bad: v", " ", "X Bad: v", "X-Bad : v", ": v"})
    for (const std::size_t PieceBytes : {1U, 2U, 7U, 1'000U}) {
      answer_feed Feed(HeadLimit);
      EXPECT_FALSE(feedInPieces(Feed, Before + Line + "\r\n\r\n", PieceBytes)) << Line;
    }
}

// A second answer of any size behind the first one belongs to no request; the first one is whole.
TEST(BytesBehindAnAnswer, LeaveItWhole) {
  for (const std::size_t Behind : {1U, 60'000U}) {
    answer_feed Feed(HeadLimit);
    EXPECT_TRUE(Feed.feed(answerWithBody("all!") + std::string(Behind, 'x')));
    EXPECT_TRUE(Feed.done());
    EXPECT_EQ(Feed.body(), "all!");
    EXPECT_TRUE(Feed.hasRemainder());
  }
}

} // namespace
} // namespace pollenstall

/** @file request_head_test.cpp Strict parsing of request heads. */
#include "relay/relay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pollenstall {
namespace {

std::string head(const std::string &Lines) {
  return "POST /v1/chat/completions HTTP/1.1\r\n" + Lines + "\r\n";
}

std::string fieldOf(const std::string &Bytes) {
  const auto Read = readRequestHead(Bytes);
  return succeeded(Read) ? std::string("(taken)") : errorOf(Read).Field;
}

TEST(RequestHead, IsParsed) {
  const auto Read = readRequestHead(head("Host: a\r\nContent-Length: 12\r\nX-A: b\r\n"));
  ASSERT_TRUE(succeeded(Read));
  EXPECT_EQ(valueOf(Read).Method, "POST");
  EXPECT_EQ(valueOf(Read).Target, "/v1/chat/completions");
  EXPECT_EQ(valueOf(Read).ContentLength, 12U);
  EXPECT_EQ(valueOf(Read).header("x-a"), "b");
  EXPECT_TRUE(valueOf(Read).KeepAlive);
}

TEST(RequestHead, RefusesAmbiguousMessages) {
  const std::vector<std::pair<std::string, std::string>> Cases{
      {"Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length"},
      {"Host: a\r\nTransfer-Encoding: chunked\r\ncontent-length: 3\r\n", "Content-Length"},
      {"Host: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n", "Content-Length"},
      {"Host: a\r\nContent-Length: +3\r\n", "Content-Length"},
      {"Host: a\r\nContent-Length: 3, 3\r\n", "Content-Length"},
      {"Host: a\r\nContent-Length: 0x3\r\n", "Content-Length"},
      {"Host: a\r\nTransfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding"},
      {"Host: a\r\nTransfer-Encoding: identity\r\n", "Transfer-Encoding"},
      {"Host: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
       "Transfer-Encoding"},
      {"Host: a\r\nX-A: b\r\n folded\r\n", "headers"},
      {"Host: a\r\nX-A: b\r\n\tfolded\r\n", "headers"},
      {"Host: a\nX-A: b\r\n", "headers"},
      {"Host: a\r\nX-A: b\rc\r\n", "headers"},
      {"Host: a\r\nX-A : b\r\n", "headers"},
      {std::string("Host: a\r\nX-A: b\0c\r\n", 19), "headers"},
      {"X-A: b\r\n", "Host"},
      {"Host: a\r\nHost: b\r\n", "Host"}};
  for (const auto &[Lines, Field] : Cases)
    EXPECT_EQ(fieldOf(head(Lines)), Field) << Lines;
}

TEST(RequestHead, RefusesOtherVersionsAndTargets) {
  EXPECT_EQ(fieldOf("GET / HTTP/1.0\r\nHost: a\r\n\r\n"), "version");
  EXPECT_EQ(fieldOf("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n"), "path");
  EXPECT_EQ(fieldOf("GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"), "version");
}

RC_GTEST_PROP(RequestHead, AcceptsOrRefusesAnyBytes, ()) {
  std::string Bytes = head("Host: a\r\nContent-Length: 3\r\nX-A: b\r\n");
  const auto Changes = *rc::gen::inRange(1, 6);
  for (int Change = 0; Change < Changes; ++Change)
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  const auto Read = readRequestHead(Bytes);
  if (succeeded(Read))
    RC_ASSERT(valueOf(Read).Target.front() == '/');
  else
    RC_ASSERT(errorOf(Read).Outcome == final_outcome::NotRun);
}

} // namespace
} // namespace pollenstall

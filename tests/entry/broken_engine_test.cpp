/** @file broken_engine_test.cpp Chat calls to an engine that sends raw bytes. */
#include "entry_fleet_base.h"
#include "support/scripted_server_base.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <vector>

namespace pollenstall {
namespace {

const std::string Body = R"({"choices":[{"index":0,"message":{"content":"all of it"}}]})";

/// An entry and one engine, which answers each chat call with the same bytes.
class an_engine_in_trouble : public testing::Test {
protected:
  an_engine_in_trouble() : Fleet({.EngineCount = 0}) {
    const http_client Client(Fleet.announcementsAddress());
    const boost::json::object Announcement{{"fleet", "test"},
                                           {"address", Engine.key().Address.str()},
                                           {"incarnation", Engine.key().Incarnation.value()},
                                           {"sequence", 1},
                                           {"failure_domain", "a"},
                                           {"service", "llm"},
                                           {"kind", "model"},
                                           {"labels", boost::json::object()},
                                           {"models", {"m"}},
                                           {"capabilities",
                                            {{"priorities", false},
                                             {"cancels", false},
                                             {"resumes", false},
                                             {"moves_cache", false},
                                             {"orders", "none"}}},
                                           {"memory", {{"blocks", 1'000}, {"block_tokens", 16}}},
                                           {"standing", "active"},
                                           {"load",
                                            {{"sequence", 1},
                                             {"running", 0},
                                             {"waiting", 0},
                                             {"waiting_prefill_tokens", 0},
                                             {"used_blocks", 0},
                                             {"cached_blocks", 0}}}};
    const http_answer Answer =
        Client.post("/v1/announcements", boost::json::serialize(Announcement),
                    {{"Authorization", "Bearer fleet-key"}});
    EXPECT_EQ(Answer.Status, 200) << Answer.Body;
  }

  /// Replaces "ATTEMPT" by the attempt that the request names, then waits until the entry closes.
  void serve(scripted_server::tcp_socket &Socket, const received_request &Request) const {
    const std::string Key = "X-Pollenstall-Attempt: ";
    const std::size_t From = Request.Head.find(Key) + Key.size();
    const std::string Attempt = Request.Head.substr(From, Request.Head.find("\r\n", From) - From);
    std::string Text = Bytes;
    if (const std::size_t At = Text.find("ATTEMPT"); At != std::string::npos)
      Text.replace(At, 7, Attempt);
    sendText(Socket, Text);
    if (Resets)
      return resetConnection(Socket);
    waitForClose(Socket);
  }

  /// Sends a call that must run at most once, whose engine answers with these bytes.
  http_answer told(const std::string &Answer, bool ThenReset = false) {
    Bytes = Answer;
    Resets = ThenReset;
    http_answer Told;
    // The engine is not known at once, and is passed over for a while after failures.
    eventually([&] {
      Told = Fleet.chat("send", 1, {{"X-Pollenstall-Idempotent", "false"}});
      return Told.header("X-Pollenstall-Outcome") != "not-run";
    });
    return Told;
  }

  void expectFailureAtOnce(const std::string &Answer, bool ThenReset = false) {
    const auto Started = std::chrono::steady_clock::now();
    const http_answer Told = told(Answer, ThenReset);
    EXPECT_EQ(Told.Status, 502) << Answer << "\n" << Told.Body;
    EXPECT_EQ(Told.header("X-Pollenstall-Outcome"), "unknown") << Answer;
    EXPECT_LT(std::chrono::steady_clock::now() - Started, std::chrono::seconds(3)) << Answer;
  }

  std::string Bytes; ///< Of the answer to the next call.
  std::atomic<bool> Resets{false};
  const scripted_server Engine{
      [this](auto &Socket, const received_request &Request) { serve(Socket, Request); }};
  entry_fleet Fleet;
};

const std::string Head = "HTTP/1.1 200 OK\r\nX-Pollenstall-Attempt: ATTEMPT\r\n"
                         "Content-Type: application/json\r\n";
const std::string Rest = "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;

TEST_F(an_engine_in_trouble, IsServedOnceItAnswersSoundly) {
  const http_answer Told = told(Head + Rest);
  EXPECT_TRUE(Told.ok()) << Told.Status << Told.Body;
  EXPECT_EQ(Told.Body, Body);
}

// Callers of chat got statuses that do not exist, or waited for their whole time.
TEST_F(an_engine_in_trouble, IsNotBelievedForItsStatus) {
  for (const std::string Status : {"000", "099", "101", "600", "999", "20", "1000"}) {
    const std::string Line = "HTTP/1.1 " + Status + " -\r\nX-Pollenstall-Attempt: ATTEMPT\r\n";
    expectFailureAtOnce(Line + Rest);
    expectFailureAtOnce(Line + "Content-Length: 0\r\n\r\n");
  }
}

// Callers of chat got an answer whose head holds lines that are no fields.
TEST_F(an_engine_in_trouble, IsNotBelievedForItsFields) {
  // The byte and the letter behind it would else be read as one escape sequence.
  const std::string ControlByteInName = std::string("X-\x01").append("Bad: v");
  for (const std::string &Line : std::vector<std::string>{
           "X Bad: v", " X-Bad: v", "\tX-Bad: v", "X-Bad : v", ControlByteInName, "X-Bad: \x01",
           ": v", "X-Bad", "Transfer-Encoding: gzip"})
    expectFailureAtOnce(std::string(Head).append(Line).append("\r\n").append(Rest));
}

// An answer without length and chunks is never whole for a chat call.
TEST_F(an_engine_in_trouble, IsNotBelievedIfItBreaksOff) {
  for (const bool ThenReset : {false, true}) {
    for (const std::string Framing : {"\r\n", "Transfer-Encoding: xchunked\r\n\r\n"})
      expectFailureAtOnce(std::string(Head).append(Framing).append(Body), ThenReset);
  }
  expectFailureAtOnce(Head + Rest.substr(0, Rest.size() - 1), true);
}

} // namespace
} // namespace pollenstall

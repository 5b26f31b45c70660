/** @file bad_input_test.cpp Invalid requests get a 4xx that names the field, are not run, and do
 * not affect other callers. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

/// An invalid request and the answer that it must get.
struct bad_case {
  std::string Name;
  std::string Body;
  http_headers Headers;
  int Status{400};
  std::string Field;
};

class BadInputTest : public ::testing::Test {
protected:
  entry_fleet Fleet{{.EntryLimits = "header_timeout_ms = 200\nbody_timeout_ms = 200\n"
                                    "header_bytes = 4096\n",
                     .ServiceLines = "max_body_bytes = 20000\nmax_prompt_tokens = 3000\n"
                                     "max_answer_tokens = 100\n"}};

  /// Checks that a valid request still succeeds and that the fleet becomes idle.
  void TearDown() override {
    EXPECT_TRUE(Fleet.chat("still served").ok());
    EXPECT_TRUE(eventually([this] { return Fleet.isIdle(); }));
  }

  void expectRefused(const http_answer &Answer, const bad_case &Case) {
    EXPECT_EQ(Answer.Status, Case.Status) << Case.Name << Answer.Error << Answer.Body;
    const boost::json::object Error = pollenstall::errorOf(Answer);
    EXPECT_EQ(textIn(Error, "param"), Case.Field) << Case.Name;
    EXPECT_EQ(textIn(Error, "outcome"), "not-run") << Case.Name;
    EXPECT_FALSE(textIn(Error, "message").empty()) << Case.Name;
    EXPECT_EQ(Answer.header("X-Pollenstall-Outcome"), "not-run") << Case.Name;
  }

  /// Sends raw bytes and expects an error answer that names the field, then a closed connection.
  void expectRawRefused(const std::string &Bytes, const std::string &Status,
                        const std::string &Field) {
    raw_socket Socket(Fleet.callersAddress());
    Socket.send(Bytes);
    const std::string Answer = Socket.receiveAll();
    EXPECT_TRUE(Answer.starts_with("HTTP/1.1 " + Status)) << Bytes.substr(0, 80) << Answer;
    EXPECT_NE(Answer.find("\"param\":\"" + Field + "\""), std::string::npos) << Answer;
    EXPECT_NE(Answer.find("X-Pollenstall-Outcome: not-run"), std::string::npos) << Answer;
    EXPECT_TRUE(Socket.peerClosed());
  }
};

const std::string HostAndKeyLines = "Host: e\r\nAuthorization: Bearer caller-key\r\n";

TEST_F(BadInputTest, NamesTheInvalidBodyField) {
  const std::string Good = chatBody("m", "x", false, 1);
  const std::vector<bad_case> Cases{
      {"broken JSON", Good.substr(0, Good.size() - 2), callerAuthorization(), 400, "body"},
      {"not UTF-8", "{\"model\":\"m\",\"messages\":[{\"role\":\"u\",\"content\":\"\xff\"}]}",
       callerAuthorization(), 400, "body"},
      {"wrong type", R"({"model":7})", callerAuthorization(), 400, "model"},
      {"no messages", R"({"model":"m"})", callerAuthorization(), 400, "messages"},
      {"wrong content", R"({"model":"m","messages":[{"role":"user","content":3}]})",
       callerAuthorization(), 400, "messages[0].content"},
      {"unknown model", chatBody("other", "x", false), callerAuthorization(), 404, "model"},
      {"answer over the limit", chatBody("m", "x", false, 101), callerAuthorization(), 400,
       "max_tokens"},
      {"prompt over the limit", chatBody("m", std::string(19'000, 'x'), false),
       callerAuthorization(), 400, "messages"},
      {"body over the limit", chatBody("m", std::string(30'000, 'x'), false), callerAuthorization(),
       413, "body"},
      {"no key", Good, {}, 401, "Authorization"},
      {"wrong key", Good, {{"Authorization", "Bearer wrong"}}, 401, "Authorization"},
      {"no bearer", Good, {{"Authorization", "Basic caller-key"}}, 401, "Authorization"}};
  for (const bad_case &Case : Cases)
    expectRefused(Fleet.caller().post("/v1/chat/completions", Case.Body, Case.Headers), Case);
  EXPECT_EQ(Fleet.engine().stat("starts"), 0);
}

TEST_F(BadInputTest, NamesTheInvalidHeaderOrPath) {
  const std::string Good = chatBody("m", "x", false, 1);
  const auto Post = [&](const std::string &Name, const std::string &Value) {
    http_headers Headers = callerAuthorization();
    Headers.emplace_back(Name, Value);
    return Fleet.caller().post("/v1/chat/completions", Good, Headers);
  };
  expectRefused(Post("X-Request-Timeout-Ms", "soon"), {"", "", {}, 400, "X-Request-Timeout-Ms"});
  expectRefused(Post("X-Request-Timeout-Ms", "0"), {"", "", {}, 400, "X-Request-Timeout-Ms"});
  expectRefused(Post("X-Pollenstall-Idempotent", "no"),
                {"", "", {}, 400, "X-Pollenstall-Idempotent"});
  expectRefused(Post("X-Prompt-Tokens", "-1"), {"", "", {}, 400, "X-Prompt-Tokens"});
  expectRefused(Post("Idempotency-Key", std::string(300, 'k')),
                {"", "", {}, 400, "Idempotency-Key"});
  expectRefused(Fleet.caller().get("/nowhere", callerAuthorization()), {"", "", {}, 404, "path"});
  expectRefused(Fleet.caller().get("/v1/chat/completions", callerAuthorization()),
                {"", "", {}, 405, "method"});
  EXPECT_EQ(Fleet.engine().stat("starts"), 0);
}

TEST_F(BadInputTest, RefusesAmbiguousMessagesAndClosesTheConnection) {
  const std::string Start = "POST /v1/chat/completions HTTP/1.1\r\n" + HostAndKeyLines;
  expectRawRefused(Start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   "400", "Content-Length");
  expectRawRefused(Start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "400",
                   "Content-Length");
  expectRawRefused(Start + "Transfer-Encoding: gzip\r\n\r\n", "400", "Transfer-Encoding");
  expectRawRefused(Start + "X-A: b\r\n folded\r\n\r\n", "400", "headers");
  expectRawRefused(Start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "body");
  expectRawRefused("GET / HTTP/1.0\r\n" + HostAndKeyLines + "\r\n", "505", "version");
  expectRawRefused("\x16\x03\x01 not http at all\r\n\r\n", "400", "headers");
  expectRawRefused(Start + "X-Long: " + std::string(9'000, 'x') + "\r\n\r\n", "431", "headers");
  EXPECT_EQ(Fleet.engine().stat("starts"), 0);
}

TEST_F(BadInputTest, SlowSendersTimeOut) {
  // The caller sends half a head or half a body, then nothing. It gets a 408 within the limit and
  // its connection is closed; without the limit each such caller would hold memory indefinitely.
  expectRawRefused("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n", "408", "headers");
  expectRawRefused("POST /v1/chat/completions HTTP/1.1\r\n" + HostAndKeyLines +
                       "Content-Length: 100\r\n\r\n{\"model\"",
                   "408", "body");
  expectRawRefused("POST /v1/chat/completions HTTP/1.1\r\n" + HostAndKeyLines +
                       "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"mod",
                   "408", "body");
}

TEST_F(BadInputTest, SurvivesGarbageOnEveryPort) {
  const std::string Garbage(5'000, '\xfe');
  for (const std::string &Address : {Fleet.callersAddress(), Fleet.announcementsAddress()}) {
    raw_socket Socket(Address);
    Socket.send(Garbage);
    Socket.receiveAll();
    EXPECT_TRUE(Socket.peerClosed()) << Address;
  }
}

TEST_F(BadInputTest, InvalidAnnouncementsNameTheField) {
  const http_client Client(Fleet.announcementsAddress());
  const http_headers FleetKey{{"Authorization", "Bearer fleet-key"}};
  EXPECT_EQ(Client.post("/v1/announcements", "{}").Status, 401);
  EXPECT_EQ(Client.post("/v1/announcements", "{}", callerAuthorization()).Status, 401);
  const http_answer Answer = Client.post("/v1/announcements", R"({"address":"nowhere"})", FleetKey);
  EXPECT_EQ(Answer.Status, 400);
  EXPECT_EQ(textIn(pollenstall::errorOf(Answer), "param"), "address");
}

} // namespace
} // namespace pollenstall

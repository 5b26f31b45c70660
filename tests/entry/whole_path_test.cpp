/** @file whole_path_test.cpp Calls from a caller to a backend server and back. */
#include "entry_fleet_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

std::string contentOf(const std::vector<sse_event> &Events) {
  std::string Text;
  for (const sse_event &Event : Events) {
    boost::json::error_code Code;
    const boost::json::value Data = boost::json::parse(Event.Data, Code);
    const boost::json::value *Content =
        Code ? nullptr : Data.find_pointer("/choices/0/delta/content", Code);
    if (Content && Content->is_string())
      Text += Content->get_string();
  }
  return Text;
}

class WholePathTest : public ::testing::Test {
protected:
  entry_fleet Fleet{{.EngineCount = 2, .PlainServerCount = 1}};
};

TEST_F(WholePathTest, CompleteAnswerArrivesUnchanged) {
  const http_answer Answer = Fleet.chat("a question", 3);
  ASSERT_TRUE(Answer.ok()) << Answer.Error << Answer.Body;
  EXPECT_EQ(Answer.header("Content-Type"), "application/json");
  EXPECT_FALSE(Answer.header("X-Request-Id").empty());
  EXPECT_TRUE(Answer.header("X-Pollenstall-Attempt").empty());
  EXPECT_EQ(Answer.json().at("usage").at("completion_tokens"), 3);
}

TEST_F(WholePathTest, StreamDeliversEveryEventOnceAndEnds) {
  const auto Stream = Fleet.stream("a question", 40);
  ASSERT_EQ(Stream->status(), 200);
  const std::vector<sse_event> Events = Stream->remainingEvents();
  ASSERT_FALSE(Events.empty());
  for (std::size_t Index = 0; Index < Events.size(); ++Index)
    EXPECT_EQ(Events[Index].Id, std::to_string(Index + 1));
  EXPECT_EQ(Events.back().Data, "[DONE]");
  EXPECT_TRUE(Stream->endedCleanly());
  const std::string CompleteAnswer(Fleet.chat("a question", 40)
                                       .json()
                                       .at("choices")
                                       .at(0)
                                       .at("message")
                                       .at("content")
                                       .as_string());
  EXPECT_EQ(contentOf(Events), CompleteAnswer);
  EXPECT_TRUE(eventually([this] { return Fleet.isIdle(); }));
}

TEST_F(WholePathTest, CompletionsInterfaceAndModelListWork) {
  const http_answer Answer = Fleet.caller().post(
      "/v1/completions", R"({"model":"m","prompt":"once","max_tokens":2})", callerAuthorization());
  EXPECT_TRUE(Answer.ok()) << Answer.Body;
  const http_answer Models = Fleet.caller().get("/v1/models", callerAuthorization());
  ASSERT_TRUE(Models.ok());
  EXPECT_EQ(Models.json().at("data").at(0).at("id"), "m");
  EXPECT_TRUE(Fleet.caller().get("/v1/models/m", callerAuthorization()).ok());
  EXPECT_EQ(Fleet.caller().get("/v1/models/x", callerAuthorization()).Status, 404);
}

TEST_F(WholePathTest, PlainCallKeepsMethodPathQueryBodyAndHeaders) {
  http_headers Headers = callerAuthorization();
  Headers.emplace_back("X-Mine", "kept");
  Headers.emplace_back("X-Pollenstall-Account", "someone-else");
  Headers.emplace_back("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  const http_answer Answer =
      Fleet.caller().request("PUT", "/pages/a%20b?x=1&y=2", "body \x01 bytes", Headers);
  ASSERT_TRUE(Answer.ok()) << Answer.Body;
  const boost::json::value Echo = Answer.json();
  EXPECT_EQ(Echo.at("method"), "PUT");
  EXPECT_EQ(Echo.at("path"), "/pages/a%20b?x=1&y=2");
  EXPECT_EQ(Echo.at("body"), "body \x01 bytes");
  EXPECT_EQ(Echo.at("headers").at("X-Mine"), "kept");
  EXPECT_EQ(Echo.at("headers").at("X-Pollenstall-Account"), "club");
  EXPECT_EQ(Echo.at("headers").at("traceparent"),
            "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  EXPECT_FALSE(Echo.at("headers").as_object().contains("Authorization"));
}

TEST_F(WholePathTest, BodyOfAMillionTokensPassesAndIsReleased) {
  const http_answer Answer = Fleet.chat(std::string(6'000'000, 'w'), 1);
  // The engine lacks the memory and refuses the prompt, but the body was transferred.
  EXPECT_TRUE(Answer.Error.empty()) << Answer.Error;
  EXPECT_TRUE(eventually([this] { return Fleet.metric("pollenstall_body_bytes") == 0; }));
}

TEST_F(WholePathTest, HandlesChunkedBodiesExpectContinueAndPipelining) {
  raw_socket Socket(Fleet.callersAddress());
  const std::string Body = chatBody("m", "x", false, 1);
  const std::string HostAndKeyLines = "Host: e\r\nAuthorization: Bearer caller-key\r\n";
  ASSERT_TRUE(Socket.send("POST /v1/chat/completions HTTP/1.1\r\n" + HostAndKeyLines +
                          "Expect: 100-continue\r\nContent-Length: " + std::to_string(Body.size()) +
                          "\r\n\r\n"));
  EXPECT_NE(Socket.receiveUntil("\r\n\r\n").find("100 Continue"), std::string::npos);
  ASSERT_TRUE(Socket.send(Body));
  EXPECT_NE(Socket.receiveUntil("}}").find("200 OK"), std::string::npos);
  const std::string FirstHalf = Body.substr(0, Body.size() / 2);
  const std::string SecondHalf = Body.substr(Body.size() / 2);
  std::ostringstream Chunks;
  Chunks << std::hex << FirstHalf.size() << "\r\n"
         << FirstHalf << "\r\n"
         << SecondHalf.size() << ";ext=1\r\n"
         << SecondHalf << "\r\n0\r\nTrailer: t\r\n\r\n";
  ASSERT_TRUE(Socket.send("POST /v1/chat/completions HTTP/1.1\r\n" + HostAndKeyLines +
                          "Transfer-Encoding: chunked\r\n\r\n" + Chunks.str() +
                          "GET /v1/models HTTP/1.1\r\n" + HostAndKeyLines + "\r\n"));
  const std::string Answers = Socket.receiveUntil("\"owned_by\"");
  EXPECT_NE(Answers.find("chat.completion"), std::string::npos);
  EXPECT_NE(Answers.find("\"owned_by\""), std::string::npos);
}

} // namespace
} // namespace pollenstall

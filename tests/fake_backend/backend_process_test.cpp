/** @file backend_process_test.cpp Tests the fake backend as a process over real connections. */
#include "fake_backend/fake_backend.h"
#include "support/test_support.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>

namespace pollenstall {
namespace {

const char *const FastModelSettings = R"(models = ["tactic-7b"]
fleet = "accra"
[step]
base_us = 1000
per_prefill_token_us = 1.0
per_sequence_us = 10
)";

class BackendServerTest : public testing::Test {
protected:
  backend_process Backend{FastModelSettings};
  http_client Client{Backend.address()};

  http_stream openStream(const std::string &Attempt, int Tokens) {
    return {Backend.address(),
            "POST",
            "/v1/chat/completions",
            chatBody("tactic-7b", "who tracked the runner?", true, Tokens),
            {{"X-Pollenstall-Attempt", Attempt}}};
  }
};

TEST_F(BackendServerTest, StreamsEveryEventInOrder) {
  http_stream Stream = openStream("h/1/2/1", 3);
  EXPECT_EQ(Stream.status(), 200);
  EXPECT_EQ(Stream.header("X-Pollenstall-Attempt"), "h/1/2/1");
  const auto Events = Stream.remainingEvents();
  EXPECT_TRUE(Stream.endedCleanly()) << Stream.error();
  ASSERT_EQ(Events.size(), 7U);
  for (std::size_t Index = 0; Index < Events.size(); ++Index)
    EXPECT_EQ(Events[Index].Id, std::to_string(Index + 1));
  EXPECT_NE(Events[1].Data.find(answerToken(promptHash("who tracked the runner?"), 0)),
            std::string::npos);
  EXPECT_EQ(Events.back().Data, "[DONE]");
}

// The entry's connection breaks after three events, and the entry resumes the stream by the
// attempt's name. Both parts together must equal the stream of an unbroken call, without missing or
// duplicate events.
TEST_F(BackendServerTest, ResumesAtTheEventAfterTheLast) {
  const auto Unbroken = openStream("h/1/1/1", 40).remainingEvents();
  ASSERT_TRUE(Backend.faults(R"({"cut_after_events":3})"));
  http_stream Broken = openStream("h/1/2/1", 40);
  auto Events = Broken.remainingEvents();
  EXPECT_FALSE(Broken.endedCleanly());
  ASSERT_EQ(Events.size(), 3U);
  http_stream Resumed(Backend.address(), "GET", "/v1/attempts/h/1/2/1/stream", {},
                      {{"Last-Event-ID", "3"}});
  EXPECT_EQ(Resumed.header("X-Pollenstall-Attempt"), "h/1/2/1");
  for (const sse_event &Event : Resumed.remainingEvents())
    Events.push_back(Event);
  ASSERT_EQ(Events.size(), Unbroken.size());
  for (std::size_t Index = 0; Index < Events.size(); ++Index) {
    EXPECT_EQ(Events[Index].Id, Unbroken[Index].Id);
    const bool IsUsage = Index + 2 == Events.size(); // the number of cached tokens differs
    if (!IsUsage) {
      EXPECT_EQ(Events[Index].Data, Unbroken[Index].Data);
    }
  }
  EXPECT_EQ(Backend.stat("starts"), 2);
}

TEST_F(BackendServerTest, RefusesToResumeUnknownAttemptsAndEvents) {
  const http_headers LastEventHeader{{"Last-Event-ID", "1"}};
  EXPECT_EQ(Client.get("/v1/attempts/h/1/9/1/stream", LastEventHeader).Status, 404);
  openStream("h/1/1/1", 1).remainingEvents();
  EXPECT_EQ(Client.get("/v1/attempts/h/1/1/1/stream", {{"Last-Event-ID", "5"}}).Status, 404);
}

// The caller disconnects in the middle of a long answer. The engine continues the job so that it
// can be resumed, and holds its memory until it has answered a cancel; a cancel whose connection
// broke has no effect. After the cancel, all blocks are free.
TEST_F(BackendServerTest, HoldsMemoryUntilTheAttemptIsCancelled) {
  http_stream Abandoned = openStream("h/1/2/1", 100'000);
  ASSERT_TRUE(Abandoned.next());
  Abandoned.close();
  const auto Attempts = Client.get("/v1/attempts").json();
  ASSERT_EQ(Attempts.at("attempts").as_array().size(), 1U);
  EXPECT_EQ(Attempts.at("attempts").as_array()[0].at("state").as_string(), "decode");
  EXPECT_GT(Backend.stat("used_blocks"), 6000);
  ASSERT_TRUE(Backend.faults(R"({"drop_cancel_next":1})"));
  EXPECT_FALSE(Client.request("DELETE", "/v1/attempts/h/1/2/1", {}, {}).ok());
  EXPECT_GT(Backend.stat("used_blocks"), 6000);
  const auto Cancelled = Client.request("DELETE", "/v1/attempts/h%2F1%2F2%2F1", {}, {});
  EXPECT_EQ(Cancelled.Body, R"({"state":"cancelled"})");
  EXPECT_EQ(Backend.stat("used_blocks"), 0);
  EXPECT_EQ(Backend.stat("cancels"), 1);
  EXPECT_EQ(Client.request("DELETE", "/v1/attempts/other", {}, {}).Body, R"({"state":"unknown"})");
}

TEST_F(BackendServerTest, DeclinesWithoutStarting) {
  ASSERT_TRUE(Backend.faults(R"({"decline_next":1})"));
  const std::string Body = chatBody("tactic-7b", "hello", false, 2);
  const auto Declined = Client.post("/v1/chat/completions", Body, {{"Idempotency-Key", "k"}});
  EXPECT_EQ(Declined.Status, 503);
  EXPECT_EQ(Declined.header("X-Pollenstall-Started"), "no");
  EXPECT_EQ(Backend.startsByKey("k"), 0);
  EXPECT_TRUE(Client.post("/v1/chat/completions", Body, {{"Idempotency-Key", "k"}}).ok());
  EXPECT_EQ(Backend.startsByKey("k"), 1);
}

TEST_F(BackendServerTest, OmitsTheStartedHeaderWhenARunningRequestFails) {
  ASSERT_TRUE(Backend.faults(R"({"error_next":1})"));
  const auto Failed = Client.post("/v1/chat/completions", chatBody("tactic-7b", "hello", false, 2),
                                  {{"Idempotency-Key", "k"}});
  EXPECT_EQ(Failed.Status, 500);
  EXPECT_EQ(Failed.header("X-Pollenstall-Started"), "");
  EXPECT_EQ(Backend.startsByKey("k"), 1);
}

TEST_F(BackendServerTest, InjectsAnswerFaults) {
  ASSERT_TRUE(Backend.faults(R"({"half_answer_next":1,"no_done_next":1,"wrong_attempt_next":1})"));
  http_stream NoDone = openStream("h/1/1/1", 2);
  EXPECT_EQ(NoDone.header("X-Pollenstall-Attempt"), "h/1/1/1-crossed");
  EXPECT_EQ(NoDone.remainingEvents().size(), 5U);
  EXPECT_TRUE(NoDone.endedCleanly());
  const auto Truncated =
      Client.post("/v1/chat/completions", chatBody("tactic-7b", "hello", false, 9));
  EXPECT_EQ(Truncated.Status, 200);
  EXPECT_FALSE(Truncated.Error.empty());
  EXPECT_EQ(Client.post("/faults", R"({"unheard_of":1})").Status, 400);
}

TEST_F(BackendServerTest, KeepsOpenConnectionsWhileRefusingNewOnes) {
  http_stream OpenStream = openStream("h/1/1/1", 100'000);
  ASSERT_TRUE(Backend.faults(R"({"refuse_connections":true})"));
  EXPECT_TRUE(eventually([this] { return !raw_socket(Backend.address()).connected(); }));
  EXPECT_TRUE(OpenStream.next()) << "open connections must stay usable";
}

TEST_F(BackendServerTest, KillsItselfInTheMiddleOfAStream) {
  ASSERT_TRUE(Backend.faults(R"({"die_after_events":5})"));
  EXPECT_EQ(openStream("h/1/1/1", 100).remainingEvents().size(), 5U);
  EXPECT_EQ(Backend.process().wait(), 128 + SIGKILL);
}

TEST_F(BackendServerTest, RefusesOrdersWithAStaleFence) {
  const auto SendOrder = [this](int Fence) {
    return Client
        .post("/v1/orders",
              R"({"order":"load","model":"m2","fence":)" + std::to_string(Fence) + "}")
        .Status;
  };
  EXPECT_EQ(SendOrder(5), 200);
  EXPECT_EQ(SendOrder(5), 200) << "repeated order with the same fence";
  EXPECT_EQ(SendOrder(4), 409);
  EXPECT_EQ(Client.get("/v1/state").json().at("fence").as_int64(), 5);
  EXPECT_EQ(Backend.stats().at("orders").as_array().size(), 2U);
}

TEST_F(BackendServerTest, PublishesCacheEvents) {
  http_stream CacheEvents(Backend.address(), "GET", "/v1/cache-events", {});
  Client.post("/v1/chat/completions", chatBody("tactic-7b", std::string(200, 'a'), false, 1));
  const auto Event = CacheEvents.next();
  ASSERT_TRUE(Event);
  EXPECT_EQ(Event->Id, "1");
  EXPECT_EQ(boost::json::parse(Event->Data).at("stored").as_array().size(), 3U);
}

TEST(UnfencedBackendTest, AcceptsAStaleOrder) {
  const backend_process Backend(R"(models = ["m"]
[capabilities]
orders = "unfenced"
)");
  const http_client Client(Backend.address());
  EXPECT_EQ(Client.post("/v1/orders", R"({"order":"role","role":"prefill","fence":5})").Status,
            200);
  EXPECT_EQ(Client.post("/v1/orders", R"({"order":"role","role":"decode","fence":4})").Status, 200);
  EXPECT_EQ(Client.get("/v1/state").json().at("role").as_string(), "decode");
}

TEST(PlainBackendTest, EchoesAnyCall) {
  const backend_process Backend("kind = \"plain\"\n");
  const http_client Client(Backend.address());
  const auto Answer = Client.request("PUT", "/clips/7?tag=goal", "abc", {{"Idempotency-Key", "k"}});
  ASSERT_TRUE(Answer.ok());
  EXPECT_EQ(Answer.json().at("method").as_string(), "PUT");
  EXPECT_EQ(Answer.json().at("path").as_string(), "/clips/7?tag=goal");
  EXPECT_EQ(Answer.json().at("body").as_string(), "abc");
  EXPECT_EQ(Answer.json().at("body_sha256").as_string(),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_EQ(Backend.startsByKey("k"), 1);
}

std::vector<std::string> announcedStandings(const http_stub &Entry) {
  std::vector<std::string> Standings;
  for (const stub_request &Request : Entry.requests())
    Standings.emplace_back(boost::json::parse(Request.body()).at("standing").as_string());
  return Standings;
}

class AnnouncingBackendTest : public testing::Test {
protected:
  temp_folder Folder;
  std::atomic<bool> FirstEntryFails{false};
  http_stub SecondEntry{
      [](const stub_request &) { return stubJson(200, R"({"announce_to":[]})"); }};
  http_stub FirstEntry{[this](const stub_request &) {
    return FirstEntryFails
               ? stubJson(503, "{}")
               : stubJson(200, R"({"announce_to":[")" + SecondEntry.address() + R"("]})");
  }};

  std::string settings() {
    return "fleet = \"accra\"\nmodels = [\"m\"]\nservice = \"tactic-llm\"\n"
           "[step]\nbase_us = 1000\n[announce]\ninterval_ms = 20\nto = [\"" +
           FirstEntry.address() + "\"]\nkey_file = \"" + Folder.write("key", "secret\n") + "\"\n";
  }
};

TEST_F(AnnouncingBackendTest, FailsOverToTheNextEntry) {
  const backend_process Backend(settings());
  ASSERT_TRUE(eventually([this] { return FirstEntry.requests().size() >= 2; }));
  const stub_request Request = FirstEntry.requests()[1];
  EXPECT_EQ(Request["Authorization"], "Bearer secret");
  const auto Body = boost::json::parse(Request.body());
  EXPECT_EQ(Body.at("sequence").as_int64(), 2);
  EXPECT_EQ(Body.at("address").as_string(), Backend.address());
  FirstEntryFails = true;
  EXPECT_TRUE(eventually([this] { return !SecondEntry.requests().empty(); }));
}

// SIGTERM arrives while an answer is streamed. The server must notify entries at once, decline new
// work as not started, and complete the running answer before the process exits.
TEST_F(AnnouncingBackendTest, CompletesRunningAnswersBeforeItLeaves) {
  backend_process Backend(settings());
  const http_client Client(Backend.address());
  http_stream Running(Backend.address(), "POST", "/v1/chat/completions",
                      chatBody("m", "hello", true, 300));
  ASSERT_TRUE(Running.next());
  Backend.process().terminate();
  ASSERT_TRUE(eventually([this] {
    const auto Standings = announcedStandings(FirstEntry);
    return !Standings.empty() && Standings.back() == "leaving";
  }));
  const auto Declined = Client.post("/v1/chat/completions", chatBody("m", "hello", false, 1));
  EXPECT_EQ(Declined.Status, 503);
  EXPECT_EQ(Declined.header("X-Pollenstall-Started"), "no");
  const auto RemainingEvents = Running.remainingEvents();
  EXPECT_EQ(RemainingEvents.size(), 303U);
  EXPECT_EQ(RemainingEvents.back().Data, "[DONE]");
  EXPECT_EQ(Backend.process().wait(), 0);
}

} // namespace
} // namespace pollenstall

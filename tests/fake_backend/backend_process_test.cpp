/** @file backend_process_test.cpp The stand-in as a process, over real connections. */
#include "fake_backend/fake_backend.h"
#include "support/test_support.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>

namespace pollenstall {
namespace {

const char *const Quick = R"(models = ["tactic-7b"]
fleet = "accra"
[step]
base_us = 1000
per_prefill_token_us = 1.0
per_sequence_us = 10
)";

class a_backend_server : public testing::Test {
protected:
  backend_process Backend{Quick};
  http_client Client{Backend.address()};

  http_stream stream(const std::string &Attempt, int Tokens) {
    return {Backend.address(),
            "POST",
            "/v1/chat/completions",
            chatBody("tactic-7b", "who tracked the runner?", true, Tokens),
            {{"X-Pollenstall-Attempt", Attempt}}};
  }
};

TEST_F(a_backend_server, StreamsEveryEventInOrder) {
  http_stream Stream = stream("h/1/2/1", 3);
  EXPECT_EQ(Stream.status(), 200);
  EXPECT_EQ(Stream.header("X-Pollenstall-Attempt"), "h/1/2/1");
  const auto Events = Stream.remainingEvents();
  EXPECT_TRUE(Stream.endedCleanly()) << Stream.error();
  ASSERT_EQ(Events.size(), 7U);
  for (std::size_t Place = 0; Place < Events.size(); ++Place)
    EXPECT_EQ(Events[Place].Id, std::to_string(Place + 1));
  EXPECT_NE(Events[1].Data.find(answerToken(promptHash("who tracked the runner?"), 0)),
            std::string::npos);
  EXPECT_EQ(Events.back().Data, "[DONE]");
}

// The entry's connection breaks after three events; it asks for the rest under the attempt's name.
// The two parts together must be the stream of an unbroken call: no event missing, none twice.
TEST_F(a_backend_server, ResumesAtTheNextEvent) {
  const auto Unbroken = stream("h/1/1/1", 40).remainingEvents();
  ASSERT_TRUE(Backend.faults(R"({"cut_after_events":3})"));
  http_stream Broken = stream("h/1/2/1", 40);
  auto Events = Broken.remainingEvents();
  EXPECT_FALSE(Broken.endedCleanly());
  ASSERT_EQ(Events.size(), 3U);
  http_stream Resumed(Backend.address(), "GET", "/v1/attempts/h/1/2/1/stream", {},
                      {{"Last-Event-ID", "3"}});
  EXPECT_EQ(Resumed.header("X-Pollenstall-Attempt"), "h/1/2/1");
  for (const sse_event &Event : Resumed.remainingEvents())
    Events.push_back(Event);
  ASSERT_EQ(Events.size(), Unbroken.size());
  for (std::size_t Place = 0; Place < Events.size(); ++Place) {
    EXPECT_EQ(Events[Place].Id, Unbroken[Place].Id);
    const bool IsUsage = Place + 2 == Events.size(); // cached tokens differ
    if (!IsUsage) {
      EXPECT_EQ(Events[Place].Data, Unbroken[Place].Data);
    }
  }
  EXPECT_EQ(Backend.stat("starts"), 2);
}

TEST_F(a_backend_server, CannotResumeWhatItDoesNotHold) {
  const http_headers From{{"Last-Event-ID", "1"}};
  EXPECT_EQ(Client.get("/v1/attempts/h/1/9/1/stream", From).Status, 404);
  stream("h/1/1/1", 1).remainingEvents();
  EXPECT_EQ(Client.get("/v1/attempts/h/1/1/1/stream", {{"Last-Event-ID", "5"}}).Status, 404);
}

// The caller hangs up in the middle of a long answer. The engine goes on, as it must for a resume,
// and holds memory until the entry's cancel is answered; then all blocks are free.
TEST_F(a_backend_server, HoldsMemoryUntilTheCancel) {
  http_stream Left = stream("h/1/2/1", 100'000);
  ASSERT_TRUE(Left.next());
  Left.close();
  const auto Listed = Client.get("/v1/attempts").json();
  ASSERT_EQ(Listed.at("attempts").as_array().size(), 1U);
  EXPECT_EQ(Listed.at("attempts").as_array()[0].at("state").as_string(), "decode");
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

TEST_F(a_backend_server, DeclinesWithoutStarting) {
  ASSERT_TRUE(Backend.faults(R"({"decline_next":1})"));
  const std::string Body = chatBody("tactic-7b", "hello", false, 2);
  const auto Declined = Client.post("/v1/chat/completions", Body, {{"Idempotency-Key", "k"}});
  EXPECT_EQ(Declined.Status, 503);
  EXPECT_EQ(Declined.header("X-Pollenstall-Started"), "no");
  EXPECT_EQ(Backend.startsByKey("k"), 0);
  EXPECT_TRUE(Client.post("/v1/chat/completions", Body, {{"Idempotency-Key", "k"}}).ok());
  EXPECT_EQ(Backend.startsByKey("k"), 1);
}

TEST_F(a_backend_server, SaysNothingOfTheStartWhereItFailedWhileRunning) {
  ASSERT_TRUE(Backend.faults(R"({"error_next":1})"));
  const auto Failed = Client.post("/v1/chat/completions", chatBody("tactic-7b", "hello", false, 2),
                                  {{"Idempotency-Key", "k"}});
  EXPECT_EQ(Failed.Status, 500);
  EXPECT_EQ(Failed.header("X-Pollenstall-Started"), "");
  EXPECT_EQ(Backend.startsByKey("k"), 1);
}

TEST_F(a_backend_server, BreaksAnswersAsTheFaultsSay) {
  ASSERT_TRUE(Backend.faults(R"({"half_answer_next":1,"no_done_next":1,"wrong_attempt_next":1})"));
  http_stream NoDone = stream("h/1/1/1", 2);
  EXPECT_EQ(NoDone.header("X-Pollenstall-Attempt"), "h/1/1/1-crossed");
  EXPECT_EQ(NoDone.remainingEvents().size(), 5U);
  EXPECT_TRUE(NoDone.endedCleanly());
  const auto Half = Client.post("/v1/chat/completions", chatBody("tactic-7b", "hello", false, 9));
  EXPECT_EQ(Half.Status, 200);
  EXPECT_FALSE(Half.Error.empty());
  EXPECT_EQ(Client.post("/faults", R"({"unheard_of":1})").Status, 400);
}

TEST_F(a_backend_server, RefusesConnectionsUntilToldOtherwise) {
  http_stream Held = stream("h/1/1/1", 100'000);
  ASSERT_TRUE(Backend.faults(R"({"refuse_connections":true})"));
  EXPECT_TRUE(eventually([this] { return !raw_socket(Backend.address()).connected(); }));
  EXPECT_TRUE(Held.next()) << "open connections go on";
}

TEST_F(a_backend_server, DiesInTheMiddleOfAStream) {
  ASSERT_TRUE(Backend.faults(R"({"die_after_events":5})"));
  EXPECT_EQ(stream("h/1/1/1", 100).remainingEvents().size(), 5U);
  EXPECT_EQ(Backend.process().wait(), 128 + SIGKILL);
}

TEST_F(a_backend_server, RefusesOrdersWithAnOldFence) {
  const auto Order = [this](int Fence) {
    return Client
        .post("/v1/orders",
              R"({"order":"load","model":"m2","fence":)" + std::to_string(Fence) + "}")
        .Status;
  };
  EXPECT_EQ(Order(5), 200);
  EXPECT_EQ(Order(5), 200) << "a repeat of the same order";
  EXPECT_EQ(Order(4), 409);
  EXPECT_EQ(Client.get("/v1/state").json().at("fence").as_int64(), 5);
  EXPECT_EQ(Backend.stats().at("orders").as_array().size(), 2U);
}

TEST_F(a_backend_server, PublishesWhatItCaches) {
  http_stream CacheEvents(Backend.address(), "GET", "/v1/cache-events", {});
  Client.post("/v1/chat/completions", chatBody("tactic-7b", std::string(200, 'a'), false, 1));
  const auto Event = CacheEvents.next();
  ASSERT_TRUE(Event);
  EXPECT_EQ(Event->Id, "1");
  EXPECT_EQ(boost::json::parse(Event->Data).at("stored").as_array().size(), 3U);
}

TEST(an_engine_that_ignores_fences, TakesAnOldOrder) {
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

TEST(a_plain_service, EchoesAnyCall) {
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

std::vector<std::string> standings(const http_stub &Entry) {
  std::vector<std::string> Texts;
  for (const stub_request &Request : Entry.requests())
    Texts.emplace_back(boost::json::parse(Request.body()).at("standing").as_string());
  return Texts;
}

class an_announcing_backend_server : public testing::Test {
protected:
  temp_folder Folder;
  std::atomic<bool> FirstFails{false};
  http_stub Second{[](const stub_request &) { return stubJson(200, R"({"announce_to":[]})"); }};
  http_stub First{[this](const stub_request &) {
    return FirstFails ? stubJson(503, "{}")
                      : stubJson(200, R"({"announce_to":[")" + Second.address() + R"("]})");
  }};

  std::string settings() {
    return "fleet = \"accra\"\nmodels = [\"m\"]\nservice = \"tactic-llm\"\n"
           "[step]\nbase_us = 1000\n[announce]\ninterval_ms = 20\nto = [\"" +
           First.address() + "\"]\nkey_file = \"" + Folder.write("key", "secret\n") + "\"\n";
  }
};

TEST_F(an_announcing_backend_server, GoesToTheNextEntryWhenOneFails) {
  const backend_process Backend(settings());
  ASSERT_TRUE(eventually([this] { return First.requests().size() >= 2; }));
  const stub_request Request = First.requests()[1];
  EXPECT_EQ(Request["Authorization"], "Bearer secret");
  const auto Body = boost::json::parse(Request.body());
  EXPECT_EQ(Body.at("sequence").as_int64(), 2);
  EXPECT_EQ(Body.at("address").as_string(), Backend.address());
  FirstFails = true;
  EXPECT_TRUE(eventually([this] { return !Second.requests().empty(); }));
}

// SIGTERM comes while an answer is being streamed. Entries must hear of it at once, new work is
// declined as not started, and the running answer comes out whole before the process ends.
TEST_F(an_announcing_backend_server, LeavesWithoutCuttingAnAnswer) {
  backend_process Backend(settings());
  const http_client Client(Backend.address());
  http_stream Running(Backend.address(), "POST", "/v1/chat/completions",
                      chatBody("m", "hello", true, 300));
  ASSERT_TRUE(Running.next());
  Backend.process().terminate();
  ASSERT_TRUE(eventually([this] { return standings(First).back() == "leaving"; }));
  const auto Declined = Client.post("/v1/chat/completions", chatBody("m", "hello", false, 1));
  EXPECT_EQ(Declined.Status, 503);
  EXPECT_EQ(Declined.header("X-Pollenstall-Started"), "no");
  const auto Rest = Running.remainingEvents();
  EXPECT_EQ(Rest.size(), 303U);
  EXPECT_EQ(Rest.back().Data, "[DONE]");
  EXPECT_EQ(Backend.process().wait(), 0);
}

} // namespace
} // namespace pollenstall

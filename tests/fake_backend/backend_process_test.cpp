/** @file backend_process_test.cpp The stand-in as a process, over real connections. */
#include "fake_backend/fake_backend.h"
#include "support/test_support.h"

#include <gtest/gtest.h>

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
  const auto Events = Stream.rest();
  EXPECT_TRUE(Stream.endedInOrder()) << Stream.error();
  ASSERT_EQ(Events.size(), 7U);
  for (std::size_t Place = 0; Place < Events.size(); ++Place)
    EXPECT_EQ(Events[Place].Id, std::to_string(Place + 1));
  EXPECT_NE(Events[1].Data.find(answerToken(promptHash("who tracked the runner?"), 0)),
            std::string::npos);
  EXPECT_EQ(Events.back().Data, "[DONE]");
}

} // namespace
} // namespace pollenstall

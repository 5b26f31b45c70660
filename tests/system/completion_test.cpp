/** @file completion_test.cpp Idempotent work, retries and answers that must not reach a caller. */
#include "running_system_base.h"

#include <gtest/gtest.h>

namespace pollenstall {
namespace {

std::string contentOf(const http_answer &Answer) {
  const boost::json::value Body = Answer.json();
  boost::json::error_code Code;
  const boost::json::value *Text = Body.find_pointer("/choices/0/message/content", Code);
  return Text && Text->is_string() ? std::string(Text->get_string()) : std::string();
}

bool endsInError(const std::vector<sse_event> &Events) {
  return !Events.empty() && Events.back().Data.find("\"outcome\":\"unknown\"") != std::string::npos;
}

class IdempotentWorkTest : public testing::Test {
protected:
  explicit IdempotentWorkTest(const system_options &Plan = {}) : System(Plan) {}

  bool engineFaults(const std::string &Json) {
    for (std::size_t Index = 0; Index < System.engines(); ++Index)
      if (!System.engine(Index).faults(Json))
        return false;
    return true;
  }

  running_system System;
};

TEST_F(IdempotentWorkTest, CompletesOnAnotherEngineAfterACrash) {
  // The engine is killed after it received the question and before it answered. The caller has no
  // answer byte yet, and a second run is harmless: the question is retried on the other engine, and
  // the caller gets one complete answer.
  ASSERT_TRUE(engineFaults(R"({"late_ms":600000})"));
  auto Pending = std::async(std::launch::async, [this] { return System.chat(0, "a question", 3); });
  const std::size_t Busy = System.startedEngine();
  ASSERT_TRUE(System.engine(1 - Busy).faults(R"({"late_ms":0})"));
  System.engine(Busy).process().kill();
  const http_answer Answer = Pending.get();
  EXPECT_TRUE(Answer.ok()) << Answer.Error << Answer.Body;
  EXPECT_EQ(System.engine(1 - Busy).stat("starts"), 1);
}

TEST_F(IdempotentWorkTest, CompletesOnAnotherEngineAfterARefusal) {
  // One engine first declines questions and then closes its port, but still announces itself. The
  // other engine answers every question.
  ASSERT_TRUE(System.engine(0).faults(R"({"decline_next":3})"));
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry)
    EXPECT_TRUE(System.chat(Entry, "declined " + std::to_string(Entry)).ok());
  ASSERT_TRUE(System.engine(0).faults(R"({"refuse_connections":true})"));
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    const http_answer Answer = System.chat(Entry, "refused " + std::to_string(Entry));
    EXPECT_TRUE(Answer.ok()) << Answer.Body;
  }
}

// Guards against requests to an engine that has asked each entry for a pause.
TEST_F(IdempotentWorkTest, IsNotSentToAnEngineThatAskedForAPause) {
  ASSERT_TRUE(System.engine(0).faults(R"({"decline_next":1000,"pause_seconds":60})"));
  for (int Round = 0; Round < 6; ++Round)
    for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry)
      EXPECT_TRUE(System.chat(Entry, "question " + std::to_string(Round)).ok());
  EXPECT_LE(System.engine(0).stat("declined"), running_system::EntryCount);
}

TEST_F(IdempotentWorkTest, NeverGetsTheAnswerOfAnotherAttempt) {
  // Many callers ask concurrently while engines answer with the ids of other attempts, as late
  // answers on mixed-up connections do. Each caller gets the answer to its own question or a
  // definite failure, never the answer to another question.
  constexpr int Callers = 16;
  const auto Question = [](int Caller) { return "question of caller " + std::to_string(Caller); };
  std::vector<std::string> Expected;
  Expected.reserve(Callers);
  for (int Caller = 0; Caller < Callers; ++Caller)
    Expected.push_back(contentOf(System.chat(0, Question(Caller), 4)));
  ASSERT_TRUE(engineFaults(R"({"wrong_attempt_next":4})"));
  std::vector<std::future<http_answer>> Pending;
  Pending.reserve(Callers);
  for (int Caller = 0; Caller < Callers; ++Caller)
    Pending.push_back(std::async(std::launch::async, [this, Caller, &Question] {
      return System.chat(static_cast<std::size_t>(Caller) % 3, Question(Caller), 4);
    }));
  int Answered = 0;
  for (std::size_t Caller = 0; Caller < Pending.size(); ++Caller) {
    const http_answer Answer = Pending[Caller].get();
    Answered += Answer.ok() ? 1 : 0;
    EXPECT_TRUE(Answer.ok() || !outcomeOf(Answer).empty()) << Answer.Error << Answer.Body;
    if (Answer.ok()) {
      EXPECT_EQ(contentOf(Answer), Expected[Caller]) << Caller;
    }
  }
  EXPECT_GE(Answered, Callers / 2);
}

TEST_F(IdempotentWorkTest, ResumesAtTheNextEvent) {
  // The connection to the engine breaks after five events, and the engine keeps the stream. The
  // entry resumes at the sixth event, and the caller reads every event once.
  ASSERT_TRUE(engineFaults(R"({"cut_after_events":5})"));
  for (std::size_t Entry = 0; Entry < running_system::EntryCount; ++Entry) {
    const auto Events = System.stream(Entry, "cut " + std::to_string(Entry), 40)->remainingEvents();
    EXPECT_TRUE(isCompleteStream(Events)) << Events.size();
  }
}

class NonResumableStreamTest : public IdempotentWorkTest {
protected:
  NonResumableStreamTest()
      : IdempotentWorkTest(
            {.EngineTables = "[capabilities]\nresumes = false\n[step]\nbase_us = 5000\n"}) {}
};

TEST_F(NonResumableStreamTest, IsIncompleteAfterAnInterruption) {
  // These engines cannot resume. After an interruption the caller gets an error event with the
  // outcome "unknown" and an unterminated HTTP body, so that no reader accepts the partial answer.
  ASSERT_TRUE(engineFaults(R"({"cut_after_events":5})"));
  const auto Stream = System.stream(0, "cut", 40);
  const auto Events = Stream->remainingEvents();
  EXPECT_TRUE(endsInError(Events));
  EXPECT_FALSE(isCompleteStream(Events));
  EXPECT_FALSE(Stream->endedCleanly());
}

TEST_F(NonResumableStreamTest, IsIncompleteAfterAnEngineCrash) {
  // The same if the engine is killed while it sends tokens.
  const auto Stream = System.stream(1, "killed", 400);
  ASSERT_TRUE(Stream->next());
  System.engine(System.busyEngine()).process().kill();
  const auto Events = Stream->remainingEvents();
  EXPECT_TRUE(endsInError(Events));
  EXPECT_FALSE(isCompleteStream(Events));
  EXPECT_FALSE(Stream->endedCleanly());
}

TEST_F(NonResumableStreamTest, IsIncompleteAfterAnEntryCrash) {
  // The entry is killed, so no error event can be sent, but the body ends without its last chunk
  // and without a [DONE] event.
  const auto Stream = System.stream(2, "killed", 400);
  ASSERT_TRUE(Stream->next());
  System.killEntry(2);
  const auto Events = Stream->remainingEvents();
  EXPECT_TRUE(Events.empty() || Events.back().Data != "[DONE]");
  EXPECT_FALSE(Stream->endedCleanly());
}

} // namespace
} // namespace pollenstall

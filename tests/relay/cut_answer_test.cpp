/** @file cut_answer_test.cpp Answers that end after each of their bytes, in each framing and by
 * each end of their connection. */
#include "message_feed/message_feed.h"
#include "relay_harness_base.h"

#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

namespace pollenstall {
namespace {

enum class framing : std::uint8_t { Length, Chunked, Connection };
enum class ending : std::uint8_t { Close, Reset, Silence };

constexpr int EventCount = 3;

/// Returns the stream's events after the given id.
std::string eventsAfter(int Id) {
  std::string Text;
  for (int Next = Id + 1; Next <= EventCount; ++Next)
    Text += eventText(Next);
  return Text;
}

const std::string PlainBody = R"({"result": "all of it"})";

/// One answer as a backend server sends it.
struct sent_answer {
  framing Framing{framing::Connection};
  bool IsStream{true};

  [[nodiscard]] std::string body() const { return IsStream ? eventsAfter(0) : PlainBody; }
  [[nodiscard]] std::string bytes() const {
    std::string Text = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Type: ";
    Text += IsStream ? "text/event-stream\r\n" : "application/json\r\n";
    switch (Framing) {
    case framing::Length:
      return Text + "Content-Length: " + std::to_string(body().size()) + "\r\n\r\n" + body();
    case framing::Chunked:
      return Text + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody() + "0\r\n\r\n";
    default:
      return Text + "Connection: close\r\n\r\n" + body();
    }
  }

private:
  /// Chunks that end inside events, so that an event is cut between two chunks, too.
  [[nodiscard]] std::string chunkedBody() const {
    constexpr std::size_t ChunkBytes = 17;
    std::string Text;
    for (std::size_t At = 0; At < body().size(); At += ChunkBytes)
      Text += chunkOf(body().substr(At, ChunkBytes));
    return Text;
  }
};

/// What a caller has read, by the framing of the answer that it received.
struct read_answer {
  bool IsWhole{false};
  bool IsError{false};
  std::string Body;
};

read_answer readByCaller(const std::string &Bytes) {
  message_feed<false> Feed(1U << 16U);
  const bool Valid = Feed.feed(Bytes);
  EXPECT_TRUE(Valid && !(Feed.done() && Feed.hasRemainder())) << Bytes;
  if (!Feed.headDone())
    return {};
  constexpr unsigned FirstServerError = 500;
  const bool IsError = Feed.message().get().result_int() >= FirstServerError;
  return {Feed.done() && !IsError, IsError, Feed.body()};
}

/// Sends the first bytes of an answer, then ends the connection.
class cutting_server {
public:
  explicit cutting_server(const sent_answer &Answer, ending End)
      : Bytes(Answer.bytes()), Server([this, End](auto &Socket, const received_request &) {
          sendText(Socket, Bytes.substr(0, Cut));
          if (End == ending::Reset)
            resetConnection(Socket);
          if (End == ending::Silence)
            waitForClose(Socket);
        }) {}

  void cutAfter(std::size_t Count) { Cut = Count; }
  [[nodiscard]] const scripted_server &server() const { return Server; }

private:
  std::string Bytes;
  std::atomic<std::size_t> Cut{0};
  scripted_server Server;
};

/// Sends the rest of the stream, after the event that the request names.
scripted_server::script continuation() {
  return [](auto &Socket, const received_request &Request) {
    const std::string Key = "X-After: ";
    const std::size_t At = Request.Head.find(Key);
    const int After = std::stoi(Request.Head.substr(At + Key.size()));
    // The server closes behind each answer; the relay must not keep the connection for the next
    // one.
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Type: text/event-stream\r\n"
                     "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
                         chunkOf(eventsAfter(After)) + "0\r\n\r\n");
  };
}

/// Number of cuts and of those after which the caller was told something wrong.
struct cut_count {
  std::size_t Cuts{0};
  std::set<std::size_t> Wrong;
};

/// Nothing distinguishes the end of a plain answer from a cut if the server states neither a length
/// nor chunks and closes its connection; nor a stream's end from a cut between two events.
bool isIndistinguishable(const sent_answer &Answer, ending End, std::size_t Cut) {
  if (Answer.Framing != framing::Connection || End != ending::Close)
    return false;
  const std::string Sent = Answer.bytes().substr(0, Cut);
  const std::size_t HeadEnd = Sent.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return false;
  return !Answer.IsStream || (HeadEnd + 4 < Sent.size() && Sent.ends_with("\n\n"));
}

cut_count cutEverywhere(const sent_answer &Answer, ending End) {
  cutting_server Server(Answer, End);
  relay_harness Relay(retry_mode::Never);
  cut_count Count;
  for (std::size_t Cut = 0; Cut < Answer.bytes().size(); ++Cut) {
    if (isIndistinguishable(Answer, End, Cut))
      continue;
    Server.cutAfter(Cut);
    Relay.call("p");
    Relay.start(Server.server(), 1, false);
    Relay.finishAfterAttempt();
    ++Count.Cuts;
    if (readByCaller(Relay.answer()).IsWhole)
      Count.Wrong.insert(Cut);
  }
  return Count;
}

class answer_cut_at_each_byte : public testing::TestWithParam<std::tuple<framing, bool, ending>> {};

// A caller takes half of an answer for the whole one.
TEST_P(answer_cut_at_each_byte, IsNeverToldAsWhole) {
  const auto [Framing, IsStream, End] = GetParam();
  const cut_count Count = cutEverywhere({Framing, IsStream}, End);
  EXPECT_GT(Count.Cuts, 0U);
  EXPECT_EQ(Count.Wrong, std::set<std::size_t>{}) << Count.Wrong.size() << " of " << Count.Cuts;
}

INSTANTIATE_TEST_SUITE_P(
    AllFramingsAndEnds, answer_cut_at_each_byte,
    testing::Combine(testing::Values(framing::Length, framing::Chunked, framing::Connection),
                     testing::Bool(), testing::Values(ending::Close, ending::Reset)));

class answer_that_is_not_cut : public testing::TestWithParam<std::tuple<framing, bool>> {};

// A check against cuts refuses a sound answer.
TEST_P(answer_that_is_not_cut, IsToldAsWhole) {
  const auto [Framing, IsStream] = GetParam();
  const sent_answer Answer{Framing, IsStream};
  cutting_server Server(Answer, ending::Close);
  Server.cutAfter(Answer.bytes().size());
  relay_harness Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Server.server(), 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const read_answer Read = readByCaller(Relay.answer());
  EXPECT_TRUE(Read.IsWhole);
  EXPECT_EQ(Read.Body, Answer.body());
}

INSTANTIATE_TEST_SUITE_P(AllFramings, answer_that_is_not_cut,
                         testing::Combine(testing::Values(framing::Length, framing::Chunked,
                                                          framing::Connection),
                                          testing::Bool()));

class stream_cut_at_each_byte : public testing::TestWithParam<std::tuple<framing, ending>> {};

// Another engine continues a broken stream, and an event is lost, repeated or joined from two
// halves.
TEST_P(stream_cut_at_each_byte, GoesOnElsewhereWithEachEventOnce) {
  const auto [Framing, End] = GetParam();
  const sent_answer Answer{Framing, true};
  cutting_server Server(Answer, End);
  const scripted_server Continuation(continuation());
  relay_harness Relay(retry_mode::Resume);
  std::size_t Resumed = 0;
  for (std::size_t Cut = 0; Cut < Answer.bytes().size(); ++Cut) {
    if (isIndistinguishable(Answer, End, Cut))
      continue;
    Server.cutAfter(Cut);
    Relay.call("p");
    Relay.start(Server.server(), 1);
    if (Relay.nextAttemptEnd()) {
      ++Resumed;
      Relay.start(Continuation, 2);
      EXPECT_FALSE(Relay.nextAttemptEnd()) << Cut;
    }
    Relay.finish(final_outcome::Complete, failure_reason::None);
    const read_answer Read = readByCaller(Relay.answer());
    EXPECT_TRUE(Read.IsWhole) << Cut;
    EXPECT_EQ(Read.Body, Answer.body()) << Cut;
  }
  EXPECT_GT(Resumed, 0U);
}

INSTANTIATE_TEST_SUITE_P(AllFramings, stream_cut_at_each_byte,
                         testing::Combine(testing::Values(framing::Length, framing::Chunked,
                                                          framing::Connection),
                                          testing::Values(ending::Close, ending::Reset)));

// An engine without power neither closes nor resets: only its silence shows it.
TEST(StreamThatFallsSilent, GoesOnElsewhereWithEachEventOnce) {
  const sent_answer Answer{framing::Connection, true};
  const std::size_t First = Answer.bytes().find(eventText(2));
  const std::size_t Last = Answer.bytes().size();
  std::vector<std::thread> Threads;
  constexpr std::size_t ThreadCount = 8;
  for (std::size_t Offset = 0; Offset < ThreadCount; ++Offset)
    Threads.emplace_back([&, Offset] {
      cutting_server Server(Answer, ending::Silence);
      const scripted_server Continuation(continuation());
      relay_harness Relay(retry_mode::Resume);
      for (std::size_t Cut = First + Offset; Cut < Last; Cut += ThreadCount) {
        Server.cutAfter(Cut);
        Relay.call("p");
        Relay.start(Server.server(), 1);
        Relay.next<attempt_silent>();
        Relay.start(Continuation, 2);
        EXPECT_EQ(Relay.next<attempt_completed>().Attempt.Ordinal, 2U) << Cut;
        Relay.finish(final_outcome::Complete, failure_reason::None);
        Relay.cancel(Server.server(), 1);
        const read_answer Read = readByCaller(Relay.answer());
        EXPECT_TRUE(Read.IsWhole) << Cut;
        EXPECT_EQ(Read.Body, Answer.body()) << Cut;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
}

// A resumed run is cut as well: its half event must meet neither the first run's nor the third's.
TEST(StreamCutTwice, GoesOnElsewhereWithEachEventOnce) {
  const auto HalfEvent = [](int Id) { return eventText(Id).substr(0, eventText(Id).size() / 2); };
  const std::string Head =
      "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Type: text/event-stream\r\n\r\n";
  const scripted_server FirstServer([&](auto &Socket, const received_request &) {
    sendText(Socket, Head + eventText(1) + HalfEvent(2));
  });
  const scripted_server SecondServer([&](auto &Socket, const received_request &) {
    sendText(Socket, Head + eventText(2) + HalfEvent(3));
  });
  const scripted_server Continuation(continuation());
  relay_harness Relay(retry_mode::Resume);
  Relay.call("p");
  Relay.start(FirstServer, 1);
  ASSERT_TRUE(Relay.nextAttemptEnd());
  Relay.start(SecondServer, 2);
  ASSERT_TRUE(Relay.nextAttemptEnd());
  Relay.start(Continuation, 3);
  ASSERT_FALSE(Relay.nextAttemptEnd());
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const read_answer Read = readByCaller(Relay.answer());
  EXPECT_TRUE(Read.IsWhole);
  EXPECT_EQ(Read.Body, eventsAfter(0));
}

/// Returns how an attempt fails whose server sends these bytes and closes.
attempt_failure failureOf(const std::string &Bytes) {
  const scripted_server Server(
      [&Bytes](auto &Socket, const received_request &) { sendText(Socket, Bytes); });
  relay_harness Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Server, 1, false);
  const attempt_failure Failure = Relay.next<attempt_failed>().Failure;
  Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
  EXPECT_FALSE(readByCaller(Relay.answer()).IsWhole);
  return Failure;
}

// Two lengths, or a length beside chunks: which part of the bytes is the answer is not known.
TEST(AnswerWithTwoFramings, IsNotRelayed) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 4\r\n";
  EXPECT_EQ(failureOf(Head + "Content-Length: 5\r\n\r\nall!!"), attempt_failure::BadAnswer);
  EXPECT_EQ(failureOf(Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nall!\r\n0\r\n\r\n"),
            attempt_failure::BadAnswer);
}

// The connection breaks between an interim answer and the final one.
TEST(AnswerAfterAnInterimOne, IsMissingIfTheServerCloses) {
  EXPECT_EQ(failureOf("HTTP/1.1 103 Early Hints\r\n\r\n"), attempt_failure::BrokenSent);
}

// The head of a stream without its body, or a status that has none: chunks after it would be read
// as the start of the next answer.
TEST(StreamWithoutABody, EndsWithItsHead) {
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 204 No Content\r\nX-Send: s1\r\nContent-Type: text/event-stream\r\n"
                     "\r\n");
  });
  relay_harness Relay(retry_mode::Never);
  Relay.call("p");
  Relay.start(Server, 1, false);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  const std::string Answer = Relay.answer();
  EXPECT_EQ(Answer.find("\r\n\r\n") + 4, Answer.size()) << Answer;
  EXPECT_EQ(Answer.find("chunked"), std::string::npos) << Answer;
}

} // namespace
} // namespace pollenstall

/** @file silent_stream_test.cpp Streams of servers, and of an entry, that stand still for a moment.
 */
#include "relay/message_feed_base.h"
#include "relay_harness_base.h"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace pollenstall {
namespace {

using std::chrono::milliseconds;

constexpr int EventCount = 6;
/// Longer than the time after which the relay reports the silence of a stream.
constexpr milliseconds LongPause{1'200};

/// Returns the events from First to Last.
std::string events(int First, int Last = EventCount) {
  std::string Text;
  for (int Id = First; Id <= Last; ++Id)
    Text += eventText(Id);
  return Text;
}

int lastEventOf(const received_request &Request) {
  const std::string Key = "X-After: ";
  return std::stoi(Request.Head.substr(Request.Head.find(Key) + Key.size()));
}

/// Continues the stream behind the event that the request names, with a pause before one event.
class pausing_server {
public:
  pausing_server(int PauseBefore, milliseconds Pause)
      : Server([=](auto &Socket, const received_request &Request) {
          sendText(Socket, streamHead());
          for (int Id = lastEventOf(Request) + 1; Id <= EventCount + 1; ++Id) {
            if (Id == PauseBefore)
              std::this_thread::sleep_for(Pause);
            sendText(Socket, Id <= EventCount ? chunkOf(eventText(Id)) : "0\r\n\r\n");
          }
        }) {}
  [[nodiscard]] const scripted_server &server() const { return Server; }

private:
  scripted_server Server;
};

/// What a caller has read.
struct read_answer {
  bool IsWhole{false};
  std::string Body;
};

read_answer readByCaller(const std::string &Bytes) {
  message_feed<false> Feed(1U << 16U);
  EXPECT_TRUE(Feed.feed(Bytes) && !(Feed.done() && Feed.hasRemainder())) << Bytes;
  return {Feed.done(), Feed.body()};
}

void expectWholeAnswer(relay_harness &Relay) {
  const read_answer Read = readByCaller(Relay.answer());
  EXPECT_TRUE(Read.IsWhole);
  EXPECT_EQ(Read.Body, events(1));
}

/// Waits for the end of the attempt that answers. @return Its ordinal; nothing if an attempt
/// failed.
std::optional<std::uint32_t> completedAttempt(relay_harness &Relay) {
  while (true) {
    const dispatch_event Event = Relay.next();
    if (const auto *Completed = std::get_if<attempt_completed>(&Event))
      return Completed->Attempt.Ordinal;
    if (std::holds_alternative<attempt_failed>(Event))
      return std::nullopt;
  }
}

// The stream of a sound engine is cut while the engine stands still for a second.
TEST(StreamOfAPausedServer, GoesOnWhenTheServerDoes) {
  const pausing_server Server(3, LongPause);
  relay_harness Relay;
  Relay.call("p");
  Relay.start(Server.server(), 1);
  EXPECT_EQ(completedAttempt(Relay), 1U);
  Relay.finish(final_outcome::Complete, failure_reason::None);
  expectWholeAnswer(Relay);
}

// The whole machine stands still, and this entry wakes first: its deadlines have passed, and the
// server has had no time to go on.
TEST(StreamOfAPausedMachine, GoesOnAtTheSameServer) {
  const pausing_server Server(3, LongPause + milliseconds(200));
  relay_harness Relay;
  Relay.call("p");
  Relay.start(Server.server(), 1);
  Relay.next<attempt_answering>();
  {
    const relay_pause Pause(Relay);
    std::this_thread::sleep_for(LongPause);
  }
  EXPECT_EQ(completedAttempt(Relay), 1U);
  Relay.finish(final_outcome::Complete, failure_reason::None);
  expectWholeAnswer(Relay);
}

} // namespace
} // namespace pollenstall

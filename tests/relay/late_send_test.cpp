/** @file late_send_test.cpp Callers that disconnect, or whose deadline passes, before the entry
 * sends the first byte of their request to a backend server. */
#include "relay_harness_base.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace pollenstall {
namespace {

const std::string HoldConfirmedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr tokens Amount{5'000};

/// The attempt waits for an engine's answer about memory, and the decision thread, which would
/// cancel the attempt, is delayed.
struct request_waiting_for_memory : testing::Test {
  void callWithHold(relay_harness &Relay, const std::string &MoreHeaders = {}) {
    Relay.call("p", MoreHeaders);
    Relay.start(AnsweringServer, 1, true, {{HoldingServer.key(), Amount}});
    HoldRequested.get_future().wait();
  }

  std::promise<void> HoldRequested;
  std::promise<void> MayAnswer;
  const scripted_server HoldingServer{[this](auto &Socket, const received_request &Request) {
    if (Request.Head.find("/hold/") != std::string::npos) {
      HoldRequested.set_value();
      MayAnswer.get_future().wait();
    }
    sendText(Socket, HoldConfirmedAnswer);
  }};
  const scripted_server AnsweringServer{[](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  }};
};

// Guards against sending a request to an engine after its caller has disconnected.
TEST_F(request_waiting_for_memory, IsNotSentAfterItsCallerHasDisconnected) {
  relay_harness Relay;
  callWithHold(Relay);
  Relay.hangUp();
  Relay.next<caller_left>();
  MayAnswer.set_value();
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_TRUE(AnsweringServer.requests().empty());
}

// Guards against sending a request to an engine after its deadline.
TEST_F(request_waiting_for_memory, IsNotSentAfterItsDeadline) {
  relay_harness Relay;
  callWithHold(Relay, "X-Time: 40\r\n");
  std::this_thread::sleep_until(Relay.Facts.Deadline);
  MayAnswer.set_value();
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_TRUE(AnsweringServer.requests().empty());
}

// Guards against holding memory for a caller that has disconnected.
TEST_F(request_waiting_for_memory, AsksNoFurtherEngineAfterItsCallerHasDisconnected) {
  const scripted_server Second(
      [](auto &Socket, const received_request &) { sendText(Socket, HoldConfirmedAnswer); });
  relay_harness Relay;
  Relay.call("p");
  Relay.start(AnsweringServer, 1, true, {{HoldingServer.key(), Amount}, {Second.key(), Amount}});
  HoldRequested.get_future().wait();
  Relay.hangUp();
  Relay.next<caller_left>();
  MayAnswer.set_value();
  Relay.next<attempt_failed>();
  for (const received_request &Request : Second.requests())
    EXPECT_EQ(Request.Head.find("/hold/"), std::string::npos) << Request.Head;
}

/// Two requests on one pooled connection to a server; the second one needs no new connection.
struct request_on_a_pooled_connection : testing::Test {
  const std::string Ok = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok";
  std::promise<bool> ReceivedMore;
  const scripted_server Server{[this](auto &Socket, const received_request &) {
    sendText(Socket, Ok);
    char Byte = 0;
    boost::system::error_code Code;
    const std::size_t Received = Socket.read_some(boost::asio::buffer(&Byte, 1), Code);
    ReceivedMore.set_value(Received > 0);
  }};
};

// Guards against sending a request although the close of its caller's connection has already
// arrived and only needs to be processed.
TEST_F(request_on_a_pooled_connection, IsNotSentIfItsCallersCloseIsUnprocessed) {
  relay_harness Relay;
  Relay.call("p");
  Relay.start(Server, 1);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.call("p");
  Relay.hangUpAndStart(Server);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  Relay.stop();
  EXPECT_FALSE(ReceivedMore.get_future().get());
}

} // namespace
} // namespace pollenstall

/** @file late_send_test.cpp Callers that leave, or whose time runs out, before the first byte of
 * their request is sent. */
#include "headed_relay_base.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace pollenstall {
namespace {

const std::string Held = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr tokens Amount{5'000};

/// The attempt waits for an engine that is asked for memory; the decision thread, which would
/// cancel it, is behind.
struct request_that_waits_for_memory : testing::Test {
  void callWithHold(headed_relay &Relay, const std::string &MoreHeaders = {}) {
    Relay.call("p", MoreHeaders);
    Relay.start(Writer, 1, true, {{Keeper.key(), Amount}});
    Asked.get_future().wait();
  }

  std::promise<void> Asked;
  std::promise<void> MayAnswer;
  const scripted_server Keeper{[this](auto &Socket, const received_request &Request) {
    if (Request.Head.find("/hold/") != std::string::npos) {
      Asked.set_value();
      MayAnswer.get_future().wait();
    }
    sendText(Socket, Held);
  }};
  const scripted_server Writer{[](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  }};
};

// Guards against a request that is sent to an engine after its caller has left.
TEST_F(request_that_waits_for_memory, IsNotSentOnceItsCallerHasLeft) {
  headed_relay Relay;
  callWithHold(Relay);
  Relay.hangUp();
  Relay.next<caller_left>();
  MayAnswer.set_value();
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_TRUE(Writer.requests().empty());
}

// Guards against a request that is sent to an engine after its deadline.
TEST_F(request_that_waits_for_memory, IsNotSentOnceItsDeadlineHasPassed) {
  headed_relay Relay;
  callWithHold(Relay, "X-Time: 40\r\n");
  std::this_thread::sleep_until(Relay.Facts.Deadline);
  MayAnswer.set_value();
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_TRUE(Writer.requests().empty());
}

// Guards against memory that is set aside for a caller who has left.
TEST_F(request_that_waits_for_memory, AsksNoFurtherEngineOnceItsCallerHasLeft) {
  const scripted_server Second(
      [](auto &Socket, const received_request &) { sendText(Socket, Held); });
  headed_relay Relay;
  Relay.call("p");
  Relay.start(Writer, 1, true, {{Keeper.key(), Amount}, {Second.key(), Amount}});
  Asked.get_future().wait();
  Relay.hangUp();
  Relay.next<caller_left>();
  MayAnswer.set_value();
  Relay.next<attempt_failed>();
  for (const received_request &Request : Second.requests())
    EXPECT_EQ(Request.Head.find("/hold/"), std::string::npos) << Request.Head;
}

/// Two requests on one kept connection to a server; the second one waits for no connection.
struct request_on_a_kept_connection : testing::Test {
  const std::string Ok = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok";
  std::promise<bool> MoreCame;
  const scripted_server Server{[this](auto &Socket, const received_request &) {
    sendText(Socket, Ok);
    char Byte = 0;
    boost::system::error_code Code;
    const std::size_t Got = Socket.read_some(boost::asio::buffer(&Byte, 1), Code);
    MoreCame.set_value(Got > 0);
  }};
};

// Guards against a request that is sent though the close of its caller's connection has arrived and
// only waits to be looked at.
TEST_F(request_on_a_kept_connection, IsNotSentOnceItsCallersCloseHasArrived) {
  headed_relay Relay;
  Relay.call("p");
  Relay.start(Server, 1);
  Relay.next<attempt_completed>();
  Relay.finish(final_outcome::Complete, failure_reason::None);
  EXPECT_FALSE(Relay.answer().empty());
  Relay.call("p");
  Relay.hangUpAndStart(Server);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  Relay.stop();
  EXPECT_FALSE(MoreCame.get_future().get());
}

} // namespace
} // namespace pollenstall

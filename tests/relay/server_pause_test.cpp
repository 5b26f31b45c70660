/** @file server_pause_test.cpp Requests that are under way when their server asks for a pause. */
#include "relay_harness_base.h"

#include <gtest/gtest.h>

#include <future>

namespace pollenstall {
namespace {

/// A server that turns requests away and asks for a pause.
struct server_that_asks_for_a_pause : testing::Test {
  const scripted_server Server{[](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 503 Busy\r\nX-Send: s1\r\nX-Not-Run: 1\r\nRetry-After: 30\r\n"
                     "Content-Length: 0\r\n\r\n");
  }};
  relay_harness Relay;

  void SetUp() override {
    Relay.call("p");
    Relay.start(Server);
    ASSERT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::Declined);
  }
};

// Guards against requests that the decision thread had placed before it learnt of the pause.
TEST_F(server_that_asks_for_a_pause, GetsNoRequestThatWasPlacedBefore) {
  Relay.start(Server, 2);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_EQ(Server.requests().size(), 1U);
}

// Guards against requests to a sound server for which the paused one is to hold memory.
TEST_F(server_that_asks_for_a_pause, IsNotAskedToHoldMemory) {
  const scripted_server Other([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  Relay.start(Other, 2, true, {{Server.key(), tokens(5'000)}});
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_EQ(Server.requests().size(), 1U);
  EXPECT_TRUE(Other.requests().empty());
}

TEST_F(server_that_asks_for_a_pause, DoesNotHoldRequestsToOthersBack) {
  const scripted_server Other([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  Relay.start(Other, 2);
  Relay.next<attempt_completed>();
  EXPECT_EQ(Other.requests().size(), 1U);
}

} // namespace
} // namespace pollenstall

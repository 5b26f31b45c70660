/** @file crash_watch_test.cpp Servers that end under a request, and requests that are suspected of
 * it. */
#include "headed_relay_base.h"

#include <boost/asio/read_until.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Ends with the first request that it reads: its port is closed and the connection is reset.
class ending_server {
public:
  ending_server() : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Key = {backend_address("127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port())),
           incarnation(7)};
    Thread = std::thread([this] { serve(); });
  }
  ~ending_server() { Thread.join(); }
  ending_server(const ending_server &) = delete;
  ending_server &operator=(const ending_server &) = delete;

  [[nodiscard]] const backend_key &key() const { return Key; }

private:
  void serve() {
    boost::system::error_code Ignored;
    tcp::socket Socket = Acceptor.accept();
    std::string Bytes;
    asio::read_until(Socket, asio::dynamic_buffer(Bytes), "\r\n\r\n", Ignored);
    Acceptor.close(Ignored);
    resetConnection(Socket);
  }

  asio::io_context Io;
  tcp::acceptor Acceptor;
  backend_key Key;
  std::thread Thread;
};

struct request_on_a_server_that_ends : testing::Test {
  /// @return The mark under which the end of a server is reported.
  request_fingerprint crashOnce() {
    const ending_server Server;
    Relay.call("the prompt");
    Relay.start(Server.key());
    const crash_report Crash = std::get<crash_report>(Relay.nextNews());
    EXPECT_EQ(Crash.Backend, Server.key());
    EXPECT_EQ(Crash.Fingerprints.size(), 1U);
    Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
    (void)Relay.answer();
    return Crash.Fingerprints.at(0);
  }
  void suspect(const request_fingerprint &Mark, std::chrono::milliseconds BlockedFor) {
    Relay.order(suspects_known{std::make_shared<const suspect_list>(
        std::vector<published_suspect>{{Mark, BlockedFor}}, boot_clock::now())});
  }

  headed_relay Relay;
};

TEST_F(request_on_a_server_that_ends, IsReportedUnderTheSameMarkEachTime) {
  EXPECT_EQ(crashOnce(), crashOnce());
}

// Guards against a connection that breaks on its way being taken for a server's end.
TEST_F(request_on_a_server_that_ends, IsNotReportedWhereTheServerStillListens) {
  const scripted_server Resets(
      [](auto &Socket, const received_request &) { resetConnection(Socket); });
  Relay.call("the prompt");
  Relay.start(Resets);
  Relay.next<attempt_failed>();
  Relay.settle();
  EXPECT_FALSE(Relay.hasNews());
}

// Guards against a blocked request that is sent on, and against an answer that makes a client send
// it again at once.
TEST_F(request_on_a_server_that_ends, IsRefusedAsNotRunOnceItIsBlocked) {
  suspect(crashOnce(), std::chrono::seconds(60));
  Relay.send("the prompt");
  const std::string Answer = Relay.answer();
  EXPECT_TRUE(Answer.starts_with("HTTP/1.1 503 ")) << Answer;
  EXPECT_NE(Answer.find("\"request_crashes_servers\""), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("X-Pollenstall-Outcome: not-run"), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("Retry-After: 60"), std::string::npos) << Answer;
  EXPECT_NE(Answer.find("X-Should-Retry: false"), std::string::npos) << Answer;
  Relay.call("another prompt");
  Relay.finish(final_outcome::NotRun, failure_reason::QueueFull);
}

// Guards against a request that waited for a place when it was blocked.
TEST_F(request_on_a_server_that_ends, IsNotSentWhereItIsBlockedBeforeItsAttempt) {
  const request_fingerprint Mark = crashOnce();
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  Relay.call("the prompt");
  suspect(Mark, std::chrono::seconds(60));
  Relay.start(Server);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_TRUE(Server.requests().empty());
}

// Guards against an innocent request that stays suspected.
TEST_F(request_on_a_server_that_ends, IsToldToHaveEndedWellWhereItIsWatched) {
  const request_fingerprint Mark = crashOnce();
  suspect(Mark, std::chrono::milliseconds(0));
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)) + "0\r\n\r\n");
  });
  Relay.call("the prompt");
  Relay.start(Server);
  Relay.next<attempt_completed>();
  EXPECT_EQ(std::get<suspect_cleared>(Relay.nextNews()).Fingerprint, Mark);
  Relay.finish(final_outcome::Complete, failure_reason::None);
}

} // namespace
} // namespace pollenstall

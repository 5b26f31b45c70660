/** @file crash_detector_test.cpp Servers that crash while running a request, and requests suspected
 * of causing the crash. */
#include "relay_harness_base.h"

#include <boost/asio/read_until.hpp>
#include <gtest/gtest.h>

namespace pollenstall {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Ends after reading its first request: closes its port and resets the connection.
class crashing_server {
public:
  crashing_server() : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Key = {backend_address("127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port())),
           incarnation(7)};
    Thread = std::thread([this] { serve(); });
  }
  ~crashing_server() { Thread.join(); }
  crashing_server(const crashing_server &) = delete;
  crashing_server &operator=(const crashing_server &) = delete;

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

struct request_on_a_crashing_server : testing::Test {
  /// Returns the fingerprint reported with the crash.
  request_fingerprint crashOnce() {
    const crashing_server Server;
    Relay.call("the prompt");
    Relay.start(Server.key());
    const crash_report Crash = std::get<crash_report>(Relay.nextCrashUpdate());
    EXPECT_EQ(Crash.Backend, Server.key());
    EXPECT_EQ(Crash.Fingerprints.size(), 1U);
    Relay.finish(final_outcome::Unknown, failure_reason::BackendFailed);
    (void)Relay.answer();
    return Crash.Fingerprints.at(0);
  }
  /// Puts a request on the suspect list. @param BlockedFor 0: suspected, but not blocked.
  void publishSuspect(const request_fingerprint &CrashFingerprint,
                      std::chrono::milliseconds BlockedFor) {
    Relay.order(suspects_update{std::make_shared<const suspect_list>(
        std::vector<published_suspect>{{CrashFingerprint, BlockedFor}}, boot_clock::now())});
  }

  relay_harness Relay;
};

TEST_F(request_on_a_crashing_server, IsReportedWithTheSameFingerprintEachTime) {
  EXPECT_EQ(crashOnce(), crashOnce());
}

// Guards against treating a connection that broke in the network as a server crash.
TEST_F(request_on_a_crashing_server, IsNotReportedIfTheServerStillListens) {
  const scripted_server Resets(
      [](auto &Socket, const received_request &) { resetConnection(Socket); });
  Relay.call("the prompt");
  Relay.start(Resets);
  Relay.next<attempt_failed>();
  Relay.settle();
  EXPECT_FALSE(Relay.hasCrashUpdate());
}

// Guards against forwarding a blocked request, and against an answer that makes a client retry it
// immediately.
TEST_F(request_on_a_crashing_server, IsRefusedAsNotRunOnceItIsBlocked) {
  publishSuspect(crashOnce(), std::chrono::seconds(60));
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

// Guards against sending a request that was blocked while it waited in the queue.
TEST_F(request_on_a_crashing_server, IsNotSentIfItIsBlockedBeforeItsAttempt) {
  const request_fingerprint CrashFingerprint = crashOnce();
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Length: 2\r\n\r\nok");
  });
  Relay.call("the prompt");
  publishSuspect(CrashFingerprint, std::chrono::seconds(60));
  Relay.start(Server);
  EXPECT_EQ(Relay.next<attempt_failed>().Failure, attempt_failure::NotWanted);
  EXPECT_TRUE(Server.requests().empty());
}

// Guards against an innocent request that stays suspected.
TEST_F(request_on_a_crashing_server, IsReportedAsClearedIfItWasSuspected) {
  const request_fingerprint CrashFingerprint = crashOnce();
  publishSuspect(CrashFingerprint, std::chrono::milliseconds(0));
  const scripted_server Server([](auto &Socket, const received_request &) {
    sendText(Socket, streamHead() + chunkOf(eventText(1)) + "0\r\n\r\n");
  });
  Relay.call("the prompt");
  Relay.start(Server);
  Relay.next<attempt_completed>();
  EXPECT_EQ(std::get<suspect_cleared>(Relay.nextCrashUpdate()).Fingerprint, CrashFingerprint);
  Relay.finish(final_outcome::Complete, failure_reason::None);
}

} // namespace
} // namespace pollenstall

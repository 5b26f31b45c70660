/** @file endless_answer_test.cpp Answers that go on without end. */
#include "relay_harness_base.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <fstream>

namespace pollenstall {
namespace {

using std::chrono::seconds;

/// @return Bytes of physical memory that this process uses.
std::size_t residentBytes() {
  constexpr std::size_t PageBytes = 4096;
  std::ifstream Statistics("/proc/self/statm");
  std::size_t Pages = 0;
  Statistics >> Pages >> Pages;
  return Pages * PageBytes;
}

struct endless_answer {
  std::string Name;
  std::string Begin;
  std::string Part; ///< Repeated until the connection is closed.
};

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Type: text/event-stream\r\n";
const std::string Filler(16'000, 'x');

class an_endless_answer : public testing::TestWithParam<endless_answer> {
protected:
  /// Sends without end, but not longer than the test waits.
  void sendAnswer(scripted_server::tcp_socket &Socket) {
    constexpr std::size_t MaxParts = 200'000;
    sendText(Socket, GetParam().Begin);
    boost::system::error_code Code;
    for (std::size_t Part = 0; Part < MaxParts && !Code; ++Part)
      SentBytes += boost::asio::write(Socket, boost::asio::buffer(GetParam().Part), Code);
  }

  std::atomic<std::size_t> SentBytes{0};
  const scripted_server Server{
      [this](auto &Socket, const received_request &) { sendAnswer(Socket); }};
};

std::string nameOf(const testing::TestParamInfo<endless_answer> &Answer) {
  return Answer.param.Name;
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, an_endless_answer,
    testing::Values(
        endless_answer{"NoHttp", "", Filler},
        endless_answer{"HeadLine", "HTTP/1.1 200 OK\r\nX-Long: ", Filler},
        endless_answer{"HeadLines", "HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n"},
        endless_answer{"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_answer{"EventWithoutEnd", StreamHead + "Connection: close\r\n\r\ndata: ", Filler},
        endless_answer{"EventInChunks", StreamHead + "Transfer-Encoding: chunked\r\n\r\n",
                       chunkOf(Filler)},
        endless_answer{"ChunkHeader",
                       StreamHead + "Transfer-Encoding: chunked\r\n\r\n5;x=", Filler}),
    nameOf);

// Guards against servers that send bytes which are no answer until the entry closes: they would
// take the request's whole time, and the entry's memory.
TEST_P(an_endless_answer, IsEndedSoonAndKeepsNoMemory) {
  constexpr std::size_t MaxGrowth = 8U << 20U;
  const std::size_t Before = residentBytes();
  relay_limits Limits;
  relay_harness Relay(retry_mode::Resume, Limits);
  Relay.call("p");
  const auto Started = std::chrono::steady_clock::now();
  Relay.start(Server);
  const attempt_failed Failed = Relay.next<attempt_failed>();
  EXPECT_LT(std::chrono::steady_clock::now() - Started, seconds(2));
  EXPECT_TRUE(Failed.Failure == attempt_failure::BadAnswer ||
              Failed.Failure == attempt_failure::BrokenSent);
  EXPECT_LT(residentBytes(), Before + MaxGrowth);
}

} // namespace
} // namespace pollenstall

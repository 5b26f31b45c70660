/** @file unread_upload_test.cpp Answers that arrive, whole or cut, while the request's body is
 * still being written. */
#include "message_feed/message_feed.h"
#include "support/eventually_func.h"
#include "support/free_address_func.h"
#include "tunnel_entry_base.h"

#include <gtest/gtest.h>

#include <atomic>

namespace pollenstall {
namespace {

enum class way : std::uint8_t { Direct, ThroughPeer };
enum class framing : std::uint8_t { Length, Chunked, Connection };
/// How the server ends the connection, of which it has read the head only.
enum class ending : std::uint8_t {
  Reset,
  CloseUnread,  ///< The kernel resets, since input is unread.
  EndThenReset, ///< The server ends its sending side first.
};
/// When the server ends the connection.
enum class moment : std::uint8_t {
  AtOnce,            ///< Together with its answer.
  OnceTheWriteWaits, ///< After its answer, once nothing more of the upload can be written.
  Later,             ///< 100 ms after its answer.
  Unnoticed,         ///< Together with its answer, while the relay that writes stands still.
};

/// More than the buffers of both kernels take while the server reads nothing.
constexpr std::size_t UploadBytes = 3U << 20U;

/// An entry, a server that reads no body, and a peer that carries the entry's connections if the
/// way says so.
struct an_unread_upload {
  an_unread_upload(way Way, retry_mode Mode, std::string SentBytes, ending EndOfConnection,
                   moment EndsWhen)
      : Bytes(std::move(SentBytes)), End(EndOfConnection), When(EndsWhen),
        Entry(Addresses[0], {}, Mode), Peer(Addresses[1]),
        Writer(Way == way::Direct ? Entry.Relay : Peer.Relay) {
    for (tunnel_entry *Each : {&Entry, &Peer})
      Each->know(Addresses, {Server.key()});
    if (Way == way::ThroughPeer)
      Entry.Effect = partition_effect::Refusal;
  }

  void serve(scripted_server::tcp_socket &Socket) {
    if (When == moment::Unnoticed) {
      waitUntilFull(Socket);
      Stage = stage::Full;
      EXPECT_TRUE(eventually([this] { return Stage == stage::Paused; }));
    }
    sendText(Socket, Bytes);
    boost::system::error_code Ignored;
    if (End == ending::EndThenReset)
      Socket.shutdown(boost::asio::socket_base::shutdown_send, Ignored);
    if (When == moment::OnceTheWriteWaits)
      waitUntilFull(Socket);
    if (When == moment::Later)
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    if (End == ending::CloseUnread)
      Socket.close(Ignored);
    else
      resetConnection(Socket);
    Stage = stage::Ended;
  }

  /// Stops the relay that writes to the server from before the server answers until it has ended
  /// the connection.
  void pauseWriter() {
    EXPECT_TRUE(eventually([this] { return Stage == stage::Full; }));
    const relay_pause Pause(Writer);
    Stage = stage::Paused;
    EXPECT_TRUE(eventually([this] { return Stage == stage::Ended; }));
  }

  /// Sends a request whose only attempt goes to the server. @return The caller's answer.
  std::string answer() {
    relay_harness &Relay = Entry.Relay;
    Relay.call(std::string(UploadBytes, 'x'));
    Relay.start(Server, 1, false);
    if (When == moment::Unnoticed)
      pauseWriter();
    Relay.finishAfterAttempt();
    return Relay.answer();
  }

  /// How far the server is with a request.
  enum class stage : std::uint8_t { Begun, Full, Paused, Ended };

  const std::string Bytes;
  const ending End;
  const moment When;
  std::atomic<stage> Stage{stage::Begun};
  const std::vector<std::string> Addresses = freeTcpAddresses(2);
  const scripted_server Server{[this](auto &Socket, const received_request &) { serve(Socket); },
                               request_reading::HeadOnly};
  tunnel_entry Entry;
  tunnel_entry Peer;
  relay_harness &Writer; ///< Writes the upload to the server.
};

/// Status and body of a complete answer; status 0 if it is not complete.
struct read_answer {
  unsigned Status{0};
  std::string Body;
};

read_answer readByCaller(const std::string &Bytes) {
  message_feed<false> Feed(1U << 16U);
  EXPECT_TRUE(Feed.feed(Bytes)) << Bytes;
  if (!Feed.done())
    return {};
  return {Feed.message().get().result_int(), Feed.body()};
}

/// Returns the head and the first part of an answer.
std::string partOfAnswer(framing Framing, bool IsStream) {
  const std::string Part = IsStream ? eventText(1) : "the first 18 bytes";
  std::string Head = "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Type: ";
  Head += IsStream ? "text/event-stream\r\n" : "text/plain\r\n";
  switch (Framing) {
  case framing::Length:
    return Head + "Content-Length: 1000\r\n\r\n" + Part;
  case framing::Chunked:
    return Head + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(Part);
  default:
    return Head + "\r\n" + Part;
  }
}

std::string nameOf(way Way) { return Way == way::Direct ? "Directly" : "ThroughAPeer"; }

std::string nameOf(retry_mode Mode) {
  switch (Mode) {
  case retry_mode::Never:
    return "Once";
  case retry_mode::Always:
    return "Repeatable";
  default:
    return "Resumable";
  }
}

std::string nameOf(framing Framing) {
  switch (Framing) {
  case framing::Length:
    return "Length";
  case framing::Chunked:
    return "Chunked";
  default:
    return "Unframed";
  }
}

std::string nameOf(ending End) {
  switch (End) {
  case ending::Reset:
    return "Reset";
  case ending::CloseUnread:
    return "ClosedUnread";
  default:
    return "EndedAndReset";
  }
}

std::string nameOf(moment When) {
  switch (When) {
  case moment::AtOnce:
    return "AtOnce";
  case moment::OnceTheWriteWaits:
    return "OnceTheWriteWaits";
  case moment::Later:
    return "Later";
  default:
    return "Unnoticed";
  }
}

std::string nameOf(unsigned Status) { return std::to_string(Status); }
std::string nameOf(bool IsStream) { return IsStream ? "Stream" : "Plain"; }

/// Names a case after all of its parameters.
struct case_name {
  template <typename Parameters>
  std::string operator()(const testing::TestParamInfo<Parameters> &Info) const {
    return std::apply([](const auto &...Each) { return (nameOf(Each) + ...); }, Info.param);
  }
};

using cut_parameters = std::tuple<way, retry_mode, framing, bool, ending, moment>;

class answer_cut_during_an_upload : public testing::TestWithParam<cut_parameters> {};

// A server answers a long upload at once, sends a part of the body and resets; the write of the
// upload meets the reset, and the caller gets the part as a whole answer.
TEST_P(answer_cut_during_an_upload, IsNotToldAsWhole) {
  const auto [Way, Mode, Framing, IsStream, End, When] = GetParam();
  an_unread_upload Upload(Way, Mode, partOfAnswer(Framing, IsStream), End, When);
  const int Rounds = When == moment::AtOnce ? 3 : 1;
  for (int Round = 0; Round < Rounds; ++Round) {
    const read_answer Read = readByCaller(Upload.answer());
    EXPECT_TRUE(Read.Status == 0 || Read.Status >= 500) << Read.Status << ' ' << Read.Body;
  }
}

INSTANTIATE_TEST_SUITE_P(
    AllWays, answer_cut_during_an_upload,
    testing::Combine(testing::Values(way::Direct, way::ThroughPeer),
                     testing::Values(retry_mode::Never, retry_mode::Always, retry_mode::Resume),
                     testing::Values(framing::Length, framing::Chunked, framing::Connection),
                     testing::Bool(), testing::Values(ending::Reset, ending::CloseUnread),
                     testing::Values(moment::AtOnce, moment::OnceTheWriteWaits, moment::Later,
                                     moment::Unnoticed)),
    case_name());

using refusal_parameters = std::tuple<way, unsigned, ending, moment>;

class refusal_during_an_upload : public testing::TestWithParam<refusal_parameters> {};

// A server refuses a long upload by a whole answer and resets; the caller must learn of the
// refusal.
TEST_P(refusal_during_an_upload, IsToldAsItIs) {
  const auto [Way, Status, End, When] = GetParam();
  an_unread_upload Upload(Way, retry_mode::Never,
                          "HTTP/1.1 " + std::to_string(Status) +
                              " -\r\nX-Send: s1\r\nContent-Length: 9\r\n\r\ntoo large",
                          End, When);
  const read_answer Read = readByCaller(Upload.answer());
  EXPECT_EQ(Read.Status, Status);
  EXPECT_EQ(Read.Body, "too large");
}

INSTANTIATE_TEST_SUITE_P(AllWays, refusal_during_an_upload,
                         testing::Combine(testing::Values(way::Direct, way::ThroughPeer),
                                          testing::Values(413U, 429U, 503U),
                                          testing::Values(ending::Reset, ending::CloseUnread,
                                                          ending::EndThenReset),
                                          testing::Values(moment::AtOnce, moment::OnceTheWriteWaits,
                                                          moment::Later, moment::Unnoticed)),
                         case_name());

using ended_parameters = std::tuple<way, bool, moment>;

class answer_that_ends_before_a_reset : public testing::TestWithParam<ended_parameters> {};

// The server has ended its sending side, so that all of its answer has arrived, and resets because
// it reads no further: a check against cuts refuses a sound answer.
TEST_P(answer_that_ends_before_a_reset, IsToldAsWhole) {
  const auto [Way, IsStream, When] = GetParam();
  an_unread_upload Upload(Way, retry_mode::Never, partOfAnswer(framing::Connection, IsStream),
                          ending::EndThenReset, When);
  const read_answer Read = readByCaller(Upload.answer());
  EXPECT_EQ(Read.Status, 200U);
  EXPECT_EQ(Read.Body, IsStream ? eventText(1) : "the first 18 bytes");
}

INSTANTIATE_TEST_SUITE_P(AllWays, answer_that_ends_before_a_reset,
                         testing::Combine(testing::Values(way::Direct, way::ThroughPeer),
                                          testing::Bool(),
                                          testing::Values(moment::AtOnce, moment::OnceTheWriteWaits,
                                                          moment::Later, moment::Unnoticed)),
                         case_name());

} // namespace
} // namespace pollenstall

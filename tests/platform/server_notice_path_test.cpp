/** @file server_notice_path_test.cpp Entries obey what a backend server says of itself in answers.
 */
#include "platform_path_fixture.h"

#include <atomic>
#include <map>

namespace pollenstall {
namespace {

using std::chrono::seconds;

constexpr seconds PauseTime{3};
/// From then on a notice must hold at the entry that got it.
constexpr milliseconds PauseGrace{500};
constexpr seconds LeavingGrace{2};

/// How an engine answers.
enum class engine_mode : std::uint8_t {
  Sound,
  AsksForPause, ///< Turns each request away and asks for a pause.
  Leaves,       ///< Serves, and says in each answer that it leaves.
};

/// An engine that records which entry sends it requests, by the names of the callers' sends.
class notifying_engine {
public:
  using time_point = steady_clock::time_point;

  notifying_engine()
      : Server([this](scripted_server::tcp_socket &Socket, const received_request &Request) {
          answer(Socket, Request);
        }) {}

  void be(engine_mode NewMode) { Mode = NewMode; }
  [[nodiscard]] const scripted_server &server() const { return Server; }
  [[nodiscard]] std::size_t notices() const {
    const std::lock_guard<std::mutex> Lock(Guard);
    return Notices.size();
  }
  /// @return Requests that arrived between Grace and End after a notice to the same entry.
  [[nodiscard]] std::size_t arrivalsAfterNotices(milliseconds Grace, milliseconds End) const {
    const std::lock_guard<std::mutex> Lock(Guard);
    std::size_t Count = 0;
    for (const auto &[Entry, Arrival] : Arrivals) {
      const bool IsLate = std::any_of(
          Notices.begin(), Notices.end(), [&, Of = Entry, At = Arrival](const auto &Notice) {
            return Notice.first == Of && At > Notice.second + Grace && At < Notice.second + End;
          });
      Count += IsLate ? 1 : 0;
    }
    return Count;
  }

private:
  void answer(scripted_server::tcp_socket &Socket, const received_request &Request) {
    const std::size_t At = Request.Head.find("Attempt-Id: ") + 12;
    const std::string Send = Request.Head.substr(At, Request.Head.find("\r\n", At) - At);
    const std::string Entry = Send.substr(0, Send.find('-'));
    const engine_mode Current = Mode;
    {
      const std::lock_guard<std::mutex> Lock(Guard);
      Arrivals.emplace_back(Entry, steady_clock::now());
    }
    if (Current == engine_mode::AsksForPause)
      sendText(Socket, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: " +
                           std::to_string(PauseTime.count()) + "\r\nAttempt-Id: " + Send +
                           "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    else
      answerWithEvents(Socket, Request,
                       Current == engine_mode::Leaves ? "Server-Leaving: 1\r\n" : "");
    const std::lock_guard<std::mutex> Lock(Guard);
    if (Current != engine_mode::Sound)
      Notices.emplace_back(Entry, steady_clock::now());
  }

  std::atomic<engine_mode> Mode{engine_mode::Sound};
  mutable std::mutex Guard;
  std::vector<std::pair<std::string, time_point>> Arrivals;
  std::vector<std::pair<std::string, time_point>> Notices;
  scripted_server Server; ///< Last, since its thread uses the members above.
};

/// Entries under steady load before engines that are announced as ready as long as the test runs.
class ServerNoticePathTest : public PlatformPathTest {
protected:
  static constexpr std::size_t Entries = 3;
  static constexpr std::size_t CallersPerEntry = 2;
  static constexpr milliseconds Pause{60}; ///< Between two requests of one caller.

  void startUnderLoad() {
    ASSERT_NO_FATAL_FAILURE(startAll(Entries));
    announceFor(seconds(1));
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      for (std::size_t Caller = 0; Caller < CallersPerEntry; ++Caller)
        Callers.emplace_back([this, Entry] { sendRequests(Entry); });
    announceFor(seconds(1));
  }
  void announceFor(seconds Duration) {
    const auto End = steady_clock::now() + Duration;
    while (steady_clock::now() < End) {
      EXPECT_TRUE(announce("i-1", First.server()));
      EXPECT_TRUE(announce("i-2", Second.server()));
      std::this_thread::sleep_for(milliseconds(300));
    }
  }
  void stopLoad() {
    Stopping = true;
    for (std::thread &Caller : Callers)
      Caller.join();
    Callers.clear();
  }
  void TearDown() override { stopLoad(); }

  notifying_engine First;
  notifying_engine Second;
  std::atomic<std::size_t> Refused{0};

private:
  void sendRequests(std::size_t Entry) {
    while (!Stopping) {
      const std::string Send = std::to_string(Entry) + "-" + std::to_string(++LastSend);
      http_stream Stream(System->callers(Entry), "POST", "/x/2f", "a body", headers(Send));
      const bool IsWhole = Stream.status() == Ok && Stream.remainingEvents().size() == 3;
      Refused += IsWhole ? 0 : 1;
      std::this_thread::sleep_for(Pause);
    }
  }

  std::vector<std::thread> Callers;
  std::atomic<bool> Stopping{false};
  std::atomic<int> LastSend{0};
};

// Guards against entries that send requests to a server that has asked them for a pause: it turns
// them away, has no work, and is therefore chosen first.
TEST_F(ServerNoticePathTest, AServerGetsNoRequestInThePauseThatItAskedFor) {
  ASSERT_NO_FATAL_FAILURE(startUnderLoad());
  First.be(engine_mode::AsksForPause);
  announceFor(2 * PauseTime + seconds(1));
  stopLoad();
  EXPECT_GE(First.notices(), Entries) << "each entry asks again after a pause";
  EXPECT_EQ(First.arrivalsAfterNotices(PauseGrace, PauseTime), 0U);
  EXPECT_EQ(Refused, 0U) << "the other engine has room";
}

// Guards against requests that are refused late, or sent in spite of the pause, when no server is
// left.
TEST_F(ServerNoticePathTest, NoServerGetsRequestsWhileAllAskForAPause) {
  ASSERT_NO_FATAL_FAILURE(startUnderLoad());
  First.be(engine_mode::AsksForPause);
  Second.be(engine_mode::AsksForPause);
  announceFor(PauseTime + seconds(1));
  stopLoad();
  EXPECT_EQ(First.arrivalsAfterNotices(PauseGrace, PauseTime), 0U);
  EXPECT_EQ(Second.arrivalsAfterNotices(PauseGrace, PauseTime), 0U);
}

// Guards against requests to a server that says in its answers that it leaves, while the control
// hosts still list it as ready.
TEST_F(ServerNoticePathTest, AServerThatSaysThatItLeavesGetsNoRequest) {
  ASSERT_NO_FATAL_FAILURE(startUnderLoad());
  First.be(engine_mode::Leaves);
  announceFor(LeavingGrace + seconds(3));
  stopLoad();
  EXPECT_GT(First.notices(), 0U);
  EXPECT_EQ(First.arrivalsAfterNotices(LeavingGrace, seconds(60)), 0U);
  EXPECT_EQ(Refused, 0U) << "the other engine has room";
}

} // namespace
} // namespace pollenstall

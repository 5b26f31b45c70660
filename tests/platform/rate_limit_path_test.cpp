/** @file rate_limit_path_test.cpp Entries keep the rate limit of an engine together. */
#include "platform_path_fixture.h"

#include <atomic>

namespace pollenstall {
namespace {

using std::chrono::seconds;

constexpr seconds Window{4}; ///< In which the requests of all entries count together.

/// An engine that states a rate limit while one is set, and records when requests arrive.
class limiting_engine {
public:
  limiting_engine()
      : Server([this](scripted_server::tcp_socket &Socket, const received_request &Request) {
          answer(Socket, Request);
        }) {}

  void state(const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Guard);
    Limit = Value;
  }
  [[nodiscard]] const scripted_server &server() const { return Server; }
  /// @return The most requests in any 4 s that begin at this time or later.
  [[nodiscard]] std::size_t mostInWindow(steady_clock::time_point Since) const {
    const std::lock_guard<std::mutex> Lock(Guard);
    std::size_t Most = 0;
    auto First = std::lower_bound(Arrivals.begin(), Arrivals.end(), Since);
    for (auto Last = First; Last != Arrivals.end(); ++Last) {
      while (*Last - *First > Window)
        ++First;
      Most = std::max(Most, static_cast<std::size_t>(Last - First) + 1);
    }
    return Most;
  }
  [[nodiscard]] std::size_t arrivedSince(steady_clock::time_point Since) const {
    const std::lock_guard<std::mutex> Lock(Guard);
    return static_cast<std::size_t>(Arrivals.end() -
                                    std::lower_bound(Arrivals.begin(), Arrivals.end(), Since));
  }

private:
  void answer(scripted_server::tcp_socket &Socket, const received_request &Request) {
    std::string Line;
    {
      const std::lock_guard<std::mutex> Lock(Guard);
      Arrivals.push_back(steady_clock::now());
      if (!Limit.empty())
        Line = "Server-Limit: " + Limit + "\r\n";
    }
    answerWithEvents(Socket, Request, Line);
  }

  mutable std::mutex Guard;
  std::string Limit;
  std::vector<steady_clock::time_point> Arrivals;
  scripted_server Server; ///< Last, since its thread uses the members above.
};

/// Three entries under steady load before engines that are announced as long as the test runs.
class RateLimitPathTest : public PlatformPathTest {
protected:
  static constexpr std::size_t Entries = 3;
  /// Most requests in a window: one and a half times those of a limit of 2 a second, and 5.
  static constexpr std::size_t Allowed = 17;
  /// Time after the first answer with a limit from which on it must hold.
  static constexpr seconds Grace{3};

  /// Time between two requests of one caller. The engine gets about 7 a second before it states its
  /// limit, so that the second before that may count too.
  static constexpr milliseconds Pause{380};

  void startLoad(std::size_t ThreadsPerEntry) {
    for (std::size_t Thread = 0; Thread < ThreadsPerEntry * Entries; ++Thread)
      Callers.emplace_back([this, Entry = Thread % Entries, Thread] {
        for (int Request = 0; !Stopping; ++Request) {
          const std::string Send = "load-" + std::to_string(Thread) + "-" + std::to_string(Request);
          http_stream Stream(System->callers(Entry), "POST", "/x/2f", "a body", headers(Send));
          if (Stream.status() == Ok && Stream.remainingEvents().size() == 3)
            ++Served;
          else
            ++NotServed;
          std::this_thread::sleep_for(Pause);
        }
      });
  }

  /// Waits, and announces both engines as they would themselves.
  void announceFor(seconds Duration) {
    const auto End = steady_clock::now() + Duration;
    while (steady_clock::now() < End) {
      EXPECT_TRUE(announce("i-1", InNeed.server()));
      EXPECT_TRUE(announce("i-2", Other.server()));
      std::this_thread::sleep_for(milliseconds(500));
    }
  }

  void startUnderLoad() {
    ASSERT_NO_FATAL_FAILURE(startAll(Entries));
    announceFor(seconds(1));
    startLoad(2);
  }

  /// Returns when the limit of one engine holds.
  void startWithALimit() {
    ASSERT_NO_FATAL_FAILURE(startUnderLoad());
    InNeed.state("2");
    announceFor(Grace + seconds(1));
  }

  void stopLoad() {
    Stopping = true;
    for (std::thread &Caller : Callers)
      Caller.join();
    Callers.clear();
  }
  void TearDown() override { stopLoad(); }

  limiting_engine InNeed;
  limiting_engine Other;
  std::vector<std::thread> Callers;
  std::atomic<bool> Stopping{false};
  std::atomic<int> Served{0};
  std::atomic<int> NotServed{0};
};

// Guards against entries that each keep the limit of an engine for themselves, or not at all: their
// sum exceeds it.
TEST_F(RateLimitPathTest, AllEntriesTogetherKeepTheLimitOfAnEngine) {
  ASSERT_NO_FATAL_FAILURE(startUnderLoad());
  announceFor(seconds(2));
  EXPECT_GT(InNeed.arrivedSince({}), 0U) << "the load does not reach the engine at all";

  InNeed.state("2");
  const auto Stated = steady_clock::now();
  announceFor(seconds(9));
  EXPECT_LE(InNeed.mostInWindow(Stated + Grace - Window), Allowed);

  InNeed.state("");
  announceFor(seconds(8));
  EXPECT_GT(InNeed.arrivedSince(steady_clock::now() - Window), Allowed)
      << "the engine is not used like the others again";
  stopLoad();
  EXPECT_EQ(NotServed, 0);
  EXPECT_GT(Served, 0);
}

// Guards against permits of an issuer that is lost and of its successor at the same time, and
// against entries that forget the limit when they restart. The issuer is one of the entries.
TEST_F(RateLimitPathTest, LimitIsKeptWhileEachEntryIsKilledAndRestarted) {
  ASSERT_NO_FATAL_FAILURE(startWithALimit());
  const auto Settled = steady_clock::now();
  for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
    System->killEntry(Entry);
    System->startEntry(Entry);
    announceFor(seconds(5));
  }
  EXPECT_LE(InNeed.mostInWindow(Settled), Allowed);
  EXPECT_GT(InNeed.arrivedSince(Settled), 0U) << "nothing is sent to the engine at all";
}

// Guards against an issuer that thaws with the permits of the time in which it was frozen.
TEST_F(RateLimitPathTest, LimitIsKeptWhileEachEntryIsFrozen) {
  ASSERT_NO_FATAL_FAILURE(startWithALimit());
  const auto Settled = steady_clock::now();
  for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
    System->entry(Entry).stop();
    announceFor(seconds(3));
    System->entry(Entry).resume();
    announceFor(seconds(3));
  }
  EXPECT_LE(InNeed.mostInWindow(Settled), Allowed);
}

// All servers of the service state a limit: together they get no more, and what cannot be served in
// time is refused with the time at which to return.
TEST_F(RateLimitPathTest, ServiceWithOnlyLimitedEnginesServesTheirSum) {
  ASSERT_NO_FATAL_FAILURE(startUnderLoad());
  InNeed.state("2");
  Other.state("2");
  const auto Stated = steady_clock::now();
  announceFor(seconds(4));
  const auto Settled = steady_clock::now();
  constexpr seconds Measured{10};
  announceFor(Measured);
  stopLoad();
  EXPECT_LE(InNeed.mostInWindow(Stated + Grace - Window), Allowed);
  EXPECT_LE(Other.mostInWindow(Stated + Grace - Window), Allowed);
  // Work always waits, so that nine in ten of the permits are to be used.
  const std::size_t Together = InNeed.arrivedSince(Settled) + Other.arrivedSince(Settled);
  EXPECT_GE(Together, static_cast<std::size_t>(0.9 * 2 * 2 * Measured.count()));
}

} // namespace
} // namespace pollenstall

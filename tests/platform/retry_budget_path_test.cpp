/** @file retry_budget_path_test.cpp Entries keep the retry budget of each service together. */
#include "platform_path_fixture.h"
#include "retry_count.h"

#include <array>
#include <atomic>

namespace pollenstall {
namespace {

using std::chrono::seconds;

constexpr std::size_t ServersPerService = 4;

std::string route(const std::string &Service) {
  return R"({"name":"r-)" + Service + R"(","host":"a.example","path_prefix":"/)" + Service +
         R"(/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":")" +
         Service + R"(","max_attempts":3,"anonymous":false})";
}

std::string service(const std::string &Name) {
  return R"({"name":")" + Name + R"(","health_check_path":"/h","connection_limit":400})";
}

/// Two plain services, s1 and s2.
std::string twoServices() {
  return R"({"version":1,"routes":[)" + route("s1") + "," + route("s2") + R"(],"services":[)" +
         service("s1") + "," + service("s2") +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]})";
}

/// A plain server that answers, or declines every request.
class plain_server {
public:
  plain_server(std::string ServiceName, retry_count &Arrivals)
      : Service(std::move(ServiceName)), Count(Arrivals),
        Server([this](scripted_server::tcp_socket &Socket, const received_request &Request) {
          answer(Socket, Request);
        }) {}

  void decline(bool Value) { Declines = Value; }
  [[nodiscard]] const scripted_server &server() const { return Server; }
  [[nodiscard]] const std::string &service() const { return Service; }

private:
  void answer(scripted_server::tcp_socket &Socket, const received_request &Request) {
    const std::size_t At = Request.Head.find("Attempt-Id: ") + 12;
    const std::string Send = Request.Head.substr(At, Request.Head.find("\r\n", At) - At);
    Count.recordArrival(Service, Send);
    const std::string Status = Declines ? "503 Service Unavailable\r\nNot-Executed: 1"
                                        : "200 OK\r\nResponse-Signature: " + Signature;
    sendText(Socket, "HTTP/1.1 " + Status + "\r\nAttempt-Id: " + Send +
                         "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
  }

  std::string Service;
  retry_count &Count;
  std::atomic<bool> Declines{false};
  scripted_server Server; ///< Last, since its thread uses the members above.
};

/// Entries under steady load before two services, of which s1 can be told to decline everything.
class RetryBudgetPathTest : public PlatformPathTest {
protected:
  static constexpr std::size_t Entries = 3;
  static constexpr milliseconds Pause{80}; ///< Between two requests of one caller.

  RetryBudgetPathTest() {
    for (const std::string Service : {"s1", "s2"})
      for (std::size_t Server = 0; Server < ServersPerService; ++Server)
        Servers.push_back(std::make_unique<plain_server>(Service, Count));
  }
  void TearDown() override { stopLoad(); }

  void start(std::size_t Reserve) {
    Bound.Reserve = static_cast<double>(Reserve);
    ASSERT_NO_FATAL_FAILURE(
        startAll(std::make_unique<platform_system>(5, Entries, Reserve), Entries, twoServices()));
    // A started entry may use its part of the reserve only once a window has passed.
    announceFor(Bound.Window + seconds(1));
  }

  void startLoad(const std::string &Service, std::size_t CallersPerEntry) {
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      startLoadAt(Entry, Service, CallersPerEntry);
  }

  void startLoadAt(std::size_t Entry, const std::string &Service, std::size_t CallerCount) {
    for (std::size_t Caller = 0; Caller < CallerCount; ++Caller)
      Callers.emplace_back([this, Service, Entry] {
        while (!Stopping && !Lost.at(Entry)) {
          sendOne(Service, Entry);
          std::this_thread::sleep_for(Pause);
        }
      });
  }

  void sendOne(const std::string &Service, std::size_t Entry) {
    const std::string Send = "load-" + std::to_string(++LoadSends);
    Count.recordRequest(Service);
    http_client(System->callers(Entry))
        .request("GET", "/" + Service + "/item", {},
                 {{"Host", "a.example"},
                  {"Attempt-Id", Send},
                  {"Deadline-Ms", "3000"},
                  {"Authorization", "Bearer k1"}});
  }

  /// Waits, and announces all servers as they would themselves.
  void announceFor(steady_clock::duration Duration) {
    const auto End = steady_clock::now() + Duration;
    do {
      for (std::size_t Index = 0; Index < Servers.size(); ++Index)
        EXPECT_TRUE(announce("i-" + std::to_string(Index), Servers[Index]->server(), "ready",
                             Servers[Index]->service()));
      std::this_thread::sleep_for(milliseconds(200));
    } while (steady_clock::now() < End);
  }

  void decline(const std::string &Service) {
    for (const auto &Server : Servers)
      if (Server->service() == Service)
        Server->decline(true);
  }

  void stopLoad() {
    Stopping = true;
    for (std::thread &Caller : Callers)
      Caller.join();
    Callers.clear();
  }

  void expectWithinBound(const std::string &Service) {
    const worst_window Worst = Count.worst(Service, Bound);
    std::cout << Service << ": " << Worst.Repeats << " repeats in the worst window, allowed "
              << Worst.Allowed << "\n";
    EXPECT_LE(static_cast<double>(Worst.Repeats), Worst.Allowed);
    EXPECT_GT(Worst.Repeats, 0U) << "nothing was repeated at all";
  }

  retry_count Count;
  retry_bound Bound;
  std::vector<std::unique_ptr<plain_server>> Servers;
  std::vector<std::thread> Callers;
  std::atomic<bool> Stopping{false};
  std::array<std::atomic<bool>, Entries> Lost{}; ///< Whose callers have left with them.
  std::atomic<int> LoadSends{0};
};

// Guards against requests for a sound service that pay for repeats at a failing one.
TEST_F(RetryBudgetPathTest, RequestsForOtherServicesPayForNothing) {
  ASSERT_NO_FATAL_FAILURE(start(30));
  startLoad("s1", 2);
  startLoad("s2", 6);
  announceFor(seconds(3));
  decline("s1");
  announceFor(seconds(11));
  stopLoad();
  expectWithinBound("s1");
}

// Guards against entries that start with a full budget although their earlier incarnation has used
// it up.
TEST_F(RetryBudgetPathTest, EntriesThatAreKilledInSeriesDoNotGetTheirBudgetTwice) {
  ASSERT_NO_FATAL_FAILURE(start(60));
  startLoad("s1", 3);
  announceFor(seconds(3));
  decline("s1");
  announceFor(seconds(2));
  for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
    System->killEntry(Entry);
    System->startEntry(Entry);
    announceFor(seconds(1));
  }
  announceFor(seconds(7));
  stopLoad();
  expectWithinBound("s1");
}

// Guards against entries that take over the parts of lost ones, whose repeats still count.
TEST_F(RetryBudgetPathTest, PartsOfLostEntriesAreNotSpentAgain) {
  ASSERT_NO_FATAL_FAILURE(start(240));
  startLoad("s1", 4);
  announceFor(seconds(2));
  decline("s1");
  announceFor(seconds(3));
  for (const std::size_t Entry : {1U, 2U}) {
    Lost.at(Entry) = true;
    System->killEntry(Entry);
  }
  announceFor(seconds(8));
  stopLoad();
  expectWithinBound("s1");
}

// Guards against parts of a frozen entry that the others have taken over when it thaws.
TEST_F(RetryBudgetPathTest, EntriesThatAreFrozenInSeriesKeepTheBudget) {
  ASSERT_NO_FATAL_FAILURE(start(60));
  startLoad("s1", 3);
  announceFor(seconds(3));
  decline("s1");
  for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
    System->entry(Entry).stop();
    announceFor(seconds(2));
    System->entry(Entry).resume();
    announceFor(seconds(1));
  }
  announceFor(seconds(4));
  stopLoad();
  expectWithinBound("s1");
}

// Guards against a reserve that lies idle at entries without failures. A third of it belongs to the
// entry that has them.
TEST_F(RetryBudgetPathTest, OneEntryWithAllFailuresUsesTheReserveOfTheOthers) {
  ASSERT_NO_FATAL_FAILURE(start(60));
  startLoadAt(0, "s1", 2);
  announceFor(seconds(2));
  decline("s1");
  announceFor(seconds(9));
  stopLoad();
  expectWithinBound("s1");
  const worst_window Worst = Count.worst("s1", Bound);
  EXPECT_GE(static_cast<double>(Worst.Repeats), 0.7 * Worst.Allowed);
}

} // namespace
} // namespace pollenstall

/** @file operators_test.cpp The operators' address: keys, paths, bounds. */
#include "operators/operators.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

namespace pollenstall {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view Key = "operators-key";

/// A server, and callers with connections of their own.
struct served_callers : testing::Test {
  asio::ip::tcp::socket connect() {
    const std::string Address = Server->address();
    const auto Port = static_cast<std::uint16_t>(std::stoi(Address.substr(Address.rfind(':') + 1)));
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    return Socket;
  }

  asio::io_context Context;
  std::unique_ptr<operator_server> Server;
};

struct operator_server_running : served_callers {
  void SetUp() override {
    auto Started =
        operator_server_builder("127.0.0.1:0", keyHash(Key))
            .health()
            .readiness([this] { return Ready; })
            .metrics(std::make_shared<prometheus::Registry>())
            .dump([] { return std::string("{}"); })
            .route("POST", "/v1/echo", operator_access::KeyNeeded,
                   [](const operator_call &Call) {
                     return operator_reply{200, "text/plain", Call.Body + "|" + Call.Query};
                   })
            .route("GET", "/v1/items/", operator_access::KeyNeeded,
                   [](const operator_call &Call) {
                     return operator_reply{200, "text/plain", Call.Path};
                   })
            .start();
    ASSERT_TRUE(succeeded(Started)) << errorOf(Started).Text;
    Server = std::move(valueOf(Started));
  }

  http::response<http::string_body> answerTo(const std::string &Bytes) {
    asio::ip::tcp::socket Socket = connect();
    asio::write(Socket, asio::buffer(Bytes));
    boost::beast::flat_buffer Buffer;
    http::response<http::string_body> Response;
    http::read(Socket, Buffer, Response);
    return Response;
  }

  http::response<http::string_body> call(const std::string &Method, const std::string &Target,
                                         const std::string &WithKey = std::string(Key),
                                         const std::string &Body = "") {
    return answerTo(Method + " " + Target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
                    WithKey + "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
                    Body);
  }

  bool Ready{true};
};

TEST_F(operator_server_running, AnswersThePlatformWithoutAKey) {
  EXPECT_EQ(call("GET", "/healthz", "wrong").result_int(), 200U);
  EXPECT_EQ(call("GET", "/readyz", "wrong").result_int(), 200U);
  EXPECT_EQ(call("GET", "/metrics", "wrong").result_int(), 200U);
}

TEST_F(operator_server_running, TellsTheBalancerWhenNotReady) {
  Ready = false;
  EXPECT_EQ(call("GET", "/readyz").result_int(), 503U);
}

TEST_F(operator_server_running, RefusesTheRestWithoutTheKey) {
  EXPECT_EQ(call("GET", "/dump", "wrong").result_int(), 401U);
  EXPECT_EQ(call("GET", "/dump").result_int(), 200U);
  EXPECT_EQ(answerTo("GET /dump HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 401U);
}

TEST_F(operator_server_running, HandsOverBodyQueryAndPathBelowAPrefix) {
  EXPECT_EQ(call("POST", "/v1/echo?a=b", std::string(Key), "text").body(), "text|a=b");
  EXPECT_EQ(call("GET", "/v1/items/7").body(), "/v1/items/7");
}

TEST_F(operator_server_running, TellsApartAnUnknownPathAndAWrongMethod) {
  EXPECT_EQ(call("GET", "/nothing").result_int(), 404U);
  EXPECT_EQ(call("DELETE", "/healthz").result_int(), 405U);
}

TEST_F(operator_server_running, RefusesABodyOverItsBound) {
  EXPECT_EQ(answerTo("POST /v1/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
                .result_int(),
            413U);
}

TEST_F(operator_server_running, AnswersGarbageWithAnErrorAndGoesOn) {
  EXPECT_EQ(answerTo(std::string("\x01\x02garbage\r\n\r\n")).result_int(), 400U);
  EXPECT_EQ(call("GET", "/healthz").result_int(), 200U);
}

/// A server with a bound on connections, and many callers that keep theirs.
struct crowded_server : served_callers {
  void start(std::size_t MaxConnections) {
    auto Started = operator_server_builder("127.0.0.1:0", keyHash(Key))
                       .maxConnections(MaxConnections)
                       .onCrowded([this](std::size_t) { ++CrowdedTold; })
                       .metrics(Registry)
                       .route(
                           "PUT", "/notices/", operator_access::OpenWaits,
                           [this](const operator_call &) {
                             ++Notices;
                             if (Released.valid())
                               Released.wait();
                             return operator_reply{};
                           },
                           call_lane::Notices)
                       .route("PUT", "/change", operator_access::OpenWaits,
                              [](const operator_call &) { return operator_reply{}; })
                       .start();
    ASSERT_TRUE(succeeded(Started)) << errorOf(Started).Text;
    Server = std::move(valueOf(Started));
  }

  static void send(asio::ip::tcp::socket &Socket, const std::string &Path) {
    asio::write(Socket,
                asio::buffer("PUT " + Path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"));
  }
  static http::response<http::string_body> answer(asio::ip::tcp::socket &Socket) {
    boost::beast::flat_buffer Buffer;
    http::response<http::string_body> Response;
    http::read(Socket, Buffer, Response);
    return Response;
  }
  /// @return The status of a change from a new connection.
  unsigned change() {
    asio::ip::tcp::socket Socket = connect();
    send(Socket, "/change");
    return answer(Socket).result_int();
  }

  std::shared_ptr<prometheus::Registry> Registry{std::make_shared<prometheus::Registry>()};
  std::atomic<int> CrowdedTold{0};
  std::atomic<int> Notices{0};
  std::shared_future<void> Released;
};

// 650 backend servers keep a connection each to one control host, and 350 more hosts come by. With
// a bound of 128 connections the rest was closed in silence: 27 of 155 servers never got an answer,
// and no operator did.
TEST_F(crowded_server, AnswersAThousandConnections) {
  start(2'048);
  constexpr std::size_t Servers = 1'000;
  std::vector<asio::ip::tcp::socket> Kept;
  for (std::size_t Number = 0; Number < Servers; ++Number)
    Kept.push_back(connect());
  for (std::size_t Number = 0; Number < Servers; ++Number) {
    send(Kept[Number], "/notices/" + std::to_string(Number));
    ASSERT_EQ(answer(Kept[Number]).result_int(), 200U) << Number;
  }
  EXPECT_EQ(change(), 200U);
}

// More backend servers than the bound keep connections that are idle between two notices. An
// operator comes: the longest idle one gives way.
TEST_F(crowded_server, LetsAnOperatorInWhereIdleConnectionsFillIt) {
  constexpr std::size_t Most = 16;
  start(Most);
  std::vector<asio::ip::tcp::socket> Kept;
  for (std::size_t Number = 0; Number < 3 * Most; ++Number) {
    Kept.push_back(connect());
    send(Kept.back(), "/notices/1");
    ASSERT_EQ(answer(Kept.back()).result_int(), 200U) << Number;
  }
  for (std::size_t Call = 0; Call < Most; ++Call)
    EXPECT_EQ(change(), 200U);
}

// Every connection is in a call. Who comes then is told when to come back: closed in silence, it
// would look like a host that has died.
TEST_F(crowded_server, TellsWhoFindsNoRoomToComeBack) {
  std::promise<void> Release;
  Released = Release.get_future().share();
  constexpr std::size_t Most = 4;
  start(Most);
  std::vector<asio::ip::tcp::socket> Busy;
  for (std::size_t Number = 0; Number < Most; ++Number) {
    Busy.push_back(connect());
    send(Busy.back(), "/notices/1");
  }
  while (Notices < static_cast<int>(Most))
    std::this_thread::yield();
  asio::ip::tcp::socket Late = connect();
  const auto Told = answer(Late);
  EXPECT_EQ(Told.result_int(), 503U);
  EXPECT_EQ(Told[http::field::retry_after], "1");
  EXPECT_EQ(CrowdedTold, 1);
  Release.set_value();
  for (asio::ip::tcp::socket &Socket : Busy)
    EXPECT_EQ(answer(Socket).result_int(), 200U);
}

// All notices wait for a leader. A change does not wait behind them.
TEST_F(crowded_server, KeepsHandlersForOperators) {
  std::promise<void> Release;
  Released = Release.get_future().share();
  start(256);
  std::vector<asio::ip::tcp::socket> Busy;
  for (std::size_t Number = 0; Number < 64; ++Number) {
    Busy.push_back(connect());
    send(Busy.back(), "/notices/1");
  }
  while (Notices == 0)
    std::this_thread::yield();
  EXPECT_EQ(change(), 200U);
  Release.set_value();
}

// Changes sent to a control host that is cut off wait for seconds, each holding a thread. The
// platform's health check comes meanwhile; unanswered, it would make the platform replace the host.
TEST(BlockedCalls, DoNotHoldUpTheHealthCheck) {
  constexpr int Blocked = 16;
  std::promise<void> Release;
  const std::shared_future<void> Released = Release.get_future().share();
  std::atomic<int> Waiting{0};
  auto Started = operator_server_builder("127.0.0.1:0", keyHash(Key))
                     .health()
                     .route("POST", "/v1/wait", operator_access::KeyNeeded,
                            [Released, &Waiting](const operator_call &) {
                              ++Waiting;
                              Released.wait();
                              return operator_reply{};
                            })
                     .start();
  ASSERT_TRUE(succeeded(Started));
  const std::string Address = valueOf(Started)->address();
  const auto Port = static_cast<std::uint16_t>(std::stoi(Address.substr(Address.rfind(':') + 1)));
  const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address("127.0.0.1"), Port);
  asio::io_context Context;
  std::vector<asio::ip::tcp::socket> Callers;
  for (int Count = 0; Count < Blocked; ++Count) {
    Callers.emplace_back(Context);
    Callers.back().connect(Endpoint);
    asio::write(Callers.back(),
                asio::buffer("POST /v1/wait HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
                             std::string(Key) + "\r\nContent-Length: 0\r\n\r\n"));
  }
  while (Waiting == 0)
    std::this_thread::yield();
  asio::ip::tcp::socket Platform(Context);
  Platform.connect(Endpoint);
  asio::write(Platform, asio::buffer(std::string("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")));
  boost::beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  http::read(Platform, Buffer, Response);
  EXPECT_EQ(Response.result_int(), 200U);
  Release.set_value();
}

TEST(OperatorAddress, InUseIsAnError) {
  auto First = operator_server_builder("127.0.0.1:0", "").health().start();
  ASSERT_TRUE(succeeded(First));
  EXPECT_FALSE(succeeded(operator_server_builder(valueOf(First)->address(), "").health().start()));
  EXPECT_FALSE(succeeded(operator_server_builder("nowhere", "").health().start()));
}

TEST(KeyHash, IsSha256InHex) {
  EXPECT_EQ(keyHash("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(sameSecret("abc", "abc"));
  EXPECT_FALSE(sameSecret("abc", "abd"));
  EXPECT_EQ(bearerKey("Bearer k"), "k");
  EXPECT_EQ(bearerKey("Basic k"), std::nullopt);
}

} // namespace
} // namespace pollenstall

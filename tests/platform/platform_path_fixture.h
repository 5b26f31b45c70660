/** @file platform_path_fixture.h A running system that serves calls over the platform protocol. */
#ifndef POLLENSTALL_TESTS_PLATFORM_PLATFORM_PATH_FIXTURE_H
#define POLLENSTALL_TESTS_PLATFORM_PLATFORM_PATH_FIXTURE_H

#include "platform_system_base.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

namespace pollenstall {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

inline constexpr int Ok = 200;
inline const std::string ConfigurationPath = "/pollenstall/configuration";
inline const std::string Signature = "3e1b.07.5a2.600.0.c9f2a4d1";

inline const std::string OneAccount = R"("tenants":[{"name":"t1","api_keys":["k1"],"priority":1}])";

/// @param Accounts The member with the accounts, or another one in its place.
inline std::string configuration(int Version, const std::string &Accounts = OneAccount) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[
 {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming","timeout_ms":10000,
  "target_latency_ms":300,"priority":1,"service":"s1","max_attempts":2,"anonymous":false,
  "stream_resumption":true,"gap_aim_ms":250},
 {"name":"r2","host":"a.example","path_prefix":"/open/","kind":"idempotent","timeout_ms":10000,
  "service":"s1","anonymous":true}],
 "services":[{"name":"s1","health_check_path":"/h","connection_limit":100,"engine":{"slots":16,
  "kv_capacity_tokens":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.00425,
  "context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 )" + Accounts +
         "}";
}

/// Answers with three events; the first follows after the minimum time of an engine.
/// @param Lines Further header lines of the answer.
inline void answerWithEvents(scripted_server::tcp_socket &Socket, const received_request &Request,
                             const std::string &Lines) {
  constexpr milliseconds FirstEvent{20};
  const std::size_t At = Request.Head.find("Attempt-Id: ") + 12;
  const std::string Send = Request.Head.substr(At, Request.Head.find("\r\n", At) - At);
  sendText(Socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Send + "\r\nResponse-Signature: " +
                       Signature + "\r\nContent-Type: text/event-stream\r\n" +
                       "Transfer-Encoding: chunked\r\nConnection: close\r\n" + Lines + "\r\n");
  std::this_thread::sleep_for(FirstEvent);
  for (int Id = 1; Id <= 3; ++Id)
    sendText(Socket, chunkOf(eventText(Id)));
  sendText(Socket, "0\r\n\r\n");
}

inline void answerWithoutLimit(scripted_server::tcp_socket &Socket,
                               const received_request &Request) {
  answerWithEvents(Socket, Request, {});
}

class PlatformPathTest : public testing::Test {
protected:
  void startAll(std::size_t Entries) {
    startAll(std::make_unique<platform_system>(5, Entries), Entries, configuration(1));
  }

  /// @param Configuration Acknowledged and in force at all entries when this returns.
  void startAll(std::unique_ptr<platform_system> Hosts, std::size_t Entries,
                const std::string &Configuration) {
    System = std::move(Hosts);
    for (std::size_t Host = 0; Host < System->controls(); ++Host)
      System->startControl(Host, true);
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      System->startEntry(Entry);
    ASSERT_TRUE(System->acknowledged("PUT", ConfigurationPath, Configuration));
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      ASSERT_TRUE(eventually([&] { return System->ready(Entry); })) << Entry;
  }

  /// Sends a notice of the engine to the control hosts, as engines do periodically.
  bool announce(const std::string &Instance, const scripted_server &Engine,
                const std::string &State = "ready", const std::string &Service = "s1") {
    return System->acknowledged(
        "PUT", "/pollenstall/instances/" + Instance,
        R"({"service":")" + Service + R"(","address":")" + Engine.key().Address.str() +
            R"(","zone":"zone-1","version":"v1","slots":16,"state":")" + State +
            R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(++Sequence) + "}");
  }

  static http_headers headers(const std::string &Send) {
    return {{"Host", "a.example"},          {"Attempt-Id", Send}, {"Deadline-Ms", "8000"},
            {"Authorization", "Bearer k1"}, {"Model-Name", "m"},  {"Token-Usage", "1000,100"},
            {"Prompt-Prefix", "ab12:1000"}};
  }

  /// Sends one request through an entry. @return The status and events that the caller gets.
  std::pair<int, std::vector<sse_event>> sendRequest(std::size_t Entry) {
    http_stream Stream(System->callers(Entry), "POST", "/x/2f", "a body", headers(nextSend()));
    const int Status = Stream.status();
    return {Status, Status == Ok ? Stream.remainingEvents() : std::vector<sse_event>()};
  }

  /// @return The voters that a control host has logged most recently.
  std::set<std::string> voters(std::size_t Host) {
    const auto Changes = System->controlHost(Host).events("members_changed");
    std::set<std::string> Voters;
    if (Changes.empty())
      return Voters;
    std::istringstream Text(std::string(Changes.back().at("members").as_string()));
    std::string Member;
    std::string Role;
    while (Text >> Member >> Role)
      if (Role.rfind("voter", 0) == 0)
        Voters.insert(Member);
    return Voters;
  }

  /// @return The log lines of all control hosts.
  std::string controlLogs() {
    std::string Text;
    for (std::size_t Host = 0; Host < System->controls(); ++Host)
      for (const std::string &Line : System->controlHost(Host).errorLines())
        Text += "\n" + std::to_string(Host) + " " + Line;
    return Text;
  }

  static double measureMs(const std::function<void()> &Action) {
    const auto Start = steady_clock::now();
    Action();
    return std::chrono::duration<double, std::milli>(steady_clock::now() - Start).count();
  }

  /// @return Milliseconds from opening the connection to the first event of the answer.
  double firstEventMs(const std::string &Address) {
    return measureMs([&] {
      http_stream Stream(Address, "POST", "/x/2f", "a body", headers(nextSend()));
      EXPECT_TRUE(Stream.next()) << Stream.status() << Stream.error();
    });
  }

  void printLatencies(const std::string &Label, std::vector<double> Times) {
    std::sort(Times.begin(), Times.end());
    const double Median = Times[Times.size() / 2];
    const double P99 = Times[Times.size() * 99 / 100];
    std::cout << Label << ": p50 " << Median << " ms, p99 " << P99 << " ms\n";
  }

  std::string nextSend() { return "send-" + std::to_string(++Sends); }

  std::unique_ptr<platform_system> System;
  int Sequence{0};
  int Sends{0};
};

} // namespace pollenstall

#endif // POLLENSTALL_TESTS_PLATFORM_PLATFORM_PATH_FIXTURE_H

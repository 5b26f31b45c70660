/** @file relay_harness.cpp Sockets and threads around a relay under test. */
#include "relay_harness_base.h"

#include "relay/retry_after_func.h"

#include "support/eventually_func.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>

namespace pollenstall {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::seconds Limit{10};
constexpr std::size_t RingCapacity = 4096;

/// A protocol for tests, with header names that no other protocol uses.
call_interface testInterface() {
  call_interface Calls;
  Calls.ReadHead = [](const request_head &Head) -> result<head_facts, call_error> {
    head_facts Facts;
    Facts.LastEvent = parseNumber<std::uint64_t>(Head.header("X-Last")).value_or(0);
    if (const auto Time = parseNumber<std::int64_t>(Head.header("X-Time")))
      Facts.TimeLeft = std::chrono::milliseconds(*Time);
    return Facts;
  };
  Calls.SendName = [](const request_head &Head) { return std::string(Head.header("X-Send")); };
  Calls.IsSystemHeader = [](std::string_view Name) {
    return Name == "host" || Name == "authorization" || Name == "x-after";
  };
  Calls.WriteAttempt = [](const attempt_facts &Details, std::vector<header_line> &Headers) {
    Headers.push_back({"X-After", std::to_string(Details.LastEvent)});
    Headers.push_back({"X-Left", std::to_string(Details.TimeLeft.count())});
    if (Details.Place == queue_place::Ahead)
      Headers.push_back({"X-Ahead", "1"});
  };
  Calls.ReadAnswer = [](const boost::beast::http::response_header<> &Head,
                        const std::string &SendName) {
    answer_facts Facts;
    Facts.NotRun = Head.count("X-Not-Run") > 0;
    Facts.AnswersOtherRequest = Head["X-Send"] != SendName;
    Facts.Pause = readRetryAfter(Head);
    return Facts;
  };
  Calls.AcquireHold = [](const hold_request &Hold) {
    return backend_call{"POST", "/hold/" + Hold.Name, {}};
  };
  Calls.ReleaseHold = [](const std::string &Name) {
    return backend_call{"POST", "/free/" + Name, {}};
  };
  return Calls;
}

declaration_view declarationWith(retry_mode Repeat, const std::string &PathPrefix = "/a/") {
  fleet_declaration Fleet;
  service_declaration Service;
  Service.Name = service_name("svc");
  Service.Kind = service_kind::Plain;
  Fleet.Services.push_back(Service);
  call_route Route;
  Route.Name = "route";
  Route.Host = "example.test";
  Route.PathPrefix = PathPrefix;
  Route.RetryMode = Repeat;
  Route.MaxAttempts = 3;
  Route.LongestGap = std::chrono::milliseconds(100);
  Route.Services = {{service_name("svc"), 1}};
  Fleet.Routes.push_back(Route);
  Fleet.KeysRequired = false;
  return std::make_shared<const declaration_index>(std::move(Fleet));
}

} // namespace

std::string streamHead() {
  return "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

relay_harness::relay_harness(retry_mode Repeat, const relay_limits &Limits,
                             const std::function<void(relay_builder &)> &Adjust)
    : Declaration(declarationWith(Repeat)), Work(asio::make_work_guard(Io)), Ring(RingCapacity),
      CrashUpdateRing(RingCapacity) {
  relay_builder Builder(Io, Ring);
  Builder.process({host_name("entry"), incarnation(1)})
      .limits(Limits)
      .interface(testInterface())
      .crashUpdates(CrashUpdateRing)
      .onCallEnd([this](const call_record &Record) { Records.push_back(Record); });
  if (Adjust)
    Adjust(Builder);
  Relay = Builder.build();
  Address = std::get<std::string>(Relay->listen("127.0.0.1:0"));
  Relay->handle(declaration_in_force{Declaration, mono_time::max()});
  Thread = std::thread([this] { Io.run(); });
}

relay_harness::~relay_harness() {
  hangUp();
  asio::post(Io, [this] { Relay->stop(); });
  Work.reset();
  Thread.join();
}

void relay_harness::drain() {
  asio::post(Io, [this] { Relay->beginDrain(mono_time::max()); });
}

void relay_harness::connect() {
  Caller = std::make_unique<tcp::socket>(CallerIo);
  const std::size_t Colon = Address.rfind(':');
  Caller->connect({asio::ip::make_address(Address.substr(0, Colon)),
                   static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))});
}

void relay_harness::send(const std::string &Body, const std::string &MoreHeaders,
                         const std::string &Path) {
  connect();
  sendText(*Caller, Method + " " + Path + " HTTP/1.1\r\nHost: example.test\r\nX-Send: s1\r\n" +
                        MoreHeaders + "Connection: close\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

void relay_harness::call(const std::string &Body, const std::string &MoreHeaders) {
  send(Body, MoreHeaders);
  Facts = next<request_arrived>().Facts;
}

void relay_harness::hangUp() {
  boost::system::error_code Ignored;
  if (Caller)
    Caller->close(Ignored);
}

std::string relay_harness::answer() {
  std::string Bytes;
  boost::system::error_code Code;
  asio::read(*Caller, asio::dynamic_buffer(Bytes), Code);
  return Bytes;
}

dispatch_event relay_harness::nextEvent() {
  const auto Until = std::chrono::steady_clock::now() + Limit;
  while (Pending.empty() && std::chrono::steady_clock::now() < Until) {
    Ring.drain([this](dispatch_event &&Event) { Pending.push_back(std::move(Event)); });
    if (Pending.empty())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  if (Pending.empty())
    throw std::runtime_error("the relay sent no event in time");
  dispatch_event First = std::move(Pending.front());
  Pending.erase(Pending.begin());
  return First;
}

std::optional<attempt_failed> relay_harness::nextAttemptEnd() {
  while (true) {
    const dispatch_event Event = nextEvent();
    if (std::holds_alternative<attempt_completed>(Event))
      return std::nullopt;
    if (const auto *Failed = std::get_if<attempt_failed>(&Event))
      return *Failed;
  }
}

void relay_harness::order(relay_order Order) {
  auto Shared = std::make_shared<relay_order>(std::move(Order));
  asio::post(Io, [this, Shared] { Relay->handle(std::move(*Shared)); });
}

void relay_harness::settle() {
  constexpr int Rounds = 20;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::promise<void> Done;
    asio::post(Io, [&Done] { Done.set_value(); });
    Done.get_future().wait();
  }
}

start_attempt relay_harness::startOrder(const backend_key &Backend, std::uint32_t Ordinal) const {
  start_attempt Order;
  Order.Attempt = {{host_name("entry"), incarnation(1)}, Facts.Id, Ordinal};
  Order.Backend = Backend;
  Order.FirstByteBy = boot_clock::now() + Limit;
  Order.VisibleAfter = VisibleAfter;
  return Order;
}

void relay_harness::hangUpAndStart(const scripted_server &Server) {
  asio::post(Io, [this, Order = startOrder(Server.key(), 1)]() mutable {
    hangUp();
    Relay->handle(std::move(Order));
  });
}

void relay_harness::listenForTunnels(const std::string &TunnelAddress) {
  std::promise<bool> Listening;
  asio::post(Io, [&] { Listening.set_value(succeeded(Relay->listenForTunnels(TunnelAddress))); });
  ASSERT_TRUE(Listening.get_future().get()) << TunnelAddress;
}

void relay_harness::stop() {
  asio::post(Io, [this] { Relay->stop(); });
}

void relay_harness::start(const scripted_server &Server, std::uint32_t Ordinal, bool MayRetry,
                          std::vector<memory_hold> Holds) {
  start_attempt Order = startOrder(Server.key(), Ordinal);
  Order.MayRetry = MayRetry;
  Order.Holds = std::move(Holds);
  order(std::move(Order));
}

void relay_harness::start(const backend_key &Backend) { order(startOrder(Backend, 1)); }

void relay_harness::cancel(const scripted_server &Server, std::uint32_t Ordinal) {
  order(cancel_order{{startOrder(Server.key(), Ordinal).Attempt, Server.key()}, false});
}

void relay_harness::drainCrashUpdates() {
  CrashUpdateRing.drain(
      [this](crash_update &&Update) { CrashUpdates.push_back(std::move(Update)); });
}

bool relay_harness::hasCrashUpdate() {
  drainCrashUpdates();
  return !CrashUpdates.empty();
}

crash_update relay_harness::nextCrashUpdate() {
  if (!eventually([this] { return hasCrashUpdate(); }))
    throw std::runtime_error("the relay sent no crash update in time");
  crash_update First = std::move(CrashUpdates.front());
  CrashUpdates.erase(CrashUpdates.begin());
  return First;
}

relay_pause::relay_pause(relay_harness &Relay) {
  std::promise<void> Begun;
  asio::post(Relay.Io, [&Begun, Until = End.get_future().share()] {
    Begun.set_value();
    Until.wait();
  });
  Begun.get_future().wait();
}

relay_pause::~relay_pause() { End.set_value(); }

void relay_harness::setDeclared(bool Declared) {
  order(declaration_in_force{Declared ? Declaration : nullptr, mono_time::max()});
}

void relay_harness::setDeclarationStale() {
  order(declaration_in_force{Declaration, mono_time::max(), true});
}

void relay_harness::declareRoute(const std::string &PathPrefix) {
  Declaration = declarationWith(retry_mode::Resume, PathPrefix);
  setDeclared(true);
}

bool relay_harness::finishAfterAttempt() {
  const bool Completed = !nextAttemptEnd();
  finish(Completed ? final_outcome::Complete : final_outcome::Unknown,
         Completed ? failure_reason::None : failure_reason::BackendFailed);
  return Completed;
}

void relay_harness::finish(final_outcome Outcome, failure_reason Reason) {
  order(finish_request{Facts.Id, Outcome, Reason, std::chrono::seconds(1)});
}

} // namespace pollenstall

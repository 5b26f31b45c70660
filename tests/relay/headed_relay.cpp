/** @file headed_relay.cpp Sockets and threads around a relay under test. */
#include "headed_relay_base.h"

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

/// A protocol of the tests' own: names of headers that no other one has.
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
  Calls.WriteAttempt = [](const attempt_facts &Given, std::vector<header_line> &Into) {
    Into.push_back({"X-After", std::to_string(Given.LastEvent)});
    Into.push_back({"X-Left", std::to_string(Given.TimeLeft.count())});
  };
  Calls.ReadAnswer = [](const boost::beast::http::response_header<> &Head,
                        const std::string &SendName) {
    answer_facts Facts;
    Facts.NotRun = Head.count("X-Not-Run") > 0;
    Facts.OtherSend = Head["X-Send"] != SendName;
    return Facts;
  };
  Calls.TakeHold = [](const hold_facts &Hold) {
    return backend_call{"POST", "/hold/" + Hold.Name, {}};
  };
  Calls.EndHold = [](const std::string &Name) { return backend_call{"POST", "/free/" + Name, {}}; };
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
  return std::make_shared<const declaration_index>(std::move(Fleet));
}

} // namespace

std::string streamHead() {
  return "HTTP/1.1 200 OK\r\nX-Send: s1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

headed_relay::headed_relay(retry_mode Repeat, const relay_limits &Limits)
    : Declaration(declarationWith(Repeat)), Work(asio::make_work_guard(Io)), Ring(RingCapacity),
      NewsRing(RingCapacity) {
  Relay = relay_builder(Io, Ring)
              .process({host_name("entry"), incarnation(1)})
              .limits(Limits)
              .interface(testInterface())
              .crashNews(NewsRing)
              .onCallEnd([this](const call_record &Record) { Records.push_back(Record); })
              .build();
  Address = std::get<std::string>(Relay->listen("127.0.0.1:0"));
  Relay->handle(declaration_in_force{Declaration, mono_time::max()});
  Thread = std::thread([this] { Io.run(); });
}

headed_relay::~headed_relay() {
  hangUp();
  asio::post(Io, [this] { Relay->stop(); });
  Work.reset();
  Thread.join();
}

void headed_relay::drain() {
  asio::post(Io, [this] { Relay->beginDrain(); });
}

void headed_relay::connect() {
  Caller = std::make_unique<tcp::socket>(CallerIo);
  const std::size_t Colon = Address.rfind(':');
  Caller->connect({asio::ip::make_address(Address.substr(0, Colon)),
                   static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)))});
}

void headed_relay::send(const std::string &Body, const std::string &MoreHeaders,
                        const std::string &Path) {
  connect();
  sendText(*Caller, "POST " + Path + " HTTP/1.1\r\nHost: example.test\r\nX-Send: s1\r\n" +
                        MoreHeaders + "Connection: close\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

void headed_relay::call(const std::string &Body, const std::string &MoreHeaders) {
  send(Body, MoreHeaders);
  Facts = next<request_arrived>().Facts;
}

void headed_relay::hangUp() {
  boost::system::error_code Ignored;
  if (Caller)
    Caller->close(Ignored);
}

std::string headed_relay::answer() {
  std::string Bytes;
  boost::system::error_code Code;
  asio::read(*Caller, asio::dynamic_buffer(Bytes), Code);
  return Bytes;
}

dispatch_event headed_relay::nextEvent() {
  const auto Until = std::chrono::steady_clock::now() + Limit;
  while (Pending.empty() && std::chrono::steady_clock::now() < Until) {
    Ring.drain([this](dispatch_event &&Event) { Pending.push_back(std::move(Event)); });
    if (Pending.empty())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  if (Pending.empty())
    throw std::runtime_error("no event of the relay came in time");
  dispatch_event First = std::move(Pending.front());
  Pending.erase(Pending.begin());
  return First;
}

void headed_relay::order(relay_order Order) {
  auto Shared = std::make_shared<relay_order>(std::move(Order));
  asio::post(Io, [this, Shared] { Relay->handle(std::move(*Shared)); });
}

void headed_relay::settle() {
  constexpr int Rounds = 20;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::promise<void> Done;
    asio::post(Io, [&Done] { Done.set_value(); });
    Done.get_future().wait();
  }
}

start_attempt headed_relay::startOrder(const backend_key &Backend, std::uint32_t Ordinal) const {
  start_attempt Order;
  Order.Attempt = {{host_name("entry"), incarnation(1)}, Facts.Id, Ordinal};
  Order.Backend = Backend;
  Order.AnswerBy = boot_clock::now() + Limit;
  return Order;
}

void headed_relay::hangUpAndStart(const scripted_server &Server) {
  asio::post(Io, [this, Order = startOrder(Server.key(), 1)]() mutable {
    hangUp();
    Relay->handle(std::move(Order));
  });
}

void headed_relay::stop() {
  asio::post(Io, [this] { Relay->stop(); });
}

void headed_relay::start(const scripted_server &Server, std::uint32_t Ordinal, bool MayRetry,
                         std::vector<memory_hold> Holds) {
  start_attempt Order = startOrder(Server.key(), Ordinal);
  Order.MayRetry = MayRetry;
  Order.Holds = std::move(Holds);
  order(std::move(Order));
}

void headed_relay::start(const backend_key &Backend) { order(startOrder(Backend, 1)); }

void headed_relay::drainNews() {
  NewsRing.drain([this](crash_news &&One) { News.push_back(std::move(One)); });
}

bool headed_relay::hasNews() {
  drainNews();
  return !News.empty();
}

crash_news headed_relay::nextNews() {
  if (!eventually([this] { return hasNews(); }))
    throw std::runtime_error("the relay told nothing of crashes in time");
  crash_news First = std::move(News.front());
  News.erase(News.begin());
  return First;
}

void headed_relay::setDeclared(bool Declared) {
  order(declaration_in_force{Declared ? Declaration : nullptr, mono_time::max()});
}

void headed_relay::setLagging() {
  order(declaration_in_force{Declaration, mono_time::max(), true});
}

void headed_relay::declareRoute(const std::string &PathPrefix) {
  Declaration = declarationWith(retry_mode::Resume, PathPrefix);
  setDeclared(true);
}

void headed_relay::finish(final_outcome Outcome, failure_reason Reason) {
  order(finish_request{Facts.Id, Outcome, Reason, std::chrono::seconds(1)});
}

} // namespace pollenstall

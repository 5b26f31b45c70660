/** @file operator_server.cpp HTTP by Beast: one call at a time on each connection, all bounded. */
#include "operators/operator_server_base.h"

#include "address/address.h"
#include "operators/idle_order_base.h"
#include "operators/operator_routes_base.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <prometheus/counter.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <optional>
#include <thread>

namespace pollenstall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t MaxBodyBytes = 4U << 20U;
constexpr std::size_t MaxHeaderBytes = 16U << 10U;
/// The rest of the file limit is for the log, for peers and for entries.
constexpr std::size_t FileLimitPart = 2;
constexpr std::size_t LeastConnections = 64;
/// Where every connection is in a call, so many more are told to come back; others are closed.
constexpr std::size_t MostRefusals = 64;
constexpr std::size_t Threads = 2;
/// Handlers that are not merely open may block; they never run on the threads that serve the
/// platform.
constexpr std::size_t HandlerThreads = 4;
constexpr std::size_t MaxHandling = 32; ///< Of each lane.
constexpr std::size_t Lanes = 2;
constexpr std::chrono::seconds ReturnAfter{1};
constexpr std::chrono::seconds CrowdedInterval{1};
constexpr std::chrono::seconds CallLimit{30};
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
constexpr unsigned BadRequest = 400;
constexpr unsigned BodyTooLarge = 413;

std::size_t connectionBound(std::size_t Wanted) {
  if (Wanted > 0)
    return Wanted;
  rlimit Files{};
  if (getrlimit(RLIMIT_NOFILE, &Files) != 0 || Files.rlim_cur == RLIM_INFINITY)
    return LeastConnections;
  return std::max<std::size_t>(LeastConnections, Files.rlim_cur / FileLimitPart);
}

operator_reply comeBack(std::string_view Why) {
  operator_reply Reply{Unavailable, "application/json", errorBody("busy", Why)};
  Reply.RetryAfter = ReturnAfter;
  return Reply;
}

class session;

/// The calls of one lane.
struct handler_lane {
  asio::thread_pool Handlers{HandlerThreads};
  std::atomic<std::size_t> Handling{0}; ///< Calls that wait for a handler or run in one.
};

/// What the connections of one server share.
struct server_desk {
  operator_routes Routes;
  std::array<handler_lane, Lanes> Handlers{};
  std::atomic<std::size_t> Open{0}; ///< Connections.
  idle_order<session> Idle{};

  handler_lane &laneOf(std::string_view Method, std::string_view Target) {
    return Handlers[static_cast<std::size_t>(Routes.laneOf(Method, Target))];
  }
};

/// One connection; lives as long as an operation on it is pending.
class session : public std::enable_shared_from_this<session> {
public:
  session(tcp::socket Socket, server_desk &Shared) : Stream(std::move(Socket)), Desk(Shared) {
    ++Desk.Open;
  }
  session(const session &) = delete;
  session &operator=(const session &) = delete;
  ~session() { --Desk.Open; }

  /// The first read, on the strand: an answer may else be handled while it is still being started.
  void start() {
    asio::dispatch(Stream.get_executor(), [Self = shared_from_this()] { Self->read(); });
  }

  /// Answers without a call that there is no room, and ends.
  void refuse() {
    asio::dispatch(Stream.get_executor(), [Self = shared_from_this()] {
      Self->write(comeBack("too many connections"), false);
    });
  }

  /// @return Whether it waits for a call and nobody closes it yet: the caller of this does.
  bool claimForClosing() { return Waiting && !Closing.exchange(true); }

  /// A call that comes at the same moment goes on.
  void closeIfIdle() {
    asio::dispatch(Stream.get_executor(), [Self = shared_from_this()] {
      if (Self->Waiting)
        Self->Stream.close();
      Self->Closing = false;
    });
  }

private:
  void beginWaiting() {
    Place = Desk.Idle.add(shared_from_this());
    Waiting = true;
  }

  void endWaiting() {
    Waiting = false;
    Desk.Idle.remove(Place);
  }

  void read() {
    beginWaiting();
    Parser.emplace();
    Parser->body_limit(MaxBodyBytes);
    Parser->header_limit(MaxHeaderBytes);
    Stream.expires_after(CallLimit);
    http::async_read(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) { Self->onRead(Error); });
  }

  void onRead(beast::error_code Error) {
    endWaiting();
    if (Error == http::error::body_limit)
      return write({BodyTooLarge, "application/json", errorBody("too_large", "body over 4 MiB")},
                   false);
    if (Error && Error.category() == make_error_code(http::error::bad_method).category() &&
        Error != http::error::end_of_stream && Error != http::error::partial_message)
      return write({BadRequest, "application/json", errorBody("bad_request", "not valid HTTP")},
                   false);
    if (Error)
      return;
    dispatch(Parser->release());
  }

  void dispatch(http::request<http::string_body> Request) {
    const bool KeepAlive = Request.keep_alive();
    const std::string_view Method(Request.method_string().data(), Request.method_string().size());
    const std::string_view Target(Request.target().data(), Request.target().size());
    if (Desk.Routes.answersAtOnce(Method, Target))
      return write(answerTo(std::move(Request)), KeepAlive);
    handler_lane &Lane = Desk.laneOf(Method, Target);
    if (Lane.Handling >= MaxHandling)
      return write(comeBack("too many calls at once"), KeepAlive);
    ++Lane.Handling;
    asio::post(Lane.Handlers,
               [Self = shared_from_this(), &Lane, Request = std::move(Request),
                KeepAlive]() mutable { Self->handle(Lane, std::move(Request), KeepAlive); });
  }

  /// Runs on a handler's thread.
  void handle(handler_lane &Lane, http::request<http::string_body> Request, bool KeepAlive) {
    operator_reply Reply = answerTo(std::move(Request));
    --Lane.Handling;
    asio::post(Stream.get_executor(),
               [Self = shared_from_this(), Reply = std::move(Reply), KeepAlive]() mutable {
                 Self->write(std::move(Reply), KeepAlive);
               });
  }

  operator_reply answerTo(http::request<http::string_body> Request) const {
    const std::string Authorization(Request[http::field::authorization]);
    return Desk.Routes.answer(std::string(Request.method_string()), std::string(Request.target()),
                              Authorization, std::move(Request.body()));
  }

  void write(operator_reply Reply, bool KeepAlive) {
    Response.emplace(static_cast<http::status>(Reply.Status), 11);
    Response->set(http::field::content_type, Reply.ContentType);
    if (!Reply.Location.empty())
      Response->set(http::field::location, Reply.Location);
    if (Reply.RetryAfter > std::chrono::seconds::zero())
      Response->set(http::field::retry_after, std::to_string(Reply.RetryAfter.count()));
    Response->keep_alive(KeepAlive);
    Response->body() = std::move(Reply.Body);
    Response->prepare_payload();
    Stream.expires_after(CallLimit);
    http::async_write(Stream, *Response,
                      [Self = shared_from_this(), KeepAlive](beast::error_code Error, std::size_t) {
                        if (!Error && KeepAlive)
                          Self->read();
                      });
  }

  beast::tcp_stream Stream;
  server_desk &Desk;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<http::response<http::string_body>> Response;
  idle_order<session>::place Place; ///< While it waits for a call.
  std::atomic<bool> Waiting{false};
  std::atomic<bool> Closing{false};
};

} // namespace

/// Owns the listener and its threads.
class operator_server::state {
public:
  explicit state(operator_server_plan Plan)
      : Most(connectionBound(Plan.MaxConnections)), OnCrowded(std::move(Plan.OnCrowded)),
        Registry(Plan.Registry ? Plan.Registry : std::make_shared<prometheus::Registry>()),
        GaveWay(counter("pollenstall_operator_connections_gave_way_total",
                        "Idle connections closed for others at the bound")),
        Refused(counter("pollenstall_operator_connections_refused_total",
                        "Connections turned away since all others were in calls")),
        Desk{operator_routes(std::move(Plan.Routes), std::move(Plan.KeyHash))}, Acceptor(Context) {}
  state(const state &) = delete;
  state &operator=(const state &) = delete;

  ~state() {
    for (handler_lane &Lane : Desk.Handlers)
      Lane.Handlers.join();
    Context.stop();
    for (std::thread &Worker : Workers)
      Worker.join();
  }

  result<done, operator_server_error> start(const std::string &Address) {
    const auto Listening = listenOn(Acceptor, Address);
    if (!succeeded(Listening))
      return operator_server_error{errorOf(Listening)};
    accept();
    for (std::size_t Count = 0; Count < Threads; ++Count)
      Workers.emplace_back([this] { Context.run(); });
    return done{};
  }

  [[nodiscard]] std::string address() const {
    const auto Endpoint = Acceptor.local_endpoint();
    const std::string Host = Endpoint.address().to_string();
    const std::string Shown = Endpoint.address().is_v6() ? "[" + Host + "]" : Host;
    return Shown + ":" + std::to_string(Endpoint.port());
  }

private:
  void accept() {
    Acceptor.async_accept(asio::make_strand(Context),
                          [this](boost::system::error_code Error, tcp::socket Socket) {
                            onAccept(Error, std::move(Socket));
                          });
  }

  void onAccept(boost::system::error_code Error, tcp::socket Socket) {
    if (Error == asio::error::operation_aborted)
      return;
    if (!Error)
      admit(std::move(Socket));
    accept();
  }

  void admit(tcp::socket Socket) {
    const std::size_t Open = Desk.Open;
    if (Open < Most)
      return std::make_shared<session>(std::move(Socket), Desk)->start();
    // Backend servers keep their connections between two notices. They lose little by a new one,
    // and an operator who found no room could change nothing.
    if (const auto Longest = Desk.Idle.longest()) {
      Longest->closeIfIdle();
      GaveWay.Increment();
      return std::make_shared<session>(std::move(Socket), Desk)->start();
    }
    Refused.Increment();
    noteCrowded(Open);
    if (Open < Most + MostRefusals)
      std::make_shared<session>(std::move(Socket), Desk)->refuse();
  }

  void noteCrowded(std::size_t Open) {
    const auto Now = std::chrono::steady_clock::now();
    if (!OnCrowded || (CrowdedAt && Now - *CrowdedAt < CrowdedInterval))
      return;
    CrowdedAt = Now;
    OnCrowded(Open);
  }

  prometheus::Counter &counter(const char *Name, const char *Help) {
    return prometheus::BuildCounter().Name(Name).Help(Help).Register(*Registry).Add({});
  }

  const std::size_t Most;
  const std::function<void(std::size_t)> OnCrowded;
  std::optional<std::chrono::steady_clock::time_point> CrowdedAt;
  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Counter &GaveWay;
  prometheus::Counter &Refused;
  server_desk Desk;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::vector<std::thread> Workers;
};

operator_server::operator_server(std::unique_ptr<state> Started) : State(std::move(Started)) {}

operator_server::~operator_server() = default;

std::string operator_server::address() const { return State->address(); }

operator_server_builder::operator_server_builder(std::string Address, std::string KeyHash)
    : Plan{std::move(Address), std::move(KeyHash), {}, 0, {}, {}} {}

operator_server_builder &operator_server_builder::route(std::string Method, std::string Path,
                                                        operator_access Access,
                                                        operator_handler Handler, call_lane Lane) {
  Plan.Routes.push_back({std::move(Method), std::move(Path), Access, std::move(Handler), Lane});
  return *this;
}

operator_server_builder &operator_server_builder::maxConnections(std::size_t Count) {
  Plan.MaxConnections = Count;
  return *this;
}

operator_server_builder &
operator_server_builder::onCrowded(std::function<void(std::size_t Open)> Hook) {
  Plan.OnCrowded = std::move(Hook);
  return *this;
}

operator_server_builder &operator_server_builder::health() {
  return route("GET", "/healthz", operator_access::Open, [](const operator_call &) {
    return operator_reply{Ok, "text/plain", "ok\n"};
  });
}

operator_server_builder &operator_server_builder::readiness(std::function<bool()> Ready) {
  return route("GET", "/readyz", operator_access::Open,
               [Ready = std::move(Ready)](const operator_call &) {
                 return Ready() ? operator_reply{Ok, "text/plain", "ready\n"}
                                : operator_reply{Unavailable, "text/plain", "not ready\n"};
               });
}

operator_server_builder &
operator_server_builder::metrics(std::shared_ptr<prometheus::Registry> Registry) {
  Plan.Registry = Registry;
  return route("GET", "/metrics", operator_access::Open,
               [Registry = std::move(Registry)](const operator_call &) {
                 const prometheus::TextSerializer Serializer;
                 return operator_reply{Ok, "text/plain; version=0.0.4; charset=utf-8",
                                       Serializer.Serialize(Registry->Collect())};
               });
}

operator_server_builder &operator_server_builder::dump(std::function<std::string()> Dump) {
  return route("GET", "/dump", operator_access::KeyNeeded,
               [Dump = std::move(Dump)](const operator_call &) {
                 return operator_reply{Ok, "application/json", Dump()};
               });
}

result<std::unique_ptr<operator_server>, operator_server_error> operator_server_builder::start() {
  const std::string Address = Plan.Address;
  auto State = std::make_unique<operator_server::state>(std::move(Plan));
  const auto Started = State->start(Address);
  if (!succeeded(Started))
    return errorOf(Started);
  return std::unique_ptr<operator_server>(new operator_server(std::move(State)));
}

} // namespace pollenstall

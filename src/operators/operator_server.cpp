/** @file operator_server.cpp Serves HTTP with Beast: one call at a time on each connection, with
 * limits on size, time and concurrency. */
#include "operators/operator_server_base.h"

#include "address/address.h"
#include "intake/intake.h"
#include "message_feed/message_feed.h"
#include "operators/idle_connections_base.h"
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
#include <mutex>
#include <optional>
#include <thread>

namespace pollenstall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Memory of a connection beside its call.
constexpr std::size_t ConnectionBytes = 8U << 10U;
/// One call with the largest body fits.
constexpr std::size_t MinCallMemory = 16U << 20U;
constexpr std::size_t MaxHeaderBytes = 16U << 10U;
/// Read at a time on each connection.
constexpr std::size_t InputBytes = 4U << 10U;
/// The rest of the file limit is reserved for the log, peers and entries.
constexpr std::size_t FileLimitDivisor = 2;
constexpr std::size_t MinConnections = 64;
/// If no connection is idle, this many connections over the limit get a 503; more are closed
/// without an answer.
constexpr std::size_t MaxRefusals = 64;
constexpr std::size_t IoThreads = 2;
/// Handlers of routes other than operator_access::Open may block, so they do not run on the threads
/// that serve the platform.
constexpr std::size_t HandlerThreads = 4;
constexpr std::size_t MaxCallsInFlight = 32; ///< In each pool.
constexpr std::size_t PoolCount = 2;
constexpr std::chrono::seconds RetryDelay{1};
constexpr std::chrono::seconds LimitReportInterval{1};
constexpr std::chrono::seconds CallTimeout{30};
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
constexpr unsigned BadRequest = 400;
constexpr unsigned BodyTooLarge = 413;

std::size_t connectionLimit(std::size_t Configured) {
  if (Configured > 0)
    return Configured;
  rlimit Files{};
  if (getrlimit(RLIMIT_NOFILE, &Files) != 0 || Files.rlim_cur == RLIM_INFINITY)
    return MinConnections;
  return std::max<std::size_t>(MinConnections, Files.rlim_cur / FileLimitDivisor);
}

operator_reply busyReply(std::string_view Message) {
  operator_reply Reply{Unavailable, "application/json", errorBody("busy", Message)};
  Reply.RetryAfter = RetryDelay;
  return Reply;
}

class session;

/// A complete call as it was received.
struct received_call {
  std::string Method;
  std::string Target;
  std::string Authorization;
  std::string Body;
};

/// The handler threads of one call_pool.
struct handler_pool {
  asio::thread_pool Handlers{HandlerThreads};
  std::atomic<std::size_t> CallsInFlight{0}; ///< Queued and running calls.
};

/// Resources shared by the connections of one server.
struct session_resources {
  session_resources(operator_routes Declared, std::size_t CallMemory)
      : Routes(std::move(Declared)), Intake(CallMemory) {}

  operator_routes Routes;
  std::array<handler_pool, PoolCount> Handlers{};
  std::atomic<std::size_t> OpenConnections{0}; ///< Number of connections.
  idle_connections<session> IdleConnections{};
  std::mutex IntakeGuard{};
  intake_account Intake;

  handler_pool &poolOf(std::string_view Method, std::string_view Target) {
    return Handlers[static_cast<std::size_t>(Routes.poolOf(Method, Target))];
  }
};

/// One connection; exists as long as an operation on it is pending.
class session : public std::enable_shared_from_this<session> {
public:
  session(tcp::socket Socket, session_resources &SharedResources)
      : Stream(std::move(Socket)), Resources(SharedResources) {
    ++Resources.OpenConnections;
    const std::lock_guard<std::mutex> Lock(Resources.IntakeGuard);
    Share.emplace(
        Resources.Intake, [this] { endReception(); }, ConnectionBytes);
  }
  session(const session &) = delete;
  session &operator=(const session &) = delete;
  ~session() {
    --Resources.OpenConnections;
    const std::lock_guard<std::mutex> Lock(Resources.IntakeGuard);
    Share.reset();
  }

  /// Starts the first read on the strand. Otherwise its completion could run while the read is
  /// still being started.
  void start() {
    asio::dispatch(Stream.get_executor(), [Self = shared_from_this()] { Self->read(); });
  }

  /// Sends a 503 without reading a call, then closes the connection.
  void refuse() {
    asio::dispatch(Stream.get_executor(), [Self = shared_from_this()] {
      Self->write(busyReply("too many connections"), false);
    });
  }

  /// Claims an idle connection for closing. @return True if it waits for a call and nobody else has
  /// claimed it; the caller must then close it.
  bool claimForClosing() { return AwaitingCall && !Closing.exchange(true); }

  /// Closes the connection unless a call has arrived in the meantime.
  void closeIfIdle() {
    asio::dispatch(Stream.get_executor(), [Self = shared_from_this()] {
      if (Self->AwaitingCall)
        Self->Stream.close();
      Self->Closing = false;
    });
  }

private:
  void beginIdle() {
    IdlePosition = Resources.IdleConnections.add(shared_from_this());
    AwaitingCall = true;
  }

  void endIdle() {
    AwaitingCall = false;
    Resources.IdleConnections.remove(IdlePosition);
  }

  void read() {
    beginIdle();
    const std::string Received = Feed ? Feed->takeRemainder() : std::string();
    Feed.emplace(MaxHeaderBytes);
    BodyLimit.reset();
    {
      const std::lock_guard<std::mutex> Lock(Resources.IntakeGuard);
      Share->settle(0);
      Share->beginReceiving(boot_clock::now());
    }
    Stream.expires_after(CallTimeout);
    receive(Received);
  }

  void readMore() {
    Stream.async_read_some(asio::buffer(Input),
                           [Self = shared_from_this()](beast::error_code Error, std::size_t Count) {
                             if (!Error)
                               return Self->receive({Self->Input.data(), Count});
                             Self->endIdle();
                             if (Self->gaveWay())
                               Self->write(busyReply("no memory for the call"), false);
                           });
  }

  /// Ends the reception of a call for lack of memory; may run on the thread of another connection.
  void endReception() {
    asio::post(Stream.get_executor(), [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->Stream.cancel();
    });
  }

  [[nodiscard]] bool gaveWay() {
    const std::lock_guard<std::mutex> Lock(Resources.IntakeGuard);
    return Share->gaveWay();
  }

  /// @return Whether there is memory for these bytes of the call.
  bool takeMemory(std::size_t More) {
    const std::size_t Bytes = Feed->makeRoom(More);
    const std::lock_guard<std::mutex> Lock(Resources.IntakeGuard);
    return Share->resize(Bytes, boot_clock::now());
  }

  void receive(std::string_view Bytes) {
    if (!takeMemory(Bytes.size())) {
      endIdle();
      return write(busyReply("no memory for the call"), false);
    }
    const bool Valid = Feed->feed(Bytes);
    if (std::optional<operator_reply> Refusal = Valid ? refusal() : invalidMessage()) {
      endIdle();
      return write(std::move(*Refusal), false);
    }
    if (!Feed->done())
      return readMore();
    endIdle();
    dispatch();
  }

  static operator_reply invalidMessage() {
    return {BadRequest, "application/json", errorBody("bad_request", "not valid HTTP")};
  }

  /// @return Why the call is refused, before it is complete where possible; nothing if it is not.
  [[nodiscard]] std::optional<operator_reply> refusal() {
    if (!Feed->headDone())
      return std::nullopt;
    const bool IsFirstCheck = !BodyLimit;
    const auto &Message = Feed->message().get();
    const std::string Method(Message.method_string());
    const std::string Target(Message.target());
    if (IsFirstCheck)
      BodyLimit = Resources.Routes.bodyLimit(Method, Target);
    const auto Length = Feed->message().content_length();
    if (Feed->body().size() > *BodyLimit || (Length && *Length > *BodyLimit))
      return operator_reply{
          BodyTooLarge, "application/json",
          errorBody("too_large", "body over " + std::to_string(*BodyLimit) + " bytes")};
    // A complete call is refused with its answer.
    if (!IsFirstCheck || Feed->done())
      return std::nullopt;
    return Resources.Routes.refuse(Method, Target,
                                   std::string(Message[http::field::authorization]));
  }

  received_call takeCall() {
    const auto &Message = Feed->message().get();
    return {std::string(Message.method_string()), std::string(Message.target()),
            std::string(Message[http::field::authorization]), std::move(Feed->body())};
  }

  void dispatch() {
    const bool KeepAlive = Feed->message().keep_alive();
    received_call Call = takeCall();
    {
      const std::lock_guard<std::mutex> Lock(Resources.IntakeGuard);
      Share->settle(Call.Body.capacity());
    }
    if (Resources.Routes.isNonBlocking(Call.Method, Call.Target))
      return write(answerTo(std::move(Call)), KeepAlive);
    handler_pool &Pool = Resources.poolOf(Call.Method, Call.Target);
    if (Pool.CallsInFlight >= MaxCallsInFlight)
      return write(busyReply("too many calls at once"), KeepAlive);
    ++Pool.CallsInFlight;
    asio::post(Pool.Handlers,
               [Self = shared_from_this(), &Pool, Call = std::move(Call), KeepAlive]() mutable {
                 Self->handle(Pool, std::move(Call), KeepAlive);
               });
  }

  /// Answers a call; runs on a thread of the handler pool.
  void handle(handler_pool &Pool, received_call Call, bool KeepAlive) {
    operator_reply Reply = answerTo(std::move(Call));
    --Pool.CallsInFlight;
    asio::post(Stream.get_executor(),
               [Self = shared_from_this(), Reply = std::move(Reply), KeepAlive]() mutable {
                 Self->write(std::move(Reply), KeepAlive);
               });
  }

  operator_reply answerTo(received_call Call) const {
    return Resources.Routes.answer(Call.Method, Call.Target, Call.Authorization,
                                   std::move(Call.Body));
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
    Stream.expires_after(CallTimeout);
    http::async_write(Stream, *Response,
                      [Self = shared_from_this(), KeepAlive](beast::error_code Error, std::size_t) {
                        if (!Error && KeepAlive)
                          Self->read();
                      });
  }

  beast::tcp_stream Stream;
  session_resources &Resources;
  std::array<char, InputBytes> Input{};
  std::optional<message_feed<true>> Feed; ///< Replaced for each call.
  std::optional<std::size_t> BodyLimit;   ///< Of the call whose head was checked.
  std::optional<intake_share> Share;      ///< Guarded, as the account is.
  std::optional<http::response<http::string_body>> Response;
  idle_connections<session>::position IdlePosition; ///< Valid while it waits for a call.
  std::atomic<bool> AwaitingCall{false};
  std::atomic<bool> Closing{false};
};

} // namespace

/// Owns the listener and its threads.
class operator_server::state {
public:
  explicit state(operator_server_plan Plan)
      : ConnectionLimit(connectionLimit(Plan.MaxConnections)),
        OnConnectionLimit(std::move(Plan.OnConnectionLimit)),
        Registry(Plan.Registry ? Plan.Registry : std::make_shared<prometheus::Registry>()),
        EvictedConnections(
            counter("pollenstall_operator_connections_gave_way_total",
                    "Idle connections closed to admit others at the connection limit")),
        RefusedConnections(counter("pollenstall_operator_connections_refused_total",
                                   "Connections refused because all others were in calls")),
        Resources(operator_routes(std::move(Plan.Routes), std::move(Plan.KeyHash)),
                  Plan.CallMemory),
        Acceptor(Context) {}
  state(const state &) = delete;
  state &operator=(const state &) = delete;

  ~state() {
    for (handler_pool &Pool : Resources.Handlers)
      Pool.Handlers.join();
    Context.stop();
    for (std::thread &Thread : IoThreadList)
      Thread.join();
  }

  result<done, operator_server_error> start(const std::string &Address) {
    const auto Bound = listenOn(Acceptor, Address);
    if (!succeeded(Bound))
      return operator_server_error{errorOf(Bound)};
    accept();
    for (std::size_t Count = 0; Count < IoThreads; ++Count)
      IoThreadList.emplace_back([this] { Context.run(); });
    return done{};
  }

  [[nodiscard]] std::string address() const {
    const auto Endpoint = Acceptor.local_endpoint();
    const std::string Host = Endpoint.address().to_string();
    const std::string HostText = Endpoint.address().is_v6() ? "[" + Host + "]" : Host;
    return HostText + ":" + std::to_string(Endpoint.port());
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
    const std::size_t OpenConnections = Resources.OpenConnections;
    if (OpenConnections < ConnectionLimit)
      return std::make_shared<session>(std::move(Socket), Resources)->start();
    // Backend servers keep idle connections between two announcements. Reconnecting costs them
    // little, while an operator without a connection could change nothing.
    if (const auto Evicted = Resources.IdleConnections.claimLongestIdle()) {
      Evicted->closeIfIdle();
      EvictedConnections.Increment();
      return std::make_shared<session>(std::move(Socket), Resources)->start();
    }
    RefusedConnections.Increment();
    reportConnectionLimit(OpenConnections);
    if (OpenConnections < ConnectionLimit + MaxRefusals)
      std::make_shared<session>(std::move(Socket), Resources)->refuse();
  }

  void reportConnectionLimit(std::size_t OpenConnections) {
    const auto Now = std::chrono::steady_clock::now();
    if (!OnConnectionLimit || (LimitReportedAt && Now - *LimitReportedAt < LimitReportInterval))
      return;
    LimitReportedAt = Now;
    OnConnectionLimit(OpenConnections);
  }

  prometheus::Counter &counter(const char *Name, const char *Help) {
    return prometheus::BuildCounter().Name(Name).Help(Help).Register(*Registry).Add({});
  }

  const std::size_t ConnectionLimit;
  const std::function<void(std::size_t)> OnConnectionLimit;
  std::optional<std::chrono::steady_clock::time_point> LimitReportedAt;
  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Counter &EvictedConnections;
  prometheus::Counter &RefusedConnections;
  session_resources Resources;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::vector<std::thread> IoThreadList;
};

operator_server::operator_server(std::unique_ptr<state> Started) : State(std::move(Started)) {}

operator_server::~operator_server() = default;

std::string operator_server::address() const { return State->address(); }

operator_server_builder::operator_server_builder(std::string Address, std::string KeyHash) {
  Plan.Address = std::move(Address);
  Plan.KeyHash = std::move(KeyHash);
}

operator_server_builder &operator_server_builder::route(std::string Method, std::string Path,
                                                        operator_access Access,
                                                        operator_handler Handler, call_pool Pool) {
  Plan.Routes.push_back({std::move(Method), std::move(Path), Access, std::move(Handler), Pool});
  return *this;
}

operator_server_builder &operator_server_builder::processMemory(double ProcessBytes, double Part) {
  if (ProcessBytes > 0)
    Plan.CallMemory = std::max(MinCallMemory, static_cast<std::size_t>(ProcessBytes * Part));
  return *this;
}

operator_server_builder &operator_server_builder::maxConnections(std::size_t Count) {
  Plan.MaxConnections = Count;
  return *this;
}

operator_server_builder &
operator_server_builder::onConnectionLimit(std::function<void(std::size_t OpenConnections)> Hook) {
  Plan.OnConnectionLimit = std::move(Hook);
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

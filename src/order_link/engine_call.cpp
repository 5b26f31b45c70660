/** @file engine_call.cpp Blocking HTTP calls with time limits, and the kernel's part of the bound.
 */
#include "order_link/engine_call_func.h"

#include "address/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <netinet/tcp.h>

namespace pollenstall {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::size_t MaxAnswerBytes = 1U << 20U;
constexpr unsigned HttpVersion = 11;

using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// One connection, used for one exchange.
class engine_connection {
public:
  explicit engine_connection(const engine_call_times &Limits) : Times(Limits), Stream(Io) {}

  bool connect(const backend_address &Engine) {
    const auto Endpoint = tcpEndpoint(Engine.str());
    if (!Endpoint)
      return false;
    Stream.expires_after(Times.Connect);
    Stream.async_connect(*Endpoint, [this](beast::error_code Code) { Failure = Code; });
    return finish() && boundSendBuffer();
  }

  /// @return Whether a whole answer came; answer() has it.
  bool exchange(http::request<http::string_body> &Request) {
    Stream.expires_after(Times.Answer);
    http::async_write(Stream, Request,
                      [this](beast::error_code Code, std::size_t) { Failure = Code; });
    if (!finish())
      return false;
    Parser.body_limit(MaxAnswerBytes);
    http::async_read(Stream, Buffer, Parser,
                     [this](beast::error_code Code, std::size_t) { Failure = Code; });
    return finish();
  }

  [[nodiscard]] const http::response<http::string_body> &answer() const { return Parser.get(); }

private:
  /// Bytes that a cut keeps in the send buffer would arrive when it heals, long after this leader
  /// was replaced. The kernel drops them after the time limit, also while this process is stopped;
  /// and closing resets the connection instead of sending the rest.
  bool boundSendBuffer() {
    beast::error_code Code;
    Stream.socket().set_option(user_timeout(static_cast<int>(Times.Answer.count())), Code);
    if (!Code)
      Stream.socket().set_option(boost::asio::socket_base::linger(true, 0), Code);
    if (!Code)
      Stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), Code);
    return !Code;
  }

  bool finish() {
    Io.restart();
    Io.run();
    return !Failure;
  }

  engine_call_times Times;
  boost::asio::io_context Io;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  beast::error_code Failure;
};

http::request<http::string_body> requestFor(http::verb Verb, const char *Target,
                                            const backend_address &Engine) {
  http::request<http::string_body> Request(Verb, Target, HttpVersion);
  Request.set(http::field::host, Engine.str());
  Request.set(http::field::connection, "close");
  return Request;
}

model_copy copyFrom(const std::string &Listed) {
  const std::size_t At = Listed.rfind('@');
  if (At == std::string::npos)
    return {model_name(Listed), model_version()};
  return {model_name(Listed.substr(0, At)), model_version(Listed.substr(At + 1))};
}

std::optional<std::uint64_t> numberIn(const json::object &Object, const char *Key) {
  const json::value *Value = Object.if_contains(Key);
  if (Value == nullptr || !Value->is_number())
    return std::nullopt;
  json::error_code Code;
  const auto Number = Value->to_number<std::uint64_t>(Code);
  return Code ? std::nullopt : std::optional(Number);
}

} // namespace

result<engine_report, engine_call_error> engineReportFrom(std::string_view Body) {
  json::error_code Code;
  const json::value Parsed = json::parse(json::string_view(Body.data(), Body.size()), Code);
  const json::object *Object = Code ? nullptr : Parsed.if_object();
  const json::value *Models = Object == nullptr ? nullptr : Object->if_contains("models");
  if (Models == nullptr || !Models->is_array())
    return engine_call_error::Malformed;
  const auto Fence = numberIn(*Object, "fence");
  const auto Incarnation = numberIn(*Object, "incarnation");
  if (!Fence || !Incarnation)
    return engine_call_error::Malformed;
  engine_report Report{{}, fencing_token(*Fence), incarnation(*Incarnation)};
  for (const json::value &Model : Models->get_array()) {
    if (!Model.is_string())
      return engine_call_error::Malformed;
    Report.Loaded.insert(copyFrom(std::string(Model.get_string())));
  }
  return Report;
}

result<engine_report, engine_call_error> readEngineState(const backend_address &Engine,
                                                         const engine_call_times &Times) {
  engine_connection Connection(Times);
  auto Request = requestFor(http::verb::get, "/v1/state", Engine);
  if (!Connection.connect(Engine) || !Connection.exchange(Request))
    return engine_call_error::Unreachable;
  if (Connection.answer().result() != http::status::ok)
    return engine_call_error::Malformed;
  return engineReportFrom(Connection.answer().body());
}

std::string orderBody(const planned_order &Order, fencing_token Fence) {
  const bool Unloads = Order.Kind == order_kind::Unload;
  return json::serialize(json::object{{"fence", Fence.value()},
                                      {"order", Unloads ? "unload" : "load"},
                                      {"model", Order.Copy.Model.str()},
                                      {"version", Order.Copy.Version.str()}});
}

order_outcome sendOrder(const planned_order &Order, fencing_token Fence,
                        const engine_call_times &Times, const std::function<bool()> &MayWrite) {
  const backend_address &Engine = Order.Engine.Address;
  engine_connection Connection(Times);
  auto Request = requestFor(http::verb::post, "/v1/orders", Engine);
  Request.set(http::field::content_type, "application/json");
  Request.body() = orderBody(Order, Fence);
  Request.prepare_payload();
  if (!Connection.connect(Engine) || !MayWrite())
    return order_outcome::NotSent;
  if (!Connection.exchange(Request))
    return order_outcome::Unknown;
  const bool Done = Connection.answer().result() == http::status::ok;
  return Done ? order_outcome::Done : order_outcome::Refused;
}

} // namespace pollenstall

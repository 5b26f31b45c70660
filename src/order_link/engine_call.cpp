/** @file engine_call.cpp Blocking HTTP calls to engines, limited by timers and TCP_USER_TIMEOUT. */
#include "order_link/engine_call_func.h"

#include "address/address.h"
#include "message_feed/message_feed.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <netinet/tcp.h>

#include <array>

namespace pollenstall {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::size_t MaxResponseBytes = 1U << 20U;
constexpr std::size_t MaxHeaderBytes = 16U << 10U;
constexpr unsigned HttpVersion = 11;
constexpr unsigned Ok = 200;

using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// A connection for one request and its response.
class engine_connection {
public:
  explicit engine_connection(const engine_call_timeouts &CallTimeouts)
      : Timeouts(CallTimeouts), Stream(Io) {}

  bool connect(const backend_address &Engine) {
    const auto Endpoint = tcpEndpoint(Engine.str());
    if (!Endpoint)
      return false;
    Stream.expires_after(Timeouts.Connect);
    Stream.async_connect(*Endpoint, [this](beast::error_code Code) { Error = Code; });
    return runUntilDone() && setSocketOptions();
  }

  /// Sends a request and reads the response. @return Whether a complete response arrived;
  /// status() and body() then return its parts.
  bool exchange(http::request<http::string_body> &Request) {
    Stream.expires_after(Timeouts.Response);
    http::async_write(Stream, Request,
                      [this](beast::error_code Code, std::size_t) { Error = Code; });
    if (!runUntilDone())
      return false;
    while (!Feed.done())
      if (!readMore())
        return false;
    return true;
  }

  [[nodiscard]] unsigned status() { return Feed.message().get().result_int(); }
  [[nodiscard]] const std::string &body() { return Feed.body(); }

private:
  /// Reads a part of the response. @return Whether it may still become complete.
  bool readMore() {
    std::size_t Count = 0;
    Stream.async_read_some(boost::asio::buffer(Input),
                           [&](beast::error_code Code, std::size_t Read) {
                             Error = Code;
                             Count = Read;
                           });
    if (!runUntilDone())
      return Error == boost::asio::error::eof && Feed.finish();
    return Feed.feed({Input.data(), Count}) && Feed.body().size() <= MaxResponseBytes;
  }

  /// Limits how long the kernel may keep unsent bytes. Bytes that a network partition keeps in the
  /// send buffer would otherwise arrive after it heals, long after this leader was replaced. With
  /// TCP_USER_TIMEOUT the kernel drops them even while this process is stopped, and with a linger
  /// time of 0 closing resets the connection instead of sending the remaining bytes.
  bool setSocketOptions() {
    beast::error_code Code;
    Stream.socket().set_option(user_timeout(static_cast<int>(Timeouts.Response.count())), Code);
    if (!Code)
      Stream.socket().set_option(boost::asio::socket_base::linger(true, 0), Code);
    if (!Code)
      Stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), Code);
    return !Code;
  }

  bool runUntilDone() {
    Io.restart();
    Io.run();
    return !Error;
  }

  engine_call_timeouts Timeouts;
  boost::asio::io_context Io;
  beast::tcp_stream Stream;
  std::array<char, 4096> Input{};
  answer_feed Feed{MaxHeaderBytes};
  beast::error_code Error;
};

http::request<http::string_body> makeRequest(http::verb Verb, const char *Target,
                                             const backend_address &Engine) {
  http::request<http::string_body> Request(Verb, Target, HttpVersion);
  Request.set(http::field::host, Engine.str());
  Request.set(http::field::connection, "close");
  return Request;
}

/// Parses "model" or "model@version"; the last "@" separates the version.
versioned_model parseVersionedModel(const std::string &Text) {
  const std::size_t Separator = Text.rfind('@');
  if (Separator == std::string::npos)
    return {model_name(Text), model_version()};
  return {model_name(Text.substr(0, Separator)), model_version(Text.substr(Separator + 1))};
}

std::optional<std::uint64_t> findNumber(const json::object &Object, const char *Key) {
  const json::value *Value = Object.if_contains(Key);
  if (Value == nullptr || !Value->is_number())
    return std::nullopt;
  json::error_code Code;
  const auto Number = Value->to_number<std::uint64_t>(Code);
  return Code ? std::nullopt : std::optional(Number);
}

} // namespace

result<engine_state_response, engine_call_error> parseEngineStateResponse(std::string_view Body) {
  json::error_code Code;
  const json::value Parsed = json::parse(json::string_view(Body.data(), Body.size()), Code);
  const json::object *Object = Code ? nullptr : Parsed.if_object();
  const json::value *Models = Object == nullptr ? nullptr : Object->if_contains("models");
  if (Models == nullptr || !Models->is_array())
    return engine_call_error::Malformed;
  const auto Fence = findNumber(*Object, "fence");
  const auto Incarnation = findNumber(*Object, "incarnation");
  if (!Fence || !Incarnation)
    return engine_call_error::Malformed;
  engine_state_response Report{{}, fencing_token(*Fence), incarnation(*Incarnation)};
  for (const json::value &Model : Models->get_array()) {
    if (!Model.is_string())
      return engine_call_error::Malformed;
    Report.Loaded.insert(parseVersionedModel(std::string(Model.get_string())));
  }
  return Report;
}

result<engine_state_response, engine_call_error>
readEngineState(const backend_address &Engine, const engine_call_timeouts &Timeouts) {
  engine_connection Connection(Timeouts);
  auto Request = makeRequest(http::verb::get, "/v1/state", Engine);
  if (!Connection.connect(Engine) || !Connection.exchange(Request))
    return engine_call_error::Unreachable;
  if (Connection.status() != Ok)
    return engine_call_error::Malformed;
  return parseEngineStateResponse(Connection.body());
}

std::string encodeOrder(const planned_order &Order, fencing_token Fence) {
  const bool IsUnload = Order.Kind == order_kind::Unload;
  return json::serialize(json::object{{"fence", Fence.value()},
                                      {"order", IsUnload ? "unload" : "load"},
                                      {"model", Order.Copy.Model.str()},
                                      {"version", Order.Copy.Version.str()}});
}

order_outcome sendOrder(const planned_order &Order, fencing_token Fence,
                        const engine_call_timeouts &Timeouts,
                        const std::function<bool()> &MayWrite) {
  const backend_address &Engine = Order.Engine.Address;
  engine_connection Connection(Timeouts);
  auto Request = makeRequest(http::verb::post, "/v1/orders", Engine);
  Request.set(http::field::content_type, "application/json");
  Request.body() = encodeOrder(Order, Fence);
  Request.prepare_payload();
  if (!Connection.connect(Engine) || !MayWrite())
    return order_outcome::NotSent;
  if (!Connection.exchange(Request))
    return order_outcome::Unknown;
  const bool Done = Connection.status() == Ok;
  return Done ? order_outcome::Done : order_outcome::Refused;
}

} // namespace pollenstall

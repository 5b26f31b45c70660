/** @file http_client.cpp The HTTP client, built on Boost.Beast. */
#include "http_client_func.h"

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace pollenstall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::string_view Scheme = "http://";
constexpr int HttpVersion11 = 11;
constexpr std::uint64_t MaxResponseBytes = 64ULL << 20U; ///< Fits the dump of a large fleet.

/// Blocks on one asynchronous step at a time: Beast applies its timeout to those only.
class blocking_connection {
public:
  explicit blocking_connection(std::chrono::milliseconds Limit) : Stream(Context) {
    Stream.expires_after(Limit);
  }

  error_code connect(const asio::ip::tcp::endpoint &Peer) {
    return await([&](auto Done) { Stream.async_connect(Peer, Done); });
  }

  error_code send(const http::request<http::string_body> &Message) {
    return await([&](auto Done) {
      http::async_write(Stream, Message, [Done](error_code Error, std::size_t) { Done(Error); });
    });
  }

  error_code receive(http::response_parser<http::string_body> &Parser) {
    return await([&](auto Done) {
      http::async_read(Stream, Buffer, Parser,
                       [Done](error_code Error, std::size_t) { Done(Error); });
    });
  }

private:
  template <typename StartFunction> error_code await(StartFunction &&StartStep) {
    error_code Result;
    StartStep([&Result](error_code Error) { Result = Error; });
    Context.restart();
    Context.run();
    return Result;
  }

  asio::io_context Context;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

http::request<http::string_body> makeBeastRequest(const http_url &Url,
                                                  const http_request &Request) {
  http::request<http::string_body> Message;
  Message.version(HttpVersion11);
  Message.method_string(Request.Method);
  Message.target(Url.Path + Request.Path);
  const bool IsV6 = Url.Host.find(':') != std::string::npos;
  Message.set(http::field::host,
              (IsV6 ? "[" + Url.Host + "]" : Url.Host) + ":" + std::to_string(Url.Port));
  Message.set(http::field::connection, "close");
  if (!Request.BearerKey.empty())
    Message.set(http::field::authorization, "Bearer " + Request.BearerKey);
  if (!Request.Body.empty())
    Message.set(http::field::content_type, "application/json");
  Message.body() = Request.Body;
  Message.prepare_payload();
  return Message;
}

std::string hostAndPort(const http_url &Url) {
  return Url.Host + " port " + std::to_string(Url.Port);
}

} // namespace

std::optional<http_url> parseUrl(std::string_view Text) {
  if (Text.substr(0, Scheme.size()) != Scheme)
    return std::nullopt;
  Text.remove_prefix(Scheme.size());
  const std::string_view Authority = Text.substr(0, Text.find('/'));
  std::string_view Path = Text.substr(Authority.size());
  while (!Path.empty() && Path.back() == '/')
    Path.remove_suffix(1);
  const std::size_t Colon = Authority.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Authority.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  error_code NotAnAddress;
  asio::ip::make_address(std::string(Host), NotAnAddress);
  const auto Port = parseNumber<std::uint16_t>(Authority.substr(Colon + 1));
  if (NotAnAddress || !Port || *Port == 0)
    return std::nullopt;
  return http_url{std::string(Host), *Port, std::string(Path)};
}

result<http_response, http_failure> sendRequest(const http_url &Url, const http_request &Request,
                                                std::chrono::milliseconds Limit) {
  blocking_connection Connection(Limit);
  const asio::ip::tcp::endpoint Peer(asio::ip::make_address(Url.Host), Url.Port);
  if (const error_code Error = Connection.connect(Peer))
    return http_failure{http_failure_kind::NotConnected, hostAndPort(Url) + ": " + Error.message()};
  if (const error_code Error = Connection.send(makeBeastRequest(Url, Request)))
    return http_failure{http_failure_kind::ResponseLost, hostAndPort(Url) + ": " + Error.message()};
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxResponseBytes);
  if (const error_code Error = Connection.receive(Parser))
    return http_failure{http_failure_kind::ResponseLost, hostAndPort(Url) + ": " + Error.message()};
  return http_response{Parser.get().result_int(), std::move(Parser.get().body())};
}

} // namespace pollenstall
